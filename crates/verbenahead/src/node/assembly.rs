//! Builds the parts of a node from its settings.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;
use verbenahead_core::Incarnation;
use verbenahead_manifest::Manifest;
use verbenahead_membership::{MembershipHandle, NodeIdentity};
use verbenahead_platform::{Platform, PlatformOptions, PlatformRegistry};
use verbenahead_state::{
    InForce, ManifestStore, RetryOptions, UnixMillis,
    ledger::{Claimant, Ledger, LedgerOptions},
};
use verbenahead_upstream::{Connections, ConnectionsOptions, HttpEngine, PlainServiceClient};

use crate::{
    node::{
        active_manifest::ManifestView,
        admission::{NodeAdmission, NodeCount},
        drain::DrainSignal,
        http_server::{self, HttpServerOptions, ServerPhase},
        lifecycle::NodeParts,
        manifest_follower::{ManifestFollower, ManifestFollowerOptions},
        member_liveness::MemberLiveness,
        news_bridge::NewsBridge,
        node_registry::NodeRegistry,
        peer_journals::PeerJournals,
        peer_manifests::PeerManifests,
        peer_reports::{ManifestBody, PeerReports},
        peering::{self, Peering},
        platform_health::PlatformHealth,
        readiness::{Readiness, ReadinessState},
        routing::Routing,
        serving::{CallerLimits, Serving},
        stop,
        upstream_directory::UpstreamDirectory,
        upstream_watch::{UpstreamWatch, UpstreamWatchOptions},
    },
    settings::{IncarnationSource, LimitSettings, PlatformSettings, Settings},
};

/// Requests to stop that wait at most.
const STOP_CHANNEL_CAPACITY: usize = 4;

/// Leaving upstreams that wait to be told to peers at most.
const LEARNT_CHANNEL_CAPACITY: usize = 256;

/// Time between two keepalive events on a silent answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Largest answer of a plain service, in bytes.
const MAX_PLAIN_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// `Addresses` are the addresses on which a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// `Assembled` is a node that is ready to join.
pub struct Assembled {
    /// Parts of the node.
    pub parts: NodeParts,
    /// Addresses on which the node listens.
    pub addresses: Addresses,
    /// What runs beside the life cycle, until the node has drained.
    pub background: Background,
}

/// `Background` is what runs beside the life cycle.
pub struct Background {
    operators_phase: watch::Sender<ServerPhase>,
    operators_server: JoinHandle<()>,
}

impl Background {
    /// Ends what runs beside the life cycle.
    pub async fn stop(self) {
        self.operators_phase.send_replace(ServerPhase::Closing);
        let _ = tokio::time::timeout(Duration::from_secs(1), self.operators_server).await;
    }
}

/// Opens the listeners and builds the parts of a node.
///
/// # Errors
///
/// When a listener cannot be opened, a secret cannot be read or an adapter cannot be built.
pub async fn assemble(settings: Settings) -> anyhow::Result<Assembled> {
    let platform = connect_platform(&settings.platform)?;
    let callers = bind(settings.listeners.callers, "callers").await?;
    let operators = bind(settings.listeners.operators, "operators").await?;
    let (peers, security) =
        peering::bind(settings.listeners.peers, &settings.peers.credentials).await?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        operators: operators.local_addr()?,
        peers: peers.address(),
    };
    let identity = NodeIdentity {
        node: settings.node.clone(),
        incarnation: incarnation(settings.incarnation),
        address: addresses.peers,
        zone: settings.zone.clone(),
    };
    let registry = NodeRegistry::new(Arc::clone(&platform.table), identity.clone());
    let body = ManifestBody::default();
    let reports = Arc::new(PeerReports { body: body.clone() });
    let seeds = find_seeds(&registry, &settings).await;
    let peering = Peering::start(peers, security, identity, seeds, reports)?;
    let (stop_tx, stops) = mpsc::channel(STOP_CHANNEL_CAPACITY);
    stop::forward_signals(stop_tx.clone()).context("cannot handle signals")?;
    let health = Arc::new(PlatformHealth::default());
    let in_force = Arc::new(InForce::<Manifest>::default());
    let drain = DrainSignal::default();
    let directory = Arc::new(UpstreamDirectory::default());
    let readiness = Arc::new(Readiness::default());
    let serving = build_serving(
        &settings, &platform, &peering, &in_force, &directory, &drain,
    );
    let (learnt_tx, learnt) = mpsc::channel(LEARNT_CHANNEL_CAPACITY);
    let bridge = NewsBridge {
        news: peering.news.clone(),
        membership: peering.membership.clone(),
        directory: Arc::clone(&directory),
        manifest: serving.manifest.clone(),
        learnt,
        own_vm: settings.node.to_string(),
        stops: stop_tx,
    };
    let peer_manifests = PeerManifests::new(&peering);
    let parts = NodeParts {
        serving,
        drain,
        readiness: Arc::clone(&readiness),
        manifests: build_follower(
            &platform,
            in_force,
            Arc::clone(&health),
            peer_manifests,
            body,
        ),
        upstreams: UpstreamWatch::new(
            directory,
            Arc::clone(&platform.vms),
            Arc::clone(&platform.cloud),
            health,
            learnt_tx,
            UpstreamWatchOptions::default(),
        ),
        peering,
        registry,
        bridge,
        callers,
        callers_options: server_options(&settings.limits),
        drain_settings: settings.drain,
        stops,
    };
    let background = start_background(operators, readiness, &settings);
    Ok(Assembled {
        parts,
        addresses,
        background,
    })
}

