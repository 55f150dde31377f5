//! Replicas of services, as they register themselves with the platform.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, SoftwareVersion, UpstreamId};

use crate::cloud::Market;

/// `ReplicaState` is the state that a replica reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ReplicaState {
    /// The replica accepts new requests.
    #[display("ready")]
    Ready,
    /// The replica finishes the requests that it has and then stops.
    #[display("leaving")]
    Leaving {
        /// Time until it stops, as of its announcement, if known.
        remaining: Option<Duration>,
    },
}

/// `ReplicaRecord` is the registration of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Id of the replica.
    pub id: UpstreamId,
    /// Incarnation of the replica, which tells apart restarts under the same id.
    pub incarnation: Incarnation,
    /// Service of the replica.
    pub service: ServiceId,
    /// Version of the replica's software.
    pub software: SoftwareVersion,
    /// Availability zone of the replica.
    pub zone: AvailabilityZone,
    /// Address of the replica.
    pub address: SocketAddr,
    /// State that the replica reports.
    pub state: ReplicaState,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time after its start during which the replica is slow.
    pub warm_up: Duration,
    /// How the replica is paid for.
    pub market: Market,
}
