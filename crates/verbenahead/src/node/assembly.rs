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
use verbenahead_platform::{Platform, PlatformOptions, PlatformRegistry, ReclaimNotice};
use verbenahead_state::{
    InForce, ManifestStore, RetryOptions, UnixMillis,
    ledger::{Claimant, Ledger, LedgerOptions},
};
use verbenahead_upstream::{Connections, ConnectionsOptions, HttpEngine, PlainServiceClient};

use crate::{
    node::{
        active_manifest::ManifestView,
        drain::DrainSignal,
        http_server::{self, HttpServerOptions, ServerPhase},
        journals::NoJournals,
        lifecycle::NodeParts,
        liveness::NobodyGone,
        manifest_follower::{ManifestFollower, ManifestFollowerOptions},
        platform_health::PlatformHealth,
        readiness::{Readiness, ReadinessState},
        serving::{CallerLimits, Serving},
        stop::{self, StopRequest},
        upstream_directory::UpstreamDirectory,
        upstream_watch::{UpstreamWatch, UpstreamWatchOptions},
    },
    settings::{IncarnationSource, LimitSettings, PlatformSettings, Settings},
};

/// Requests to stop that wait at most.
const STOP_CHANNEL_CAPACITY: usize = 4;

/// Reclaim notices that wait to be told to peers at most.
const NOTICE_CHANNEL_CAPACITY: usize = 256;

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
    let peers = bind(settings.listeners.peers, "peers").await?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        operators: operators.local_addr()?,
        peers: peers.local_addr()?,
    };
    let (stop_tx, stops) = mpsc::channel(STOP_CHANNEL_CAPACITY);
    stop::forward_signals(stop_tx.clone()).context("cannot handle signals")?;
    let health = Arc::new(PlatformHealth::default());
    let in_force = Arc::new(InForce::<Manifest>::default());
    let drain = DrainSignal::default();
    let directory = Arc::new(UpstreamDirectory::default());
    let readiness = Arc::new(Readiness::default());
    let serving = build_serving(&settings, &platform, &in_force, &directory, &drain);
    let (notice_tx, notice_rx) = mpsc::channel(NOTICE_CHANNEL_CAPACITY);
    spawn_notices(&settings, notice_rx, stop_tx);
    let parts = NodeParts {
        serving,
        drain,
        readiness: Arc::clone(&readiness),
        manifests: build_follower(&platform, in_force, Arc::clone(&health)),
        upstreams: UpstreamWatch::new(
            directory,
            Arc::clone(&platform.vms),
            Arc::clone(&platform.cloud),
            health,
            notice_tx,
            UpstreamWatchOptions::default(),
        ),
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

fn build_serving(
    settings: &Settings,
    platform: &Platform,
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
        engine: Arc::new(HttpEngine::new(connections.clone())),
        plain: PlainServiceClient::new(connections, MAX_PLAIN_ANSWER_BYTES),
        ledger: Ledger::new(Arc::clone(&platform.table), LedgerOptions::default()),
        claimant: Claimant {
            node: settings.node.clone(),
            incarnation: incarnation(settings.incarnation),
        },
        liveness: Arc::new(NobodyGone),
        work: TaskTracker::new(),
        journals: Arc::new(NoJournals),
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

fn caller_limits(limits: &LimitSettings) -> CallerLimits {
    CallerLimits {
        max_body_bytes: limits.max_body.0 as usize,
        body_timeout: limits.read_stall,
        write_stall_timeout: limits.write_stall,
        keepalive_interval: KEEPALIVE_INTERVAL,
        max_concurrent_requests: limits.max_concurrent_requests,
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
) -> ManifestFollower {
    let store = ManifestStore::new(
        Arc::clone(&platform.table),
        Arc::clone(&platform.objects),
        RetryOptions::default(),
    );
    let (_, news) = watch::channel(None);
    ManifestFollower::new(
        store,
        in_force,
        health,
        Arc::new(Vec::new),
        news,
        ManifestFollowerOptions::default(),
    )
}

/// Passes on notices about the node's own VM as requests to stop. The VM of a node has its id.
fn spawn_notices(
    settings: &Settings,
    mut notices: mpsc::Receiver<ReclaimNotice>,
    stops: mpsc::Sender<StopRequest>,
) {
    let own = settings.node.clone();
    tokio::spawn(async move {
        while let Some(notice) = notices.recv().await {
            if notice.vm.as_str() != own.as_str() {
                continue;
            }
            let remaining = notice.remaining;
            if stops
                .send(StopRequest::Reclaim { remaining })
                .await
                .is_err()
            {
                return;
            }
        }
    });
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
