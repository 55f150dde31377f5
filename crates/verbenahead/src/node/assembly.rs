//! Opens the listeners of a node and builds its components from the settings.

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
        background::BackgroundServices,
        client_budget::ApiListener,
        fleet::{FleetController, FleetControllerOptions, FleetParts},
        gauges::GaugeUpdater,
        http_server::{ConnectionBounds, HttpServerOptions},
        initial_load_reader::InitialLoadReader,
        lifecycle::NodeParts,
        listener::listen,
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

/// Capacity of the channel of stop requests.
const STOP_CHANNEL_CAPACITY: usize = 4;

/// Capacity of the channel of leaving upstreams that are yet to be announced to peers.
const LEAVING_CHANNEL_CAPACITY: usize = 256;

/// Time between two keepalive events on a streamed response that carries no data.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum size of a response from a plain service, in bytes.
const MAX_PLAIN_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// `Addresses` holds the addresses on which a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for peers.
    pub peers: SocketAddr,
}

/// `AssembledNode` is a node whose listeners are open and which has not joined yet.
pub struct AssembledNode {
    /// Components that follow the life cycle.
    pub parts: NodeParts,
    /// Addresses on which the node listens.
    pub addresses: Addresses,
    /// Services that run from start-up until the node has drained.
    pub background: BackgroundServices,
}

/// Opens the listeners and builds the components of a node.
///
/// # Errors
///
/// When a listener cannot be opened, a secret cannot be read or an adapter cannot be built.
pub async fn assemble(settings: Settings) -> anyhow::Result<AssembledNode> {
    let context = NodeContext::try_new(settings)?;
    let listeners = context.settings.listeners;
    let callers = bind(&context, listeners.callers, ApiListener::Callers)?;
    let operators = bind(&context, listeners.operators, ApiListener::Operators)?;
    let (peering, registry) = join_peers(&context).await?;
    let addresses = Addresses {
        callers: callers.local_addr()?,
        operators: operators.local_addr()?,
        peers: peering.identity.address,
    };
    let options = server_options(&context, ApiListener::Operators);
    let background = BackgroundServices::start(&context, &peering, operators, options)?;
    let parts = build_parts(context, peering, registry, callers)?;
    Ok(AssembledNode {
        parts,
        addresses,
        background,
    })
}

fn bind(
    context: &NodeContext,
    address: SocketAddr,
    listener: ApiListener,
) -> anyhow::Result<TcpListener> {
    listen(address, context.clients.backlog(listener))
        .with_context(|| format!("cannot listen for {listener} on {address}"))
}

async fn join_peers(context: &NodeContext) -> anyhow::Result<(Peering, NodeRegistry)> {
    let settings = &context.settings;
    let (listener, security) = peering::bind(
        settings.listeners.peers,
        &settings.peers.credentials,
        context.clients.process_memory(),
    )
    .await?;
    let identity = NodeIdentity {
        node: settings.node.clone(),
        incarnation: context.incarnation,
        address: listener.address(),
        zone: settings.zone.clone(),
    };
    let registry = NodeRegistry::new(Arc::clone(&context.platform.table), identity.clone());
    let seeds = find_seeds(&registry, settings).await;
    let reports = Arc::new(context.reports());
    let peering = Peering::start(listener, security, identity, seeds, reports)?;
    Ok((peering, registry))
}

/// Returns the peer addresses of other nodes, from the settings and from the platform's table.
///
/// If the table cannot be read, only the addresses from the settings are returned.
async fn find_seeds(registry: &NodeRegistry, settings: &Settings) -> Vec<SocketAddr> {
    let mut seeds = settings.peers.seeds.clone();
    match registry.refresh().await {
        Ok(known) => seeds.extend(known),
        Err(error) => tracing::warn!(%error, "cannot read the registered nodes"),
    }
    seeds
}

