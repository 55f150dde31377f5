//! Routes of a deployment: the service to which a request is sent, and how it may be handled.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc, time::Duration};

use derive_more::Display;
use verbenahead_core::{
    AvailabilityZone, Digest, Generation, HashMap, ServiceId, WorkspaceId,
    units::{ByteSize, Tokens},
};

use crate::quota::Quota;

/// `RetrySafety` states whether a request may be retried, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RetrySafety {
    /// The request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The request must run at most once.
    #[display("once")]
    Once,
    /// The answer is a stream of events, and the request must run at most once.
    #[display("stream")]
    Stream,
    /// The answer is a stream of events that another replica can resume.
    #[display("resumable stream")]
    ResumableStream,
}

impl RetrySafety {
    /// Returns whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// `RouteTarget` is a service to which a route sends a share of its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Id of the service.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// `Route` is one entry of the route table.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests, in lower case and without a port.
    pub host: String,
    /// Prefix of the path.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry_safety: RetrySafety,
    /// Maximum time that a caller waits for the answer.
    pub timeout: Duration,
    /// Objective of the time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Objective of the time between two events of a stream, if any.
    pub gap_objective: Option<Duration>,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// Services to which requests are sent.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of replicas to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub allows_anonymous: bool,
    /// Whether requests describe the blocks of their prompts, by which shared prefixes are found.
    pub has_prompts: bool,
}

impl Route {
    /// Returns the target for `sample`, a uniformly distributed random number between 0 and 1.
    pub fn target(&self, sample: f64) -> Option<&RouteTarget> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut remaining = sample * total as f64;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(target);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0)
    }
}

/// `EngineProfile` holds the properties of the model engines of a service, as declared by the
/// operator.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Maximum number of requests that run at the same time.
    pub batch_limit: u32,
    /// Capacity of the KV cache for running requests and cached prefixes.
    pub kv_capacity: Tokens,
    /// Size of the KV cache of one token.
    pub kv_token_size: ByteSize,
    /// Whether a running request can be moved to another replica.
    pub supports_move: bool,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// `FleetBounds` limits the number of replicas of a service in each availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetBounds {
    /// Minimum number of replicas in a zone.
    pub min: u32,
    /// Maximum number of replicas in a zone.
    pub max: u32,
    /// Time from the order of a replica until it serves.
    pub boot_time: Duration,
    /// Price of a reclaimable replica relative to an on-demand one, or `None` if there are no
    /// reclaimable replicas.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand replica by zone.
    pub zone_prices: BTreeMap<AvailabilityZone, f64>,
}

/// `RoutedService` is a service that is a target of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Id of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// Properties of the model engines, if the replicas are model engines.
    pub engine: Option<EngineProfile>,
    /// Bounds of the fleet, if this system orders its replicas.
    pub fleet: Option<FleetBounds>,
}

/// `CallerLimits` limits the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a header section.
    pub max_header: ByteSize,
    /// Maximum size of a body.
    pub max_body: ByteSize,
    /// Maximum time to receive a header section.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// `RoutedWorkspace` is a workspace whose callers are accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedWorkspace {
    /// Id of the workspace.
    pub id: WorkspaceId,
    /// Digests of its keys.
    pub key_digests: Vec<Digest>,
    /// Rank of its requests, which replaces that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Quota over all nodes, if any.
    pub quota: Option<Quota>,
}

/// `RouteTable` holds one generation of the routes, with their services, workspaces and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    generation: Generation,
    routes: Vec<Arc<Route>>,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<RoutedService>>,
    workspaces: BTreeMap<WorkspaceId, Arc<RoutedWorkspace>>,
    by_key: HashMap<Digest, WorkspaceId>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Builds a table. Of two routes with the same host and prefix, the first one is used.
    pub fn new(
        generation: Generation,
        routes: Vec<Route>,
        services: Vec<RoutedService>,
        workspaces: Vec<RoutedWorkspace>,
        limits: CallerLimits,
    ) -> Self {
        let routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in &routes {
            let host_routes = by_host.entry(route.host.clone()).or_default();
            host_routes.push(Arc::clone(route));
        }
        for host_routes in by_host.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut by_key = HashMap::default();
        for workspace in &workspaces {
            for digest in &workspace.key_digests {
                by_key.insert(*digest, workspace.id.clone());
            }
        }
        let services = services.into_iter().map(|s| (s.id.clone(), Arc::new(s)));
        let workspaces = workspaces.into_iter().map(|w| (w.id.clone(), Arc::new(w)));
        Self {
            generation,
            routes,
            by_host,
            services: services.collect(),
            workspaces: workspaces.collect(),
            by_key,
            limits,
        }
    }

    /// Returns the generation of the table.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the route of a request: among the routes of its host, the one with the longest
    /// prefix of its path. `host` is as the caller sent it, with or without a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = strip_port(host);
        let host_routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// Returns the service with this id.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<RoutedService>> {
        self.services.get(id)
    }

    /// Returns whether running requests of a service can be moved to another replica.
    pub fn supports_move(&self, service: &ServiceId) -> bool {
        let engine = self.service(service).and_then(|s| s.engine.as_ref());
        engine.is_some_and(|engine| engine.supports_move)
    }

    /// Iterates over the services in the order of their ids.
    pub fn services(&self) -> impl Iterator<Item = &Arc<RoutedService>> {
        self.services.values()
    }

    /// Returns the workspace that has a key with this digest.
    pub fn workspace_of_key(&self, digest: &Digest) -> Option<&Arc<RoutedWorkspace>> {
        self.workspaces.get(self.by_key.get(digest)?)
    }

    /// Iterates over the workspaces in the order of their ids.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<RoutedWorkspace>> {
        self.workspaces.values()
    }

    /// Returns whether there are any workspaces. Without workspaces, callers need no keys.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}

/// Returns the host without its port. The brackets of an IPv6 address are kept.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => {
            let is_whole_address = host.parse::<IpAddr>().is_ok();
            if is_whole_address { host } else { name }
        }
        _ => host,
    }
}
