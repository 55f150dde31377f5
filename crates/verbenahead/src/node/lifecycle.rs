//! The life cycle of a node: joining, serving, draining.

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

/// Pause between two tries to join.
const JOIN_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Part of the remaining time of a reclaimed VM that the balancer's pause may take.
const RECLAIM_PAUSE_PART: u32 = 4;

/// Time before the stop of a reclaimed VM by which all that runs has moved.
const RECLAIM_MARGIN: Duration = Duration::from_secs(2);

/// `NodeParts` are the parts of a node that last over its whole life.
pub struct NodeParts {
    /// What the handlers share.
    pub serving: Arc<ServingContext>,
    /// Start of the drain.
    pub drain: DrainSignal,
    /// Whether the node is ready.
    pub readiness: Arc<Readiness>,
    /// Keeps the manifest in force.
    pub manifests: ManifestFollower,
    /// Keeps the directory of upstreams.
    pub upstreams: UpstreamWatch,
    /// This node among the others.
    pub peering: Peering,
    /// The node's row in the platform's table.
    pub registry: NodeRegistry,
    /// Carries news between the peers and this node.
    pub bridge: NewsBridge,
    /// Removes expired rows of the ledger.
    pub sweeper: Sweeper,
    /// Ends once everything that waits to be recorded in the ledger was tried.
    pub recording: JoinHandle<RecorderSummary>,
    /// Keeps the gauges.
    pub gauges: GaugeUpdater,
    /// Keeps the fleets of services.
    pub fleets: FleetController,
    /// Listener for callers.
    pub callers: TcpListener,
    /// Bounds of the listener for callers.
    pub callers_options: HttpServerOptions,
    /// How the node stops.
    pub drain_settings: DrainSettings,
    /// Requests to stop.
    pub stops: mpsc::Receiver<StopRequest>,
}

/// `Joining` is the state of a node that learns what is in force.
pub struct Joining {
    parts: NodeParts,
}

/// `Running` is the state of a node that serves.
pub struct Running {
    parts: RunningParts,
}

/// `Draining` is the state of a node that ends its work.
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

/// `Joined` is the end of joining.
pub enum Joined {
    /// The node serves.
    Serving(Box<Node<Running>>),
    /// The node was told to stop before it served.
    Stopped,
}

impl Node<Joining> {
    /// Builds a node that has not joined yet.
    pub fn new(parts: NodeParts) -> Self {
        Self(Joining { parts })
    }

    /// Learns the manifest in force and the upstreams, then serves.
    pub async fn join(self) -> Joined {
        let mut parts = self.0.parts;
        loop {
            tokio::select! {
                is_known = parts.manifests.learn() => if is_known { break },
                Some(_) = parts.stops.recv() => return Joined::Stopped,
            }
            tokio::select! {
                () = sleep(JOIN_RETRY_PAUSE) => {}
                Some(_) = parts.stops.recv() => return Joined::Stopped,
            }
        }
        parts.upstreams.read_list().await;
        Joined::Serving(Box::new(Node(Running {
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

/// Sweeps the ledger when this node is the first of the live ones, so that one node does the work.
fn spawn_sweeper(sweeper: Sweeper, peering: &Peering) {
    let membership = peering.membership.clone();
    let node = peering.identity.node.clone();
    let is_mine = move || {
        let members = membership.members();
        let mut alive = members.iter().filter(|member| member.is_alive());
        alive.next().is_some_and(|first| first.node == node)
    };
    let ticks = TimerService.subscribe(SWEEP_PERIOD, SWEEP_PERIOD);
    tokio::spawn(sweeper.run(ticks, is_mine));
}

impl Node<Running> {
    /// Serves until the node is told to stop. Readiness fails from then on.
    pub async fn serve(mut self) -> Node<Draining> {
        let stop = self.0.parts.stops.recv().await;
        let stop = stop.unwrap_or(StopRequest::Signal);
        let settings = self.0.parts.drain_settings;
        let deadline = Instant::now() + time_limit(stop, settings.limit);
        tracing::info!(?stop, "node drains");
        self.0.parts.readiness.set_draining();
        self.0.parts.drain.start(deadline);
        self.0.parts.peering.leave().await;
        let pause = match stop {
            StopRequest::Signal => settings.balancer_pause,
            StopRequest::Reclaim { remaining } => {
                settings.balancer_pause.min(remaining / RECLAIM_PAUSE_PART)
            }
        };
        sleep(pause).await;
        Node(Draining {
            parts: self.0.parts,
            deadline,
        })
    }
}

fn time_limit(stop: StopRequest, limit: Duration) -> Duration {
    match stop {
        StopRequest::Signal => limit,
        StopRequest::Reclaim { remaining } => remaining.saturating_sub(RECLAIM_MARGIN).min(limit),
    }
}

/// Time after the drain's deadline for connections to take their last events.
const LAST_EVENTS_TIME: Duration = Duration::from_secs(5);

/// Longest time to record in the ledger what its table has not taken yet.
const RECORDING_TIMEOUT: Duration = Duration::from_secs(12);

/// The same after a drain that left requests behind.
const INTERRUPTED_RECORDING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two rounds of removing expired rows of the ledger.
const SWEEP_PERIOD: Duration = Duration::from_secs(60);

/// Longest time to remove the node's row from the platform's table.
const DEREGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to end the orders under the leases of fleets and to release these.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// `DrainReport` tells how a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainReport {
    /// Every request ended or moved.
    Complete,
    /// Connections were left when the time was over.
    TimedOut,
    /// A second request to stop came first.
    Interrupted,
}

impl Node<Draining> {
    /// Ends the work of the node, then leaves the other nodes.
    pub async fn finish(mut self) -> DrainReport {
        let report = self.end_work().await;
        let parts = self.0.parts;
        let recording_time = match report {
            DrainReport::Complete => RECORDING_TIMEOUT,
            // Requests that still run would keep the recorder from coming to an end.
            DrainReport::TimedOut | DrainReport::Interrupted => INTERRUPTED_RECORDING_TIMEOUT,
        };
        if timeout(recording_time, parts.recording).await.is_err() {
            tracing::warn!("answers were left that the ledger has not recorded");
        }
        parts.peering.depart().await;
        drop(parts.tasks);
        let _ = timeout(DEREGISTER_TIMEOUT, parts.registry).await;
        if timeout(RELEASE_TIMEOUT, parts.fleets).await.is_err() {
            tracing::warn!("leases were left that end by themselves");
        }
        report
    }

    /// Closes the listener for callers and waits until every request has ended or moved.
    async fn end_work(&mut self) -> DrainReport {
        let parts = &mut self.0.parts;
        parts.phase.send_replace(ServerPhase::Closing);
        parts.work.close();
        let ended = async {
            let _ = (&mut parts.server).await;
            parts.work.wait().await;
        };
        tokio::pin!(ended);
        let last = self.0.deadline + LAST_EVENTS_TIME;
        loop {
            tokio::select! {
                () = &mut ended => return DrainReport::Complete,
                () = tokio::time::sleep_until(last) => return DrainReport::TimedOut,
                Some(stop) = parts.stops.recv() => match stop {
                    StopRequest::Signal => return DrainReport::Interrupted,
                    StopRequest::Reclaim { .. } => {
                        let limit = time_limit(stop, parts.drain_settings.limit);
                        parts.drain.start(Instant::now() + limit);
                    }
                },
            }
        }
    }
}
