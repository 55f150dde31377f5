//! Fixture that runs a relay in front of stand-in replicas.
#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

pub mod scripted;

use axum::{Router, body::Body, extract::Request as AxumRequest};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, net::TcpStream, sync::watch};
use verbenahead_core::{
    AvailabilityZone, Digest, Generation, Incarnation, NodeId, ServiceId, UpstreamId, WorkspaceId,
    units::{ByteSize, Tokens},
};
use verbenahead_manifest::{
    CallerLimits, EngineProfile, Quota, QuotaUnit, RetrySafety, Route, RouteTable, RouteTarget,
    RoutedService, RoutedWorkspace,
};
use verbenahead_membership::{NameKey, Roster, RosterOptions, SharedRoster};
use verbenahead_platform::UsersDialect;
use verbenahead_policy::RepeatBudgetOptions;
use verbenahead_relay::{
    AgreedClock, ContentQuarantine, ContentQuarantineOptions, NoTransport, NodeCounts,
    NoopObserver, PeerPaths, PeerPathsOptions, PromptPlacement, PromptPlacementOptions, Relay,
    RelayOptions, RelayParts, ReplicaLimits, ReplicaSelector, RouteFreshness, ServedVersion,
    SharedQuotas, SharedQuotasOptions, StreamOrigins, StreamOriginsOptions, UpstreamRegistry,
    UsageOptions, UsageTracker, WorkspaceQuotas, WorkspaceQuotasOptions,
};
use verbenahead_services::{Market, ReplicaRecord, ReplicaState};
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};
use verbenahead_upstream::{Connections, ConnectionsOptions};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "paving-key";

/// `Fixture` is a running relay and its replicas.
pub struct Fixture {
    pub address: SocketAddr,
    pub relay: Arc<Relay>,
    pub registry: Arc<UpstreamRegistry>,
    pub usage_tracker: Arc<UsageTracker>,
    pub quotas: Arc<WorkspaceQuotas>,
    pub quarantine: Arc<ContentQuarantine>,
    pub placement: Arc<PromptPlacement>,
    pub clock: Arc<AgreedClock>,
    pub routes: watch::Sender<Option<Arc<RouteTable>>>,
    pub freshness: Arc<RouteFreshness>,
    pub replicas: Vec<UsersReplica>,
}

/// Starts a relay with default options and `count` replicas of one service that all have
/// `behaviour`.
pub async fn start(count: usize, behaviour: ReplicaBehaviour) -> Fixture {
    start_with(count, behaviour, RelayOptions::default()).await
}

/// Starts a relay with the given options and `count` replicas that all have `behaviour`.
pub async fn start_with(
    count: usize,
    behaviour: ReplicaBehaviour,
    options: RelayOptions,
) -> Fixture {
    let registry = Arc::new(UpstreamRegistry::default());
    let replicas = start_replicas(count, behaviour).await;
    for (n, replica) in replicas.iter().enumerate() {
        let id = format!("i-{n}");
        registry.apply(&record(&id, replica.address(), ReplicaState::Ready));
    }
    start_node(registry, replicas, peer_paths_of_one_node(), options).await
}

/// Starts `count` replicas that all have `behaviour`.
pub async fn start_replicas(count: usize, behaviour: ReplicaBehaviour) -> Vec<UsersReplica> {
    let mut replicas = Vec::new();
    for n in 0..count {
        let replica = UsersReplica::start(&format!("i-{n}"), behaviour.clone()).await;
        replicas.push(replica.expect("a free port"));
    }
    replicas
}

/// Starts a relay that reaches the replicas of `registry` over its own connections and `peer_paths`.
pub async fn start_node(
    registry: Arc<UpstreamRegistry>,
    replicas: Vec<UsersReplica>,
    peer_paths: PeerPaths,
    options: RelayOptions,
) -> Fixture {
    // The store has told the node what served before it started.
    let served = ServedVersion {
        service: NameKey::from(&service()),
        version: NameKey::of("v1"),
    };
    registry.load_versions(Some(&[served]));
    start_node_unread(registry, replicas, peer_paths, options).await
}

