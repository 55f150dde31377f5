//! Runs a relaying node from its start to the end of its graceful shutdown.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use axum::Router;
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout, timeout_at},
};

use verbenahead_relay::DrainTimes;

use crate::{
    node::{
        client_memory::ListenerMemory,
        client_watch,
        http_server::{HttpServerOptions, ServerPhase, serve},
        listener::listen,
        readiness::Readiness,
    },
    relay_node::{
        assembly::{self, RelayNode},
        budget::{ProcessBudget, caller_bounds, head_timeout},
        metrics_listener,
        readiness::{self, ReadinessSource},
        reload::SettingsWatch,
    },
    settings::{RelaySettings, SettingsSource},
    telemetry::{line_writer::LineWriter, relay_metrics::RelayMetrics},
};

/// Time from the request to stop to the closing of the listeners. The load balancer, which checks
/// readiness once a second and acts on the second failed check, stops sending in this time, and
/// callers move to other connections. A request accepted later might not end within the grace
/// period.
const CLOSE_DELAY: Duration = Duration::from_millis(2_600);

/// Largest part of the grace period that `CLOSE_DELAY` may take.
const MAX_CLOSE_DELAY_RATIO: f64 = 0.35;

/// Time before the end of the grace period at which the process ends even if requests are left.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the end of the process at which requests without a response get one of the node.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Longest time to wait for the release of the lease at the end.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_millis(200);

/// `Listeners` are the open listeners of a node.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
}

/// `ServingTasks` are the tasks that end once their requests have.
struct ServingTasks {
    callers: JoinHandle<()>,
    peers: JoinHandle<()>,
}

impl ServingTasks {
    /// Waits for the end of all requests.
    async fn ended(self) {
        for (listener, task) in [("callers", self.callers), ("peers", self.peers)] {
            if let Err(error) = task.await {
                tracing::error!(%error, listener, "listener failed");
            }
        }
    }
}

impl Listeners {
    fn open(settings: &RelaySettings) -> anyhow::Result<Self> {
        let addresses = &settings.listeners;
        let budget = ProcessBudget::from(&settings.limits);
        let (callers, others) = (budget.caller_backlog, budget.other_backlog);
        Ok(Self {
            callers: listen(addresses.callers, callers).context("cannot listen for callers")?,
            readiness: listen(addresses.readiness, others)
                .context("cannot listen for the balancer")?,
            metrics: listen(addresses.metrics, others).context("cannot listen for metrics")?,
        })
    }
}

/// Runs a node until it is told to stop and has drained. `source` is where its settings come from;
/// changes to them are logged and take effect with the next start.
///
/// # Errors
///
/// When the node cannot start.
pub async fn run(
    settings: RelaySettings,
    source: SettingsSource,
    log: LineWriter,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot watch for SIGTERM")?;
    let listeners = Listeners::open(&settings)?;
    let metrics = RelayMetrics::try_new()?;
    let (node, peer_listener) = assembly::assemble(&settings, &metrics, log).await?;
    log_start(&settings, &listeners, &node)?;
    let watch = SettingsWatch::spawn(source, settings.clone())?;
    let state = Arc::new(Readiness::default());
    state.set_serving();
    let (phase_tx, phase) = watch::channel(ServerPhase::Open);
    let peers = serve_peers(&settings, peer_listener, &node, &phase);
    let callers = serve_all(&settings, listeners, &node, &state, &phase);
    let serving = ServingTasks { callers, peers };
    wait_for_signal(&mut terminate).await;
    state.set_draining();
    node.status.set_leaving();
    // Releases the lease, so that another node takes over the duties while this one drains.
    let duties = node.duties.map(|(tx, task)| {
        drop(tx);
        task
    });
    let plan = DrainPlan::new(Instant::now(), settings.promises.grace);
    node.relay.start_drain(plan.relay_times());
    drain(&settings, plan, &phase_tx, serving).await;
    drop((node.followers, watch));
    if let Some(duties) = duties
        && timeout(LEASE_RELEASE_TIMEOUT, duties).await.is_err()
    {
        tracing::warn!(node = %settings.node, "lease not released in time");
    }
    Ok(())
}

async fn wait_for_signal(signal: &mut Signal) {
    if signal.recv().await.is_none() {
        tracing::error!("SIGTERM can no longer be received; the node stops");
    }
}

/// Logs the start of the node and the addresses of its listeners.
fn log_start(
    settings: &RelaySettings,
    listeners: &Listeners,
    node: &RelayNode,
) -> anyhow::Result<()> {
    tracing::info!(
        node = %settings.node,
        zone = %settings.zone,
        callers = %listeners.callers.local_addr()?,
        readiness = %listeners.readiness.local_addr()?,
        metrics = %listeners.metrics.local_addr()?,
        peers = %node.peers,
        store = %settings.platform.store,
        incarnation = node.incarnation.0,
        version = env!("CARGO_PKG_VERSION"),
        "node started",
    );
    Ok(())
}

