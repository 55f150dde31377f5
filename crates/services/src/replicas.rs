//! Replicas of services, as they register themselves with the platform.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, UpstreamId};

use crate::cloud::Market;

/// `ReplicaState` is what a replica says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ReplicaState {
    /// It takes new work.
    #[display("ready")]
    Ready,
    /// It finishes what it has and stops.
    #[display("leaving")]
    Leaving {
        /// Time left as of its announcement, if it knows.
        remaining: Option<Duration>,
    },
}

/// `ReplicaRecord` is the registration of one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// Id of the replica.
    pub id: UpstreamId,
    /// Tells apart the lives of a replica that starts again under its id.
    pub incarnation: Incarnation,
    /// Service of the replica.
    pub service: ServiceId,
    /// Availability zone of the replica.
    pub zone: AvailabilityZone,
    /// Address of the replica.
    pub address: SocketAddr,
    /// What the replica says of itself.
    pub state: ReplicaState,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time for which it is slow after its start.
    pub warm_up: Duration,
    /// How it is paid for.
    pub market: Market,
}
