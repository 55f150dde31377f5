//! Calls to the platform that only one node at a time makes, for the whole deployment.

use std::collections::BTreeMap;

use async_trait::async_trait;
use derive_more::Display;
use verbenahead_core::{AvailabilityZone, FencingNumber, NodeId, ServiceId, WorkspaceId};

use crate::cloud::Market;

/// `DutyHolder` names the node that makes a call and the lease under which it acts.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{node} with fencing number {fencing}")]
pub struct DutyHolder {
    /// Node that holds the lease.
    pub node: NodeId,
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
}

/// `DutyOutcome` is the outcome of a call.
#[must_use = "a call may have been refused, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DutyOutcome {
    /// The platform accepted the call.
    #[display("accepted")]
    Accepted,
    /// The platform has no capacity at present. Nothing was done.
    #[display("nothing to be had: {_0}")]
    NoCapacity(String),
    /// The platform did nothing, because of its rate limit or because the call never reached it.
    #[display("not done: {_0}")]
    NotDone(String),
    /// The call may or may not have been carried out.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// `UsageReport` holds the number of requests that began to run in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Number of requests by workspace.
    pub counts: BTreeMap<WorkspaceId, u64>,
}

/// `UsageReports` receives the usage of each window. A report may be repeated only unchanged.
#[async_trait]
pub trait UsageReports: Send + Sync + 'static {
    /// Reports the usage of a window.
    async fn report_usage(&self, report: &UsageReport, holder: &DutyHolder) -> DutyOutcome;
}

/// `ReplicaOrder` is the desired number of replicas of one market in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{count} {market} replicas of {service} in {zone}")]
pub struct ReplicaOrder {
    /// Service of the replicas.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// How the replicas are paid for.
    pub market: Market,
    /// Desired number of replicas.
    pub count: u32,
}

/// `FleetOrders` receives orders for replicas. An order is idempotent, because it states the
/// desired number of replicas and not a difference.
#[async_trait]
pub trait FleetOrders: Send + Sync + 'static {
    /// Sets the desired number of replicas.
    async fn order(&self, order: &ReplicaOrder, holder: &DutyHolder) -> DutyOutcome;
}
