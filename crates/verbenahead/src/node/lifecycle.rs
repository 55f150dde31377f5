//! The life cycle of a node: joining, running, draining.

use std::{sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tokio_util::task::TaskTracker;
use verbenahead_core::timer::TimerService;
use verbenahead_state::ledger::{recorder::RecorderSummary, sweeper::Sweeper};

use crate::{
    callers,
    node::{
        drain::DrainSignal,
        fleet::FleetController,
        gauges::GaugeUpdater,
        http_server::{self, HttpServerOptions, ServerPhase},
        manifest_follower::ManifestFollower,
        news_bridge::NewsBridge,
        node_registry::NodeRegistry,
        peering::Peering,
        readiness::Readiness,
        serving::ServingContext,
        stop::StopRequest,
        upstream_watch::UpstreamWatch,
    },
    settings::DrainSettings,
};

/// Delay between two attempts to learn the manifest in force.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Divisor of a reclaimed VM's remaining time: the pause that gives the balancer time to notice the
/// drain takes at most this share of it.
const RECLAIM_PAUSE_DIVISOR: u32 = 4;

/// Time before the end of a reclaimed VM by which all requests must have moved to other nodes.
const RECLAIM_MARGIN: Duration = Duration::from_secs(2);

/// `NodeParts` holds the components of a node.
pub struct NodeParts {
    /// State that the request handlers share.
    pub serving: Arc<ServingContext>,
    /// Starts the drain.
    pub drain: DrainSignal,
    /// State that the readiness check reports.
    pub readiness: Arc<Readiness>,
    /// Applies accepted manifests.
    pub manifests: ManifestFollower,
    /// Keeps the upstream directory up to date.
    pub upstreams: UpstreamWatch,
    /// Membership, news and transport between nodes.
    pub peering: Peering,
    /// The node's row in the platform's table.
    pub registry: NodeRegistry,
    /// Forwards news between the peers and the components of this node.
    pub bridge: NewsBridge,
    /// Removes expired rows of the ledger.
    pub sweeper: Sweeper,
    /// Ledger recorder; ends once each pending record has been attempted.
    pub recording: JoinHandle<RecorderSummary>,
    /// Updates the gauges.
    pub gauges: GaugeUpdater,
    /// Starts and stops the VMs of services.
    pub fleets: FleetController,
    /// Listener for callers.
    pub callers: TcpListener,
    /// Limits of the listener for callers.
    pub callers_options: HttpServerOptions,
    /// Times of the drain.
    pub drain_settings: DrainSettings,
    /// Stop requests.
    pub stops: mpsc::Receiver<StopRequest>,
}

/// `Joining` is the state of a node that does not know the manifest in force yet.
pub struct Joining {
    parts: NodeParts,
}

/// `Running` is the state of a node that serves requests.
pub struct Running {
    parts: RunningParts,
}

/// `Draining` is the state of a node that finishes or moves its requests.
pub struct Draining {
    parts: RunningParts,
    deadline: Instant,
}

struct RunningParts {
    work: TaskTracker,
    drain: DrainSignal,
    readiness: Arc<Readiness>,
    drain_settings: DrainSettings,
    stops: mpsc::Receiver<StopRequest>,
    phase: watch::Sender<ServerPhase>,
    server: JoinHandle<()>,
    peering: Peering,
    /// Closing this channel ends the tasks that follow the platform and the peers.
    tasks: watch::Sender<()>,
    registry: JoinHandle<()>,
    fleets: JoinHandle<()>,
    recording: JoinHandle<RecorderSummary>,
}

/// `Node` is a node in one state of its life cycle.
pub struct Node<S>(S);

/// `JoinOutcome` is the result of joining.
pub enum JoinOutcome {
    /// The node serves.
    Serving(Box<Node<Running>>),
    /// The node was asked to stop before it had joined.
    Stopped,
}

impl Node<Joining> {
    /// Creates a node that has not joined yet.
    pub fn new(parts: NodeParts) -> Self {
        Self(Joining { parts })
    }

    /// Applies the manifest in force, reads the list of VMs and starts to serve.
    pub async fn join(self) -> JoinOutcome {
        let mut parts = self.0.parts;
        loop {
            tokio::select! {
                is_applied = parts.manifests.apply_current() => if is_applied { break },
                Some(_) = parts.stops.recv() => return JoinOutcome::Stopped,
            }
            tokio::select! {
                () = sleep(JOIN_RETRY_DELAY) => {}
                Some(_) = parts.stops.recv() => return JoinOutcome::Stopped,
            }
        }
        parts.upstreams.read_list().await;
        JoinOutcome::Serving(Box::new(Node(Running {
            parts: start(parts),
        })))
    }
}

fn start(parts: NodeParts) -> RunningParts {
    let (phase, phase_rx) = watch::channel(ServerPhase::Open);
    let (tasks, tasks_rx) = watch::channel(());
    let router = callers::router(Arc::clone(&parts.serving));
    let server = http_server::serve(parts.callers, router, parts.callers_options, phase_rx);
    let server = tokio::spawn(server);
    tokio::spawn(parts.manifests.run(tasks_rx.clone()));
    tokio::spawn(parts.upstreams.run(tasks_rx.clone()));
    tokio::spawn(parts.bridge.run(tasks_rx.clone()));
    tokio::spawn(parts.gauges.run(tasks_rx.clone()));
    let fleets = tokio::spawn(parts.fleets.run(tasks_rx.clone()));
    let membership = parts.peering.membership.clone();
    spawn_sweeper(parts.sweeper, &parts.peering);
    tokio::spawn(parts.peering.expire_journals(tasks_rx.clone()));
    let registry = tokio::spawn(parts.registry.run(membership, tasks_rx));
    parts.readiness.set_serving();
    tracing::info!("node serves");
    RunningParts {
        work: parts.serving.work.clone(),
        drain: parts.drain,
        readiness: parts.readiness,
        drain_settings: parts.drain_settings,
        stops: parts.stops,
        phase,
        server,
        peering: parts.peering,
        tasks,
        registry,
        fleets,
        recording: parts.recording,
    }
}

/// Starts the ledger sweeper, which works only while this node is the first in the list of live
/// nodes, so that one node does the work.
fn spawn_sweeper(sweeper: Sweeper, peering: &Peering) {
    let membership = peering.membership.clone();
    let node = peering.identity.node.clone();
    let is_first_live = move || {
        let members = membership.members();
        let mut alive = members.iter().filter(|member| member.is_alive());
        alive.next().is_some_and(|first| first.node == node)
    };
    let ticks = TimerService.subscribe(SWEEP_PERIOD, SWEEP_PERIOD);
    tokio::spawn(sweeper.run(ticks, is_first_live));
}

impl Node<Running> {
    /// Serves until the node is asked to stop, then fails readiness and starts the drain.
    pub async fn serve(mut self) -> Node<Draining> {
        let stop = self.0.parts.stops.recv().await;
        let stop = stop.unwrap_or(StopRequest::Signal);
        let settings = self.0.parts.drain_settings;
        let deadline = Instant::now() + drain_timeout(stop, settings.limit);
        tracing::info!(?stop, "node drains");
        self.0.parts.readiness.set_draining();
        self.0.parts.drain.start(deadline);
        self.0.parts.peering.leave().await;
        let pause = match stop {
            StopRequest::Signal => settings.balancer_pause,
            StopRequest::Reclaim { remaining } => settings
                .balancer_pause
                .min(remaining / RECLAIM_PAUSE_DIVISOR),
        };
        sleep(pause).await;
        Node(Draining {
            parts: self.0.parts,
            deadline,
        })
    }
}

fn drain_timeout(stop: StopRequest, limit: Duration) -> Duration {
    match stop {
        StopRequest::Signal => limit,
        StopRequest::Reclaim { remaining } => remaining.saturating_sub(RECLAIM_MARGIN).min(limit),
    }
}

/// Time after the drain's deadline for clients to receive their last events.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time to write the pending records of the ledger to its table.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(12);

/// Maximum time to write the pending records when requests were still running after the drain.
const INTERRUPTED_RECORDING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two removals of expired rows of the ledger.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// Maximum time to remove the node's row from the platform's table.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to finish the orders in flight under fleet leases and to release the leases.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// `DrainOutcome` is the result of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Every request ended or moved to another node.
    Complete,
    /// Connections were still open when the time was up.
    TimedOut,
    /// A second signal arrived before the drain ended.
    Interrupted,
}

