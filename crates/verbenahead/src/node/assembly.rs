//! Builds the parts of a node from its settings.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{net::TcpListener, sync::mpsc};
use tokio_util::task::TaskTracker;
use verbenahead_membership::{MembershipHandle, NodeIdentity};
use verbenahead_state::ledger::{
    Claimant, Ledger, LedgerOptions,
    recorder::{Recorder, RecorderOptions},
    sweeper::{Sweeper, SweeperOptions},
};
use verbenahead_upstream::{Connections, ConnectionsOptions, HttpEngine, PlainServiceClient};

use crate::{
    node::{
        admission::{NodeAdmission, NodeCount},
        background::Background,
        fleet::{FleetController, FleetControllerOptions, FleetParts},
        gauges::GaugeUpdater,
        http_server::{ConnectionBounds, HttpServerOptions},
        initial_load_reader::InitialLoadReader,
        lifecycle::NodeParts,
        manifest_follower::{ManifestFollower, ManifestFollowerOptions},
        member_liveness::MemberLiveness,
        news_bridge::NewsBridge,
        node_context::NodeContext,
        node_registry::NodeRegistry,
        peer_journals::PeerJournals,
        peer_manifests::PeerManifests,
        peering::{self, Peering},
        routing::Routing,
        serving::{CallerLimits, ServingContext},
        stop,
        upstream_directory::LeavingUpstream,
        upstream_watch::{UpstreamWatch, UpstreamWatchOptions},
    },
    settings::{LimitSettings, Settings},
};

/// Name of the listener for callers.
const CALLERS: &str = "callers";

/// Name of the listener for operators.
const OPERATORS: &str = "operators";

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

/// Opens the listeners and builds the parts of a node.
///
/// # Errors
///
/// When a listener cannot be opened, a secret cannot be read or an adapter cannot be built.
pub async fn assemble(settings: Settings) -> anyhow::Result<Assembled> {
    let shared = NodeContext::try_new(settings)?;
    let listeners = shared.settings.listeners;
    let callers = bind(listeners.callers, CALLERS).await?;
    let operators = bind(listeners.operators, OPERATORS).await?;
    let (peering, registry) = join_peers(&shared).await?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        operators: operators.local_addr()?,
        peers: peering.identity.address,
    };
    let options = server_options(&shared, OPERATORS);
    let background = Background::start(&shared, &peering, operators, options)?;
    let parts = build_parts(shared, peering, registry, callers)?;
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