async fn bind(address: SocketAddr, name: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {name} on {address}"))
}

fn connect_platform(settings: &PlatformSettings) -> anyhow::Result<Platform> {
    let secret = match &settings.credential {
        Some(reference) => Some(reference.load()?),
        None => None,
    };
    let options = PlatformOptions {
        address: settings.address,
        secret: secret.map(|secret| secret.expose().to_owned().into()),
        connect_timeout: settings.connect_timeout,
        call_timeout: settings.request_timeout,
        ..PlatformOptions::default()
    };
    let platform = PlatformRegistry::default().connect(&settings.kind.to_string(), &options)?;
    Ok(platform)
}

/// Returns the addresses at which other nodes may be found: those in the settings and those in the
/// platform's table. An outage of the table leaves those in the settings.
async fn find_seeds(registry: &NodeRegistry, settings: &Settings) -> Vec<SocketAddr> {
    let mut seeds = settings.peers.seeds.clone();
    match registry.refresh().await {
        Ok(known) => seeds.extend(known),
        Err(error) => tracing::warn!(%error, "the rows of the nodes were not read"),
    }
    seeds
}

fn build_serving(
    settings: &Settings,
    platform: &Platform,
    peering: &Peering,
    in_force: &Arc<InForce<Manifest>>,
    directory: &Arc<UpstreamDirectory>,
    drain: &DrainSignal,
) -> Arc<Serving> {
    let connections = Connections::new(ConnectionsOptions::default());
    Arc::new(Serving {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        manifest: ManifestView::new(Arc::clone(in_force)),
        upstreams: Arc::clone(directory),
        routing: Routing::new(settings.zone.clone(), Arc::clone(directory)),
        admission: NodeAdmission::new(Arc::clone(directory), live_nodes(&peering.membership)),
        engine: Arc::new(HttpEngine::new(connections.clone())),
        plain: PlainServiceClient::new(connections, MAX_PLAIN_ANSWER_BYTES),
        ledger: Ledger::new(Arc::clone(&platform.table), LedgerOptions::default()),
        claimant: Claimant {
            node: peering.identity.node.clone(),
            incarnation: peering.identity.incarnation,
        },
        liveness: Arc::new(MemberLiveness(peering.membership.clone())),
        work: TaskTracker::new(),
        journals: Arc::new(PeerJournals::new(
            settings.node.clone(),
            settings.zone.clone(),
            peering.membership.clone(),
            peering.clients.clone(),
            peering.store.clone(),
        )),
        drain: drain.subscribe(),
        limits: caller_limits(&settings.limits),
    })
}

fn incarnation(source: IncarnationSource) -> Incarnation {
    match source {
        IncarnationSource::StartTime => Incarnation(UnixMillis::now().0),
        IncarnationSource::Fixed(incarnation) => incarnation,
    }
}

/// Returns the count of the nodes among which callers are spread.
fn live_nodes(membership: &MembershipHandle) -> NodeCount {
    let membership = membership.clone();
    Arc::new(move || {
        let members = membership.members();
        members.iter().filter(|member| member.is_alive()).count()
    })
}

fn caller_limits(limits: &LimitSettings) -> CallerLimits {
    CallerLimits {
        max_body_bytes: limits.max_body.0 as usize,
        body_timeout: limits.read_stall,
        write_stall_timeout: limits.write_stall,
        keepalive_interval: KEEPALIVE_INTERVAL,
        max_concurrent_requests: limits.max_concurrent_requests,
        max_concurrent_per_workspace: limits.max_concurrent_per_workspace,
    }
}

fn server_options(limits: &LimitSettings) -> HttpServerOptions {
    HttpServerOptions {
        max_connections: limits.max_connections,
        header_timeout: limits.read_stall,
        max_header_bytes: limits.max_header.0 as usize,
        write_timeout: limits.write_stall,
        ..HttpServerOptions::default()
    }
}

fn build_follower(
    platform: &Platform,
    in_force: Arc<InForce<Manifest>>,
    health: Arc<PlatformHealth>,
    peers: PeerManifests,
    body: ManifestBody,
) -> ManifestFollower {
    let store = ManifestStore::new(
        Arc::clone(&platform.table),
        Arc::clone(&platform.objects),
        RetryOptions::default(),
    );
    ManifestFollower::new(
        store,
        in_force,
        health,
        peers,
        body,
        ManifestFollowerOptions::default(),
    )
}

fn start_background(
    operators: TcpListener,
    readiness: Arc<Readiness>,
    settings: &Settings,
) -> Background {
    let (operators_phase, phase) = watch::channel(ServerPhase::Open);
    let router = health_router(readiness);
    let options = server_options(&settings.limits);
    let server = http_server::serve(operators, router, options, phase);
    Background {
        operators_phase,
        operators_server: tokio::spawn(server),
    }
}

fn health_router(readiness: Arc<Readiness>) -> axum::Router {
    let ready = move || {
        let state = readiness.state();
        let status = match state {
            ReadinessState::Serving => http::StatusCode::OK,
            _ => http::StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready((status, state.to_string()))
    };
    axum::Router::new()
        .route("/healthz", axum::routing::get(|| async { "ok" }))
        .route("/readyz", axum::routing::get(ready))
}
