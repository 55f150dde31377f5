//! The parts that all requests of a node share.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::{sync::watch, time::Instant};
use verbenahead_manifest::RouteTable;
use verbenahead_upstream::Connections;

use crate::{
    body_budget::BodyBudget, dialect::Dialect, observe::RelayObserver, options::RelayOptions,
    placement::ReplicaSelector, registry::UpstreamRegistry, usage_tracker::UsageTracker,
};

/// `RouteView` shows the routes in force, if the node knows any.
pub type RouteView = watch::Receiver<Option<Arc<RouteTable>>>;

/// `RouteFreshness` says whether the node hears of changes of the routes at present.
#[derive(Debug, Default)]
pub struct RouteFreshness(AtomicBool);

impl RouteFreshness {
    /// Says whether the node hears of changes.
    pub fn set_stale(&self, is_stale: bool) {
        self.0.store(is_stale, Ordering::Relaxed);
    }

    /// Returns whether routes and keys may have been added that the node does not know.
    pub fn is_stale(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// `RelayParts` are what a relay is built from.
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
    /// Choice of replicas.
    pub replica_selector: Arc<ReplicaSelector>,
    /// What callers use.
    pub usage_tracker: Arc<UsageTracker>,
    /// Who is told what the relay does.
    pub observer: Arc<dyn RelayObserver>,
    /// Bounds.
    pub options: RelayOptions,
}

/// `Relay` passes requests on to replicas and their answers back.
pub struct Relay {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) connections: Connections,
    pub(crate) routes: RouteView,
    freshness: Arc<RouteFreshness>,
    pub(crate) replica_selector: Arc<ReplicaSelector>,
    pub(crate) usage_tracker: Arc<UsageTracker>,
    pub(crate) observer: Arc<dyn RelayObserver>,
    pub(crate) bodies: BodyBudget,
    pub(crate) options: RelayOptions,
    pub(crate) started: Instant,
    is_draining: AtomicBool,
}

impl Relay {
    /// Builds a relay.
    pub fn new(parts: RelayParts) -> Self {
        Self {
            dialect: parts.dialect,
            connections: parts.connections,
            routes: parts.routes,
            freshness: parts.freshness,
            replica_selector: parts.replica_selector,
            usage_tracker: parts.usage_tracker,
            observer: parts.observer,
            bodies: BodyBudget::new(parts.options.max_body_memory),
            options: parts.options,
            started: Instant::now(),
            is_draining: AtomicBool::new(false),
        }
    }

    /// Asks callers, with each answer from now on, to use other connections.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether callers are asked to use other connections.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Returns whether routes and keys may have been added that the node does not know.
    pub(crate) fn has_stale_routes(&self) -> bool {
        self.freshness.is_stale()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }
}
