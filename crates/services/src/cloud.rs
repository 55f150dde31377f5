//! The platform's API for starting and stopping VMs and for reclaim notices.

use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use verbenahead_core::{AvailabilityZone, Incarnation, ServiceId, VmId};

use crate::{errors::Result, table::WriteOutcome};

/// `Market` is how a VM is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Market {
    /// The cloud may take the VM back after a notice.
    Reclaimable,
    /// The VM stays until it is stopped.
    OnDemand,
}

/// `StartVm` asks for a new VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartVm {
    /// Makes the request idempotent: the same token never starts a second VM.
    pub client_token: String,
    /// Service that the VM will run.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Class of the VM.
    pub class: String,
    /// How the VM is paid for.
    pub market: Market,
}

/// `StartOutcome` is the answer to a request for a VM.
#[must_use = "a start may have been refused, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// The VM is starting.
    Started(VmId),
    /// The cloud has no such VM at present.
    Refused(String),
    /// The VM may or may not start. A retry with the same client token is safe.
    Unknown(String),
}

/// `ReclaimNotice` announces that a VM will be taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// VM that will be taken back.
    pub vm: VmId,
    /// Incarnation of the VM that the notice is about.
    pub incarnation: Incarnation,
    /// Time until the VM stops, as of this answer.
    #[serde(rename = "remaining_ms", with = "millis")]
    pub remaining: Duration,
}

mod millis {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(value: &Duration, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
        u64::deserialize(d).map(Duration::from_millis)
    }
}

/// `Cloud` is the platform's API for VMs.
#[async_trait]
pub trait Cloud: Send + Sync + 'static {
    /// Starts a VM.
    async fn start(&self, req: &StartVm) -> StartOutcome;

    /// Stops a VM. Succeeds at once when the VM is already gone.
    async fn stop(&self, vm: &VmId, incarnation: Incarnation) -> WriteOutcome;

    /// Reads the current reclaim notices of upstream VMs and entry VMs.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn notices(&self) -> Result<Vec<ReclaimNotice>>;
}