/// Spawns a task that serves each listener. Returns the one that serves callers.
fn serve_all(
    settings: &RelaySettings,
    listeners: Listeners,
    node: &RelayNode,
    state: &Arc<Readiness>,
    phase: &watch::Receiver<ServerPhase>,
) -> JoinHandle<()> {
    let connections = &node.metrics.metrics.connections;
    let options =
        |listener: &str| HttpServerOptions::new(connections.with_label_values(&[listener]));
    let readiness_source = ReadinessSource {
        state: Arc::clone(state),
        routes: node.routes.clone(),
    };
    let spawn = |listener: TcpListener, router: Router, options| {
        tokio::spawn(serve(listener, router, options, phase.clone()))
    };
    let budget = ProcessBudget::from(&settings.limits);
    let metrics = metrics_listener::router(node.metrics.clone());
    let metrics_options = HttpServerOptions {
        max_connections: budget.metrics_connections,
        memory: Some(listener_memory(node, &budget, Listener::Metrics)),
        ..options("metrics")
    };
    spawn(listeners.metrics, metrics, metrics_options);
    let readiness_options = HttpServerOptions {
        max_connections: budget.readiness_connections,
        memory: Some(listener_memory(node, &budget, Listener::Readiness)),
        ..options("readiness")
    };
    let readiness = readiness::router(readiness_source);
    spawn(listeners.readiness, readiness, readiness_options);
    tokio::spawn(client_watch::run(
        node.relay.memory(),
        head_timeout(node.routes.clone()),
        node.metrics.metrics.connections_closed.clone(),
    ));
    let callers = assembly::caller_router(Arc::clone(&node.relay));
    let caller_options = HttpServerOptions {
        max_connections: budget.caller_connections,
        bounds: caller_bounds(node.routes.clone()),
        memory: Some(listener_memory(node, &budget, Listener::Callers)),
        ..options("callers")
    };
    spawn(listeners.callers, callers, caller_options)
}

/// `Listener` numbers the listeners in the memory budget.
#[derive(Debug, Clone, Copy)]
enum Listener {
    Callers,
    Peers,
    Readiness,
    Metrics,
}

fn listener_memory(node: &RelayNode, budget: &ProcessBudget, listener: Listener) -> ListenerMemory {
    ListenerMemory {
        budget: node.relay.memory(),
        listener: listener as u8,
        connection_bytes: budget.connection_memory.0,
    }
}

/// Spawns a task that passes on the requests of other nodes. Only known nodes may connect.
fn serve_peers(
    settings: &RelaySettings,
    listener: TcpListener,
    node: &RelayNode,
    phase: &watch::Receiver<ServerPhase>,
) -> JoinHandle<()> {
    let connections = &node.metrics.metrics.connections;
    let roster = node.roster.clone();
    let budget = ProcessBudget::from(&settings.limits);
    let options = HttpServerOptions {
        max_connections: budget.peer_connections,
        admits: Arc::new(move |ip| roster.lock().has_ip(ip)),
        bounds: caller_bounds(node.routes.clone()),
        memory: Some(listener_memory(node, &budget, Listener::Peers)),
        ..HttpServerOptions::new(connections.with_label_values(&["peers"]))
    };
    let router = assembly::forward_router(Arc::clone(&node.relay));
    tokio::spawn(serve(listener, router, options, phase.clone()))
}

/// `DrainPlan` holds the times of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
struct DrainPlan {
    /// Time at which the listeners are closed.
    closes_at: Instant,
    /// Time at which the process ends even if requests are left.
    exits_at: Instant,
}

impl DrainPlan {
    fn new(now: Instant, grace: Duration) -> Self {
        let close_delay = grace.mul_f64(MAX_CLOSE_DELAY_RATIO).min(CLOSE_DELAY);
        Self {
            closes_at: now + close_delay,
            exits_at: now + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Returns the times for requests. One that has not been sent when the listeners close may not end in time.
    fn relay_times(&self) -> DrainTimes {
        let answers_at = self.exits_at.checked_sub(ANSWER_MARGIN);
        DrainTimes {
            refuses_at: self.closes_at,
            ends_at: answers_at.unwrap_or(self.exits_at).max(self.closes_at),
        }
    }
}

/// Closes the listeners after `CLOSE_DELAY` and waits until all requests have ended, or until
/// shortly before the end of the grace period.
async fn drain(
    settings: &RelaySettings,
    plan: DrainPlan,
    phase: &watch::Sender<ServerPhase>,
    serving: ServingTasks,
) {
    let grace = settings.promises.grace;
    tracing::info!(node = %settings.node, grace_ms = grace.as_millis() as u64, "drain started");
    sleep_until(plan.closes_at).await;
    phase.send_replace(ServerPhase::Closing);
    let is_complete = timeout_at(plan.exits_at, serving.ended()).await.is_ok();
    tracing::info!(node = %settings.node, is_complete, "node stopped");
}