impl Node<Draining> {
    /// Waits for the requests to end, then flushes the ledger, departs from the peers and releases
    /// the leases.
    pub async fn finish(mut self) -> DrainOutcome {
        let outcome = self.finish_requests().await;
        let parts = self.0.parts;
        let recording_time = match outcome {
            DrainOutcome::Complete => RECORDING_TIMEOUT,
            // Running requests hold the recorder, so that it would not end before the timeout.
            DrainOutcome::TimedOut | DrainOutcome::Interrupted => INTERRUPTED_RECORDING_TIMEOUT,
        };
        if timeout(recording_time, parts.recording).await.is_err() {
            tracing::warn!("some outcomes were not recorded in the ledger");
        }
        parts.peering.depart().await;
        drop(parts.tasks);
        let _ = timeout(DEREGISTER_TIMEOUT, parts.registry).await;
        if timeout(RELEASE_TIMEOUT, parts.fleets).await.is_err() {
            tracing::warn!("leases were left that end by themselves");
        }
        outcome
    }

    /// Closes the listener for callers and waits until every request has ended or moved, the
    /// time is up, or a second signal arrives.
    async fn finish_requests(&mut self) -> DrainOutcome {
        let parts = &mut self.0.parts;
        parts.phase.send_replace(ServerPhase::Closing);
        parts.work.close();
        let ended = async {
            let _ = (&mut parts.server).await;
            parts.work.wait().await;
        };
        tokio::pin!(ended);
        let last = self.0.deadline + FINAL_WRITE_TIMEOUT;
        loop {
            tokio::select! {
                () = &mut ended => return DrainOutcome::Complete,
                () = tokio::time::sleep_until(last) => return DrainOutcome::TimedOut,
                Some(stop) = parts.stops.recv() => match stop {
                    StopRequest::Signal => return DrainOutcome::Interrupted,
                    StopRequest::Reclaim { .. } => {
                        let limit = drain_timeout(stop, parts.drain_settings.limit);
                        parts.drain.start(Instant::now() + limit);
                    }
                },
            }
        }
    }
}