async fn join_peers(shared: &NodeContext) -> anyhow::Result<(Peering, NodeRegistry)> {
    let settings = &shared.settings;
    let (listener, security) =
        peering::bind(settings.listeners.peers, &settings.peers.credentials).await?;
    let identity = NodeIdentity {
        node: settings.node.clone(),
        incarnation: shared.incarnation,
        address: listener.address(),
        zone: settings.zone.clone(),
    };
    let registry = NodeRegistry::new(Arc::clone(&shared.platform.table), identity.clone());
    let seeds = find_seeds(&registry, settings).await;
    let reports = Arc::new(shared.reports());
    let peering = Peering::start(listener, security, identity, seeds, reports)?;
    Ok((peering, registry))
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

fn build_parts(
    shared: NodeContext,
    peering: Peering,
    registry: NodeRegistry,
    callers: TcpListener,
) -> anyhow::Result<NodeParts> {
    let (stop_tx, stops) = mpsc::channel(STOP_CHANNEL_CAPACITY);
    stop::forward_signals(stop_tx.clone()).context("cannot handle signals")?;
    let (learnt_tx, learnt) = mpsc::channel(LEARNT_CHANNEL_CAPACITY);
    let bridge = NewsBridge {
        news: peering.news.clone(),
        membership: peering.membership.clone(),
        directory: Arc::clone(&shared.directory),
        manifest: shared.manifest(),
        burn: Arc::clone(&shared.burn),
        learnt,
        own_vm: shared.settings.node.to_string(),
        stops: stop_tx,
    };
    let (recorder, recording) = Recorder::spawn(RecorderOptions::default());
    let serving = build_serving(&shared, &peering, recorder);
    let initial_load_reader = InitialLoadReader::new(
        Arc::clone(&shared.directory),
        shared.manifest(),
        Arc::clone(&serving.engine),
    );
    let fleets = build_fleets(&shared, &peering, learnt_tx.clone());
    let upstreams = UpstreamWatch::new(
        Arc::clone(&shared.directory),
        Arc::clone(&shared.platform.vms),
        Arc::clone(&shared.platform.cloud),
        Arc::clone(&shared.health),
        learnt_tx,
        initial_load_reader,
        UpstreamWatchOptions::default(),
    );
    let gauges = GaugeUpdater {
        metrics: shared.metrics.clone(),
        membership: peering.membership.clone(),
        directory: Arc::clone(&shared.directory),
        manifest: shared.manifest(),
        health: Arc::clone(&shared.health),
    };
    let sweeper = Sweeper::new(build_ledger(&shared), SweeperOptions::default());
    Ok(NodeParts {
        serving,
        recording,
        sweeper,
        manifests: build_follower(&shared, &peering),
        readiness: Arc::clone(&shared.readiness),
        callers_options: server_options(&shared, CALLERS),
        drain_settings: shared.settings.drain,
        drain: shared.drain,
        upstreams,
        peering,
        registry,
        bridge,
        gauges,
        fleets,
        callers,
        stops,
    })
}

fn build_serving(
    shared: &NodeContext,
    peering: &Peering,
    recorder: Recorder,
) -> Arc<ServingContext> {
    let settings = &shared.settings;
    let directory = &shared.directory;
    let connections = Connections::new(ConnectionsOptions::default());
    Arc::new(ServingContext {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        manifest: shared.manifest(),
        upstreams: Arc::clone(directory),
        routing: Routing::new(
            settings.node.clone(),
            settings.zone.clone(),
            Arc::clone(directory),
        ),
        admission: NodeAdmission::new(Arc::clone(directory), live_nodes(&peering.membership)),
        engine: Arc::new(HttpEngine::new(connections.clone())),
        plain: PlainServiceClient::new(connections, MAX_PLAIN_ANSWER_BYTES),
        ledger: build_ledger(shared),
        recorder,
        claimant: claimant(peering),
        liveness: Arc::new(MemberLiveness(peering.membership.clone())),
        work: TaskTracker::new(),
        journals: Arc::new(PeerJournals::new(
            settings.node.clone(),
            settings.zone.clone(),
            peering.membership.clone(),
            peering.clients.clone(),
            peering.store.clone(),
        )),
        drain: shared.drain.subscribe(),
        observer: shared.observer(),
        limits: caller_limits(&settings.limits),
    })
}

fn build_fleets(
    shared: &NodeContext,
    peering: &Peering,
    news: mpsc::Sender<LeavingUpstream>,
) -> FleetController {
    FleetController::new(FleetParts {
        claimant: claimant(peering),
        membership: peering.membership.clone(),
        manifest: shared.manifest(),
        directory: Arc::clone(&shared.directory),
        vms: Arc::clone(&shared.platform.vms),
        cloud: Arc::clone(&shared.platform.cloud),
        table: Arc::clone(&shared.platform.table),
        engine: Arc::new(HttpEngine::new(Connections::new(
            ConnectionsOptions::default(),
        ))),
        news,
        drain: shared.drain.subscribe(),
        options: FleetControllerOptions::default(),
    })
}

fn claimant(peering: &Peering) -> Claimant {
    Claimant {
        node: peering.identity.node.clone(),
        incarnation: peering.identity.incarnation,
    }
}

/// Builds the ledger over writes that are grouped, since the table takes few transactions a second.
fn build_ledger(shared: &NodeContext) -> Ledger {
    Ledger::new(Arc::clone(&shared.grouped_table), LedgerOptions::default())
}

/// Returns the count of the nodes among which callers are spread.
fn live_nodes(membership: &MembershipHandle) -> NodeCount {
    let membership = membership.clone();
    Arc::new(move || {
        let members = membership.members();
        members.iter().filter(|member| member.is_alive()).count()
    })
}

fn build_follower(shared: &NodeContext, peering: &Peering) -> ManifestFollower {
    ManifestFollower::new(
        shared.manifest_store(),
        Arc::clone(&shared.in_force),
        Arc::clone(&shared.health),
        PeerManifests::new(peering),
        shared.body.clone(),
        ManifestFollowerOptions::default(),
    )
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

fn server_options(shared: &NodeContext, listener: &'static str) -> HttpServerOptions {
    let limits = &shared.settings.limits;
    let bounds = ConnectionBounds {
        header_timeout: limits.read_stall,
        max_header_bytes: limits.max_header.0 as usize,
        write_timeout: limits.write_stall,
        ..ConnectionBounds::default()
    };
    HttpServerOptions {
        max_connections: limits.max_connections,
        bounds: Arc::new(move || bounds),
        ..HttpServerOptions::new(shared.metrics.connections_of(listener))
    }
}