fn build_parts(
    context: NodeContext,
    peering: Peering,
    registry: NodeRegistry,
    callers: TcpListener,
) -> anyhow::Result<NodeParts> {
    let (stop_tx, stops) = mpsc::channel(STOP_CHANNEL_CAPACITY);
    stop::forward_signals(stop_tx.clone()).context("cannot handle signals")?;
    let (leaving_tx, leaving) = mpsc::channel(LEAVING_CHANNEL_CAPACITY);
    let bridge = NewsBridge {
        news: peering.news.clone(),
        membership: peering.membership.clone(),
        directory: Arc::clone(&context.directory),
        manifest: context.manifest(),
        burn: Arc::clone(&context.burn),
        leaving,
        own_vm: context.settings.node.to_string(),
        stops: stop_tx,
    };
    let (recorder, recording) = Recorder::spawn(RecorderOptions::default());
    let serving = build_serving_context(&context, &peering, recorder);
    let initial_load_reader = InitialLoadReader::new(
        Arc::clone(&context.directory),
        context.manifest(),
        Arc::clone(&serving.engine),
    );
    let fleets = build_fleets(&context, &peering, leaving_tx.clone());
    let upstreams = UpstreamWatch::new(
        Arc::clone(&context.directory),
        Arc::clone(&context.platform.vms),
        Arc::clone(&context.platform.cloud),
        Arc::clone(&context.health),
        leaving_tx,
        initial_load_reader,
        UpstreamWatchOptions::default(),
    );
    let gauges = GaugeUpdater {
        metrics: context.metrics.clone(),
        membership: peering.membership.clone(),
        directory: Arc::clone(&context.directory),
        manifest: context.manifest(),
        health: Arc::clone(&context.health),
        clients: context.clients.memory(),
    };
    let sweeper = Sweeper::new(build_ledger(&context), SweeperOptions::default());
    Ok(NodeParts {
        serving,
        recording,
        sweeper,
        manifests: build_follower(&context, &peering),
        readiness: Arc::clone(&context.readiness),
        callers_options: server_options(&context, ApiListener::Callers),
        drain_settings: context.settings.drain,
        drain: context.drain,
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

fn build_serving_context(
    context: &NodeContext,
    peering: &Peering,
    recorder: Recorder,
) -> Arc<ServingContext> {
    let settings = &context.settings;
    let directory = &context.directory;
    let connections = Connections::new(ConnectionsOptions::default());
    Arc::new(ServingContext {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        manifest: context.manifest(),
        upstreams: Arc::clone(directory),
        routing: Routing::new(
            settings.node.clone(),
            settings.zone.clone(),
            Arc::clone(directory),
        ),
        admission: NodeAdmission::new(Arc::clone(directory), live_nodes(&peering.membership)),
        engine: Arc::new(HttpEngine::new(connections.clone())),
        plain: PlainServiceClient::new(connections, MAX_PLAIN_RESPONSE_BYTES),
        ledger: build_ledger(context),
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
        drain: context.drain.subscribe(),
        observer: context.observer(),
        limits: caller_limits(&settings.limits),
        memory: context.clients.memory(),
    })
}

fn build_fleets(
    context: &NodeContext,
    peering: &Peering,
    leaving: mpsc::Sender<LeavingUpstream>,
) -> FleetController {
    FleetController::new(FleetParts {
        claimant: claimant(peering),
        membership: peering.membership.clone(),
        manifest: context.manifest(),
        directory: Arc::clone(&context.directory),
        vms: Arc::clone(&context.platform.vms),
        cloud: Arc::clone(&context.platform.cloud),
        table: Arc::clone(&context.platform.table),
        engine: Arc::new(HttpEngine::new(Connections::new(
            ConnectionsOptions::default(),
        ))),
        leaving,
        drain: context.drain.subscribe(),
        options: FleetControllerOptions::default(),
    })
}

fn claimant(peering: &Peering) -> Claimant {
    Claimant {
        node: peering.identity.node.clone(),
        incarnation: peering.identity.incarnation,
    }
}

/// Builds the ledger on the table that groups writes, since the platform's table sustains only few
/// transactions per second.
fn build_ledger(context: &NodeContext) -> Ledger {
    Ledger::new(Arc::clone(&context.grouped_table), LedgerOptions::default())
}

/// Returns a function that counts the live nodes, over which the balancer spreads callers.
fn live_nodes(membership: &MembershipHandle) -> NodeCount {
    let membership = membership.clone();
    Arc::new(move || {
        let members = membership.members();
        members.iter().filter(|member| member.is_alive()).count()
    })
}

fn build_follower(context: &NodeContext, peering: &Peering) -> ManifestFollower {
    ManifestFollower::new(
        context.manifest_store(),
        Arc::clone(&context.in_force),
        Arc::clone(&context.health),
        PeerManifests::new(peering),
        context.body.clone(),
        ManifestFollowerOptions::default(),
    )
}

fn caller_limits(limits: &LimitSettings) -> CallerLimits {
    CallerLimits {
        max_body: limits.max_body,
        body_timeout: limits.read_stall,
        write_stall_timeout: limits.write_stall,
        keepalive_interval: KEEPALIVE_INTERVAL,
        max_concurrent_requests: limits.max_concurrent_requests,
        max_concurrent_per_workspace: limits.max_concurrent_per_workspace,
    }
}

fn server_options(context: &NodeContext, listener: ApiListener) -> HttpServerOptions {
    let limits = &context.settings.limits;
    let bounds = ConnectionBounds {
        header_timeout: limits.read_stall,
        max_header_bytes: limits.max_header.0 as usize,
        write_timeout: limits.write_stall,
        ..ConnectionBounds::default()
    };
    HttpServerOptions {
        max_connections: context.clients.max_connections(),
        bounds: Arc::new(move || bounds),
        memory: Some(context.clients.listener(listener)),
        ..HttpServerOptions::new(context.metrics.connections_gauge(listener.name()))
    }
}
