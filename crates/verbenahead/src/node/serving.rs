//! State and clients shared by the handlers and tasks that serve requests.

use std::{sync::Arc, time::Duration};

use tokio_util::task::TaskTracker;
use verbenahead_core::{AvailabilityZone, NodeId, units::ByteSize};
use verbenahead_relay::MemoryBudget;
use verbenahead_state::ledger::{Claimant, Ledger, recorder::Recorder};
use verbenahead_upstream::{Engine, PlainServiceClient};

use crate::node::{
    active_manifest::ManifestView, admission::NodeAdmission, drain::DrainView, journals::Journals,
    liveness::Liveness, observer::RequestObserver, routing::Routing,
    upstream_directory::UpstreamDirectory,
};

/// `CallerLimits` bounds the resources that callers may use.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest request body.
    pub max_body: ByteSize,
    /// Timeout for reading a request body.
    pub body_timeout: Duration,
    /// Longest time for which an event may wait for the caller to read it.
    pub write_stall_timeout: Duration,
    /// Time between two keepalives on an answer without other events.
    pub keepalive_interval: Duration,
    /// Maximum number of concurrent requests.
    pub max_concurrent_requests: usize,
    /// Maximum number of concurrent requests of one workspace.
    pub max_concurrent_per_workspace: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body: ByteSize(1024 * 1024),
            body_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(20),
            keepalive_interval: Duration::from_secs(10),
            max_concurrent_requests: 4096,
            max_concurrent_per_workspace: 2048,
        }
    }
}

/// `ServingContext` holds the state and clients shared by the handlers and tasks that serve
/// requests.
pub struct ServingContext {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// Known upstreams.
    pub upstreams: Arc<UpstreamDirectory>,
    /// Choice of upstreams, and retry decisions.
    pub routing: Routing,
    /// Admission control of model requests.
    pub admission: NodeAdmission,
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of plain services.
    pub plain: PlainServiceClient,
    /// Ledger of non-idempotent calls.
    pub ledger: Ledger,
    /// Background writer of ledger records that the table did not accept in time.
    pub recorder: Recorder,
    /// This incarnation of the node, as written to ledger rows.
    pub claimant: Claimant,
    /// Liveness of other nodes.
    pub liveness: Arc<dyn Liveness>,
    /// Tasks that may continue after their caller was answered. A drain waits for them.
    pub work: TaskTracker,
    /// Journals at other nodes.
    pub journals: Arc<dyn Journals>,
    /// Drain state of the node.
    pub drain: DrainView,
    /// Metrics and burn rate counts of requests.
    pub observer: RequestObserver,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Memory of callers and operators.
    pub memory: MemoryBudget,
}
