//! State of a node that all requests share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::{
    sync::{Semaphore, watch},
    time::Instant,
};
use verbenahead_manifest::RouteTable;
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_upstream::Connections;

use crate::{
    content_quarantine::ContentQuarantine,
    dialect::Dialect,
    direct_paths::{DirectPaths, DirectPathsOptions},
    drain::{Drain, DrainTimes},
    memory_budget::MemoryBudget,
    observe::RelayObserver,
    options::RelayOptions,
    peer_paths::PeerPaths,
    placement::PromptPlacement,
    registry::UpstreamRegistry,
    replica_limits::ReplicaLimits,
    replica_selector::ReplicaSelector,
    service_admission::ServiceAdmission,
    stream_origins::StreamOrigins,
    usage_tracker::UsageTracker,
    workspace_quotas::WorkspaceQuotas,
};

/// `RouteView` receives the routes in force. It holds `None` until the node has read any.
pub type RouteView = watch::Receiver<Option<Arc<RouteTable>>>;

/// `RouteFreshness` tells whether the node currently receives changes of the routes.
#[derive(Debug, Default)]
pub struct RouteFreshness(AtomicBool);

impl RouteFreshness {
    /// Sets whether the routes may be out of date.
    pub fn set_stale(&self, is_stale: bool) {
        self.0.store(is_stale, Ordering::Relaxed);
    }

    /// Returns whether routes or keys may exist that the node does not know.
    pub fn is_stale(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// `RelayParts` holds the components of a relay.
pub struct RelayParts {
    /// Wire protocol of callers and replicas.
    pub dialect: Arc<dyn Dialect>,
    /// Connections to replicas.
    pub connections: Connections,
    /// Routes in force.
    pub routes: RouteView,
    /// Whether the routes may be out of date.
    pub freshness: Arc<RouteFreshness>,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Selects the replica for each attempt.
    pub replica_selector: Arc<ReplicaSelector>,
    /// Accounts for retries and usage.
    pub usage_tracker: Arc<UsageTracker>,
    /// Quotas of the workspaces.
    pub quotas: Arc<WorkspaceQuotas>,
    /// Limits that replicas name for the requests of all nodes together.
    pub replica_limits: Arc<ReplicaLimits>,
    /// Knowledge of the prompts at replicas that the nodes share.
    pub placement: Arc<PromptPlacement>,
    /// Content of requests that is kept from replicas.
    pub quarantine: Arc<ContentQuarantine>,
    /// Software versions at which streams began.
    pub origins: Arc<StreamOrigins>,
    /// Paths to replicas through other nodes.
    pub peer_paths: Arc<PeerPaths>,
    /// Receives the events of the relay.
    pub observer: Arc<dyn RelayObserver>,
    /// Limits and delays.
    pub options: RelayOptions,
}

/// `Relay` forwards requests to replicas and their responses to the callers.
pub struct Relay {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: Connections,
    pub(crate) routes: RouteView,
    freshness: Arc<RouteFreshness>,
    pub(crate) replica_selector: Arc<ReplicaSelector>,
    pub(crate) usage_tracker: Arc<UsageTracker>,
    pub(crate) quotas: Arc<WorkspaceQuotas>,
    pub(crate) replica_limits: Arc<ReplicaLimits>,
    pub(crate) placement: Arc<PromptPlacement>,
    pub(crate) quarantine: Arc<ContentQuarantine>,
    pub(crate) origins: Arc<StreamOrigins>,
    pub(crate) registry: Arc<UpstreamRegistry>,
    pub(crate) direct_paths: Arc<DirectPaths>,
    pub(crate) peer_paths: Arc<PeerPaths>,
    pub(crate) service_admission: Arc<ServiceAdmission>,
    /// Room for requests of other nodes.
    pub(crate) forwarded: Arc<Semaphore>,
    pub(crate) observer: Arc<dyn RelayObserver>,
    pub(crate) memory: MemoryBudget,
    pub(crate) options: RelayOptions,
    pub(crate) started: Instant,
    pub(crate) drain: Drain,
}

impl Relay {
    /// Builds a relay from its components.
    pub fn new(parts: RelayParts) -> Self {
        let direct_paths = DirectPaths::new(
            DirectPathsOptions::default(),
            Arc::clone(&parts.registry),
            parts.connections.clone(),
        );
        let service_admission =
            ServiceAdmission::new(parts.options.service_admission, Arc::clone(&parts.registry));
        Self {
            service_admission: Arc::new(service_admission),
            direct_paths: Arc::new(direct_paths),
            peer_paths: parts.peer_paths,
            forwarded: Arc::new(Semaphore::new(parts.options.max_forwarded)),
            dialect: parts.dialect,
            connections: parts.connections,
            routes: parts.routes,
            freshness: parts.freshness,
            replica_selector: parts.replica_selector,
            usage_tracker: parts.usage_tracker,
            quotas: parts.quotas,
            replica_limits: parts.replica_limits,
            placement: parts.placement,
            quarantine: parts.quarantine,
            origins: parts.origins,
            registry: parts.registry,
            observer: parts.observer,
            memory: MemoryBudget::new(ClientMemoryOptions {
                limit: parts.options.client_memory.0,
                kernel: parts.options.connection_kernel_memory.0,
                ..ClientMemoryOptions::default()
            }),
            options: parts.options,
            started: Instant::now(),
            drain: Drain::default(),
        }
    }

    /// Returns what the node knows of its paths to replicas.
    pub fn direct_paths(&self) -> Arc<DirectPaths> {
        Arc::clone(&self.direct_paths)
    }

    /// Returns the admission of prompts to services.
    pub fn service_admission(&self) -> Arc<ServiceAdmission> {
        Arc::clone(&self.service_admission)
    }

    /// Returns the budget of the memory that clients hold.
    pub fn memory(&self) -> MemoryBudget {
        self.memory.clone()
    }

    /// Starts a drain: from now on each response asks the caller to close its connection. Requests that cannot
    /// end in time are refused, and all get a response.
    pub fn start_drain(&self, times: DrainTimes) {
        self.drain.start(times);
    }

    /// Returns whether responses ask callers to close their connections.
    pub fn is_draining(&self) -> bool {
        self.drain.has_started()
    }

    /// Returns whether routes or keys may exist that the node does not know.
    pub(crate) fn has_stale_routes(&self) -> bool {
        self.freshness.is_stale()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }
}