/// Starts a relay like [`start_node`] that has not read from the store which versions served before.
pub async fn start_node_unread(
    registry: Arc<UpstreamRegistry>,
    replicas: Vec<UsersReplica>,
    peer_paths: PeerPaths,
    options: RelayOptions,
) -> Fixture {
    let (routes, routes_rx) = watch::channel(Some(Arc::new(route_table(7, None))));
    let clock = Arc::new(AgreedClock::default());
    let usage_tracker = Arc::new(UsageTracker::new(usage_options(), Arc::clone(&clock)));
    usage_tracker.set_nodes(NodeCounts { live: 1, known: 1 });
    let shared_quotas = Arc::new(quotas_of_one_node());
    let replica_limits = ReplicaLimits::new(
        Arc::clone(&shared_quotas),
        Arc::clone(&usage_tracker),
        Arc::clone(&clock),
    );
    let options_of_quotas = WorkspaceQuotasOptions::default();
    let quotas = Arc::new(WorkspaceQuotas::new(options_of_quotas, shared_quotas));
    let quarantine = Arc::new(quarantine_of_one_node(Arc::clone(&clock)));
    let zone = AvailabilityZone::try_new("east").expect("valid zone");
    let freshness = Arc::new(RouteFreshness::default());
    let placement = placement_of_one_node();
    let relay = Arc::new(Relay::new(RelayParts {
        dialect: Arc::new(UsersDialect),
        connections: Connections::new(ConnectionsOptions::default()),
        routes: routes_rx,
        freshness: Arc::clone(&freshness),
        replica_selector: Arc::new(ReplicaSelector::new(zone, Arc::clone(&registry))),
        registry: Arc::clone(&registry),
        usage_tracker: Arc::clone(&usage_tracker),
        quotas: Arc::clone(&quotas),
        replica_limits: Arc::new(replica_limits),
        placement: Arc::clone(&placement),
        quarantine: Arc::clone(&quarantine),
        origins: origins_of_one_node(),
        peer_paths: Arc::new(peer_paths),
        observer: Arc::new(NoopObserver),
        options,
    }));
    let address = serve(Arc::clone(&relay)).await;
    Fixture {
        address,
        relay,
        registry,
        usage_tracker,
        quotas,
        quarantine,
        placement,
        clock,
        routes,
        freshness,
        replicas,
    }
}

async fn serve(relay: Arc<Relay>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let router = Router::new().fallback(move |req: AxumRequest| {
        let relay = Arc::clone(&relay);
        async move { relay.handle(req).await.map(Body::new) }
    });
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Returns the placement of a node that has no other nodes.
fn placement_of_one_node() -> Arc<PromptPlacement> {
    let node = NodeId::try_new("n1").expect("valid id");
    let roster = SharedRoster::new(Roster::new(node.clone(), RosterOptions::default()));
    let options = PromptPlacementOptions {
        prefers_urgent: true,
        ..PromptPlacementOptions::default()
    };
    let placement = PromptPlacement::new(options, node, roster, Arc::new(NoTransport));
    placement.set_listed();
    Arc::new(placement)
}

/// Returns the quotas of a node that has no other nodes.
fn quotas_of_one_node() -> SharedQuotas {
    let node = NodeId::try_new("n1").expect("valid id");
    let roster = SharedRoster::new(Roster::new(node.clone(), RosterOptions::default()));
    let options = SharedQuotasOptions::default();
    let quotas = SharedQuotas::new(options, node, roster, Arc::new(NoTransport));
    quotas.set_listed();
    quotas
}

/// Returns the paths through other nodes of a node that has no other nodes.
pub fn peer_paths_of_one_node() -> PeerPaths {
    let node = NodeId::try_new("n1").expect("valid id");
    let roster = SharedRoster::new(Roster::new(node, RosterOptions::default()));
    let zone = AvailabilityZone::try_new("east").expect("valid zone");
    let connections = Connections::new(ConnectionsOptions::default());
    PeerPaths::new(PeerPathsOptions::default(), zone, roster, connections)
}

/// Returns the origins of streams of a node that has no other nodes, and whose table is empty.
fn origins_of_one_node() -> Arc<StreamOrigins> {
    let node = NodeId::try_new("n1").expect("valid id");
    let roster = SharedRoster::new(Roster::new(node.clone(), RosterOptions::default()));
    let options = StreamOriginsOptions::default();
    let origins = StreamOrigins::new(options, node, roster, Arc::new(NoTransport));
    let origins = Arc::new(origins);
    let (reader, mut wanted) = (Arc::clone(&origins), origins.reads_wanted());
    tokio::spawn(async move {
        while wanted.changed().await.is_ok() {
            reader.set_read(*wanted.borrow_and_update());
        }
    });
    origins
}

/// Returns the quarantine of a node that has no other nodes.
fn quarantine_of_one_node(clock: Arc<AgreedClock>) -> ContentQuarantine {
    let node = NodeId::try_new("n1").expect("valid id");
    let roster = SharedRoster::new(Roster::new(node.clone(), RosterOptions::default()));
    let options = ContentQuarantineOptions::default();
    ContentQuarantine::new(options, node, roster, Arc::new(NoTransport), clock)
}

fn usage_options() -> UsageOptions {
    UsageOptions {
        retries: RepeatBudgetOptions {
            ratio: 0.2,
            window: Duration::from_secs(10),
            extra: 50.0,
            ..RepeatBudgetOptions::default()
        },
        usage_window: Duration::from_secs(5),
        usage_report_due: Duration::from_secs(10),
    }
}

/// Returns the registration of a replica with 8 slots.
pub fn record(id: &str, address: SocketAddr, state: ReplicaState) -> ReplicaRecord {
    ReplicaRecord {
        id: UpstreamId::try_new(id).expect("valid id"),
        incarnation: Incarnation(1),
        service: service(),
        software: "v1".into(),
        zone: AvailabilityZone::try_new("east").expect("valid zone"),
        address,
        state,
        slots: 8,
        warm_up: Duration::ZERO,
        market: Market::OnDemand,
    }
}

pub fn service() -> ServiceId {
    ServiceId::try_new("desk").expect("valid id")
}

/// Returns a route table with one service and one workspace with the given quota.
pub fn route_table(generation: u64, quota: Option<Quota>) -> RouteTable {
    route_table_within(generation, quota, ByteSize(100_000))
}

/// Returns a route table like [`route_table`], with this limit on the size of bodies.
pub fn route_table_within(generation: u64, quota: Option<Quota>, max_body: ByteSize) -> RouteTable {
    let routes = vec![
        route("look", RetrySafety::Idempotent, 2),
        route("file", RetrySafety::Once, 1),
        route("draft", RetrySafety::Stream, 1),
        route("notes", RetrySafety::ResumableStream, 2),
        route("talks", RetrySafety::ResumableStream, 4),
        Route {
            allows_anonymous: true,
            ..route("open", RetrySafety::Idempotent, 1)
        },
        Route {
            timeout: Duration::from_millis(300),
            ..route("brief", RetrySafety::Once, 1)
        },
    ];
    let services = vec![RoutedService {
        id: service(),
        health_path: "/health".to_owned(),
        max_connections: 100,
        engine: Some(EngineProfile {
            batch_limit: 8,
            kv_capacity: Tokens(100_000),
            kv_token_size: ByteSize(18_432),
            supports_move: true,
            tokens_per_event: 6,
        }),
        fleet: None,
    }];
    let workspaces = vec![RoutedWorkspace {
        id: WorkspaceId::try_new("paving").expect("valid id"),
        key_digests: vec![Digest::of(KEY)],
        rank: None,
        quota,
    }];
    let limits = CallerLimits {
        max_header: ByteSize(16_384),
        max_body,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RouteTable::new(Generation(generation), routes, services, workspaces, limits)
}

/// Returns a quota in tokens. A request without a prompt costs ten.
pub fn quota(rate: f64, burst: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Tokens {
            default_cost: Tokens(10),
        },
        rate,
        burst,
    }
}

fn route(name: &str, retry_safety: RetrySafety, max_attempts: u32) -> Route {
    Route {
        name: name.into(),
        host: HOST.to_owned(),
        prefix: format!("/{name}/"),
        retry_safety,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap_objective: retry_safety
            .is_stream()
            .then_some(Duration::from_millis(400)),
        rank: 0,
        targets: vec![RouteTarget {
            service: service(),
            weight: 1,
        }],
        max_attempts,
        allows_anonymous: false,
        has_prompts: false,
    }
}

/// `CallResponse` is a complete response, or the part that arrived before the connection broke.
#[derive(Debug)]
pub struct CallResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub is_complete: bool,
}

