//! The platform's list of VMs, which may be out of date.

use std::net::SocketAddr;

use async_trait::async_trait;
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};

use crate::{cloud::Market, errors::Result};

/// `VmState` is the platform's view of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is starting.
    Starting,
    /// The VM is running.
    Live,
    /// The VM will be stopped soon.
    Leaving,
}

/// `VmRecord` is one upstream VM on the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the VM, which tells apart VMs that reuse an address.
    pub incarnation: Incarnation,
    /// Service that the VM runs.
    pub service: ServiceId,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Address of the upstream on the VM.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
    /// Class of the VM.
    pub class: String,
    /// How the VM is paid for.
    pub market: Market,
}

/// `VmList` is the platform's list of live and leaving VMs.
#[async_trait]
pub trait VmList: Send + Sync + 'static {
    /// Reads the list, which may be tens of seconds old.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn vms(&self) -> Result<Vec<VmRecord>>;
}
