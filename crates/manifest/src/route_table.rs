//! The routes of a deployment: which request goes to which service, and what may be done with it.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc, time::Duration};

use derive_more::Display;
use verbenahead_core::{
    AvailabilityZone, Digest, Generation, HashMap, ServiceId, WorkspaceId,
    units::{ByteSize, Tokens},
};

use crate::quota::Quota;

/// `RetrySafety` says what may be done again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RetrySafety {
    /// The request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[display("once")]
    Once,
    /// The answer is a stream of events of a request that runs at most once.
    #[display("stream")]
    Stream,
    /// The answer is a stream of events that another replica can go on with.
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

/// `RouteTarget` is a service to which a route sends a part of its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Part of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// `Route` is one entry of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that callers name, in lower case and without a port.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that meets the objective.
    pub objective: Duration,
    /// Longest pause between two events that meets the objective.
    pub gap_objective: Option<Duration>,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Services of the route.
    pub targets: Vec<RouteTarget>,
    /// Most replicas to which one request is sent.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub allows_anonymous: bool,
    /// Whether requests tell the parts of their prompts.
    pub has_prompts: bool,
}

impl Route {
    /// Returns the target for a number drawn evenly between 0 and 1.
    pub fn target(&self, drawn: f64) -> Option<&RouteTarget> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = drawn * total as f64;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(target);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0)
    }
}

/// `EngineProfile` is what an operator declares of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub batch_limit: u32,
    /// Memory for the tokens of running requests and cached prefixes.
    pub kv_capacity: Tokens,
    /// Size of the KV cache of one token.
    pub kv_token_size: ByteSize,
    /// Whether a running request can be moved to another replica.
    pub supports_move: bool,
    /// Most tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// `FleetBounds` bound the replicas of a service in each availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetBounds {
    /// Fewest replicas in a zone.
    pub min: u32,
    /// Most replicas in a zone.
    pub max: u32,
    /// Time from an order to the start of service.
    pub boot_time: Duration,
    /// Price of a reclaimable replica relative to an on-demand one, if there are such.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand replica by zone.
    pub zone_prices: BTreeMap<AvailabilityZone, f64>,
}

/// `RoutedService` is a service that routes send requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Id of the service.
    pub id: ServiceId,
    /// Path of the health check.
    pub health_path: String,
    /// Most connections that one replica takes from all callers together.
    pub max_connections: u32,
    /// Model engines, if the replicas are such.
    pub engine: Option<EngineProfile>,
    /// Bounds of the fleet, if its size is ours to order.
    pub fleet: Option<FleetBounds>,
}

/// `CallerLimits` bound what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section.
    pub max_header: ByteSize,
    /// Largest body.
    pub max_body: ByteSize,
    /// Longest time for a header section to arrive.
    pub header_timeout: Duration,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// `RoutedWorkspace` is a workspace that may call.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedWorkspace {
    /// Id of the workspace.
    pub id: WorkspaceId,
    /// Digests of its keys.
    pub key_digests: Vec<Digest>,
    /// Rank of its requests in place of that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Limit over all nodes, if any.
    pub quota: Option<Quota>,
}

/// `RouteTable` is one generation of the routes with all that they name.
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
    /// Builds a table. Of two routes with the same host and prefix the first one counts.
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
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.push(Arc::clone(route));
        }
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
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

    /// Returns the route of a request: the one with the longest prefix of its host and path.
    /// `host` is as the caller wrote it, with or without a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = strip_port(host);
        let of_host = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        of_host.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter()
    }

    /// Returns a service.
    pub fn service(&self, id: &ServiceId) -> Option<&Arc<RoutedService>> {
        self.services.get(id)
    }

    /// Returns whether the replicas of a service hand runs over with their memory.
    pub fn supports_move(&self, service: &ServiceId) -> bool {
        let engine = self.service(service).and_then(|s| s.engine.as_ref());
        engine.is_some_and(|engine| engine.supports_move)
    }

    /// Iterates over the services in the order of their ids.
    pub fn services(&self) -> impl Iterator<Item = &Arc<RoutedService>> {
        self.services.values()
    }

    /// Returns the workspace that holds a key with this digest.
    pub fn workspace_of_key(&self, digest: &Digest) -> Option<&Arc<RoutedWorkspace>> {
        self.workspaces.get(self.by_key.get(digest)?)
    }

    /// Iterates over the workspaces in the order of their ids.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<RoutedWorkspace>> {
        self.workspaces.values()
    }

    /// Returns whether callers need keys at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the limits of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}

/// Returns the host without its port. The brackets of an IPv6 address stay.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => {
            let is_whole_address = host.parse::<IpAddr>().is_ok();
            if is_whole_address { host } else { name }
        }
        _ => host,
    }
}