impl CallResponse {
    /// Reads a response to its end.
    pub async fn read(response: http::Response<Incoming>) -> Self {
        let (head, mut body) = response.into_parts();
        let mut collected = BytesMut::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => collected.extend_from_slice(frame.data_ref().expect("data")),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        Self {
            status: head.status,
            headers: head.headers,
            body: collected.freeze(),
            is_complete,
        }
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("text")
    }

    /// Returns the ids of the events of a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self.text().lines().filter_map(|l| l.strip_prefix("id: "));
        ids.map(|id| id.parse().expect("a number")).collect()
    }

    pub fn is_sealed(&self) -> bool {
        self.headers.contains_key("server-seal")
    }

    pub fn retry_after(&self) -> Option<f64> {
        let value = self.headers.get("retry-after")?;
        value.to_str().ok()?.parse().ok()
    }
}

/// Returns a request with an API key, an id and a time limit of 4 s.
pub fn request(method: Method, path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("attempt-id", id)
        .header("deadline-ms", "4000")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::default())
        .expect("valid request")
}

impl Fixture {
    /// Sends a request and reads the response to its end.
    pub async fn call(&self, req: Request<Full<Bytes>>) -> CallResponse {
        CallResponse::read(self.open(req).await.expect("an answer")).await
    }

    /// Sends a request on a connection of its own and returns the response once its head has
    /// arrived. The connection closes when the response is dropped.
    pub async fn open(&self, req: Request<Full<Bytes>>) -> hyper::Result<http::Response<Incoming>> {
        let stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        sender.send_request(req).await
    }

    /// Returns the ids of the requests that replicas began to run, once per run.
    pub fn run_ids(&self) -> Vec<String> {
        let runs = self.replicas.iter().flat_map(UsersReplica::runs);
        runs.map(|run| run.id).collect()
    }
}
