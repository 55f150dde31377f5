//! What the parts of a serving node share.

use std::{sync::Arc, time::Duration};

use tokio_util::task::TaskTracker;
use verbenahead_core::{AvailabilityZone, NodeId};
use verbenahead_state::ledger::{Claimant, Ledger, recorder::Recorder};
use verbenahead_upstream::{Engine, PlainServiceClient};

use crate::node::{
    active_manifest::ManifestView, admission::NodeAdmission, drain::DrainView, journals::Journals,
    liveness::Liveness, observer::RequestObserver, routing::Routing,
    upstream_directory::UpstreamDirectory,
};

/// `CallerLimits` bounds what callers may use.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_timeout: Duration,
    /// Longest time for which a caller may leave an event unread.
    pub write_stall_timeout: Duration,
    /// Time between two keepalive events on a silent answer.
    pub keepalive_interval: Duration,
    /// Most requests at a time.
    pub max_concurrent_requests: usize,
    /// Most requests of one workspace at a time.
    pub max_concurrent_per_workspace: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(20),
            keepalive_interval: Duration::from_secs(10),
            max_concurrent_requests: 4096,
            max_concurrent_per_workspace: 2048,
        }
    }
}

/// `Serving` is what the handlers and tasks of a serving node share.
pub struct ServingContext {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// Known upstreams.
    pub upstreams: Arc<UpstreamDirectory>,
    /// Choice of upstreams.
    pub routing: Routing,
    /// Admission of model requests.
    pub admission: NodeAdmission,
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of plain services.
    pub plain: PlainServiceClient,
    /// Ledger of non-idempotent calls.
    pub ledger: Ledger,
    /// Records what the table did not take in time.
    pub recorder: Recorder,
    /// This life of the node, as it stands in the ledger.
    pub claimant: Claimant,
    /// Whether other nodes live.
    pub liveness: Arc<dyn Liveness>,
    /// Work that goes on after its caller was answered. A drain waits for it.
    pub work: TaskTracker,
    /// Journals at other nodes.
    pub journals: Arc<dyn Journals>,
    /// Planned stop of the node.
    pub drain: DrainView,
    /// Counts what happens to requests.
    pub observer: RequestObserver,
    /// Bounds on callers.
    pub limits: CallerLimits,
}
