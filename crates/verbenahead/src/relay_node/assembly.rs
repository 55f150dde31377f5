//! Builds the components of a relaying node.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU64},
    time::Duration,
};

use anyhow::Context;
use axum::{Router, body::Body, extract::Request, response::Response};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::Instant,
};
use verbenahead_core::{Generation, Incarnation, time::UnixMillis, units::ByteSize};
use verbenahead_manifest::RouteTable;
use verbenahead_membership::{Roster, RosterOptions, SharedRoster};
use verbenahead_peer::ReportSocket;
use verbenahead_platform::{
    CONFIGURATION_KEY, OPERATOR_TABLE, REPLICA_TABLE, UsersDialect, UsersDuties, UsersStore,
    are_of_different_eras, read_configuration, read_registration, read_rollout_order,
    rollout_status,
};
use verbenahead_policy::{RepeatBudgetOptions, SharedFailureOptions};
use verbenahead_relay::{
    AgreedClock, ContentQuarantine, ContentQuarantineOptions, FailureSharing, PeerPaths,
    PeerPathsOptions, PromptPlacement, PromptPlacementOptions, Relay, RelayOptions, RelayParts,
    ReplicaLimits, ReplicaSelector, Rollouts, RouteView, SharedQuotas, SharedQuotasOptions,
    StreamOrigins, StreamOriginsOptions, UpstreamRegistry, UsageOptions, UsageTracker,
    WorkspaceQuotas, WorkspaceQuotasOptions,
};
use verbenahead_services::{HttpPlatformOptions, PlatformOptions, calls::Calls};
use verbenahead_state::{
    RetryOptions, RolloutLog, SharedFeed, SharedFeedOptions, UsageLog,
    follower::{FollowerHandle, FollowerOptions, follow},
    lease::RestoreGuard,
};
use verbenahead_upstream::{Connections, ConnectionsOptions};

use crate::{
    node::listener::{Backlog, UNREAD_BYTES, listen},
    relay_node::{
        budget::ProcessBudget,
        duties::Duties,
        duty_lease::DutyLease,
        feature_keeper::{self, FeatureKeeperParts},
        fleet_duty::FleetDutyParts,
        history_keeper::HistoryKeeper,
        metrics_listener::MetricsSource,
        node_directory::{NodeDirectory, NodeRow},
        origin_keeper::{self, OriginKeeperParts},
        quarantine_keeper,
        replica_observer::ReplicaObserver,
        reporter::{self, NodeStatus, ReplicaTransport, ReporterParts, SocketTransport, ZoneFeeds},
        restore_settling::RestoreSettling,
        rollout_control::plan_options,
        rollout_duty::RolloutDutyParts,
        rollout_orders::{OperatorObserver, ReadRolloutOrder, RolloutOrders},
        route_gate::RouteGate,
        route_observer::RouteObserver,
        stream_directory::StreamDirectory,
        stream_keeper::{self, StreamKeeperParts},
        usage_counts::UsageCounts,
        usage_duty::UsageDutyParts,
        zone_readers::ZoneReaders,
    },
    settings::{Promises, RelaySettings},
    telemetry::{
        line_writer::LineWriter,
        platform_meter::{CallMeter, metered_feed, metered_orders, metered_table, metered_usage},
        relay_metrics::RelayMetrics,
    },
};

/// Timeout of a call to the store. A slow store answers in some hundred milliseconds.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which the store may hold a poll of the feed, as a fraction of the time limit
/// for noticing missed changes. The rest is for the timeout of a poll whose answer is lost and for
/// the next poll.
const POLL_TIMEOUT_RATIO: f64 = 0.7;

/// Longest time for which the store is asked to hold a poll of the feed. It holds calls for 30 s at
/// most.
const MAX_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// Delay between a change and the next poll, as a fraction of the time limit for applying a change.
/// Replicas start and stop in groups and each call is charged, so changes that come together are
/// read in one call.
const BATCH_DELAY_RATIO: f64 = 0.3;

/// Failures of replicas that wait to be reported. More at once add nothing to the evidence.
const FAILURES_QUEUED: usize = 256;

/// Ports that are tried for the listener and the socket for other nodes, when any will do.
const MAX_PORT_TRIES: u32 = 16;

/// `RelayNode` holds the components of a relaying node.
pub(super) struct RelayNode {
    pub(super) relay: Arc<Relay>,
    pub(super) routes: RouteView,
    pub(super) status: Arc<NodeStatus>,
    /// Address at which the node receives reports of other nodes.
    pub(super) peers: SocketAddr,
    /// Known nodes.
    pub(super) roster: SharedRoster,
    pub(super) incarnation: Incarnation,
    pub(super) metrics: MetricsSource,
    /// Handles of the tasks that follow tables of the platform. Dropping them ends the tasks.
    pub(super) followers: Vec<FollowerHandle>,
    /// Task of the duties. Dropping the sender ends it.
    pub(super) duties: Option<(mpsc::Sender<()>, JoinHandle<()>)>,
}

/// Builds the components and starts the tasks that follow the platform and the other nodes. Returns the
/// listener for requests of other nodes too.
pub(super) async fn assemble(
    settings: &RelaySettings,
    metrics: &RelayMetrics,
    log: LineWriter,
) -> anyhow::Result<(RelayNode, TcpListener)> {
    let meter: Arc<dyn CallMeter> = Arc::new(metrics.clone());
    let store = Arc::new(UsersStore::new(platform_calls(settings.platform.store)?));
    let (eras, restores) = (store.eras(), store.restores());
    let feed = metered_feed(store.clone(), &meter);
    let table = metered_table(store, &meter);
    let incarnation = Incarnation(UnixMillis::now().0);
    let status = Arc::new(NodeStatus::default());
    let clock = Arc::new(AgreedClock::default());
    let registry = Arc::new(UpstreamRegistry::default());
    let roster = SharedRoster::new(Roster::new(settings.node.clone(), RosterOptions::default()));
    let usage_tracker = Arc::new(UsageTracker::new(
        usage_options(settings),
        Arc::clone(&clock),
    ));
    let (routes_tx, routes) = watch::channel::<Option<Arc<RouteTable>>>(None);
    let options = FollowerOptions {
        poll_timeout: poll_timeout(&settings.promises),
        batch_delay: Duration::ZERO,
        ..FollowerOptions::default()
    };
    let usage_log = UsageLog::new(Arc::clone(&table), RetryOptions::default(), eras.clone());
    let settling = RestoreSettling::new(usage_log.clone());
    let (stored_routes, stored) = watch::channel(None);
    let route_gate = RouteGate {
        stored,
        in_force: routes_tx,
        roster: roster.clone(),
        settling: settling.clone(),
        limit: settings.promises.apply,
    };
    tokio::spawn(route_gate.run());
    let route_observer = RouteObserver::new(
        CONFIGURATION_KEY,
        read_configuration,
        stored_routes,
        Arc::clone(&status),
    );
    let replica_observer = ReplicaObserver::new(read_registration, Arc::clone(&registry));
    let rollouts = Arc::new(match settings.rollouts {
        Some(_) => Rollouts::enabled(),
        None => Rollouts::default(),
    });
    let orders = Arc::new(RolloutOrders::default());
    let read_order: Option<ReadRolloutOrder> = settings.rollouts.map(|_| read_rollout_order as _);
    let operator_observer = OperatorObserver::new(
        route_observer,
        read_order,
        Arc::clone(&orders),
        Arc::clone(&rollouts),
    );
    let replica_selector = ReplicaSelector::new(settings.zone.clone(), Arc::clone(&registry));
    let replica_selector = Arc::new(replica_selector.with_rollouts(Arc::clone(&rollouts)));
    let budget = ProcessBudget::from(&settings.limits);
    let (peer_listener, socket) = bind_peers(settings.listeners.peers, budget.other_backlog)
        .await
        .context("cannot listen for other nodes")?;
    let socket = Arc::new(socket);
    let rollout_socket = Arc::clone(&socket);
    let quotas = Arc::new(SharedQuotas::new(
        SharedQuotasOptions::new(settings.quotas),
        settings.node.clone(),
        roster.clone(),
        Arc::new(SocketTransport(Arc::clone(&socket))),
    ));
    let quarantine = Arc::new(ContentQuarantine::new(
        ContentQuarantineOptions::default(),
        settings.node.clone(),
        roster.clone(),
        Arc::new(SocketTransport(Arc::clone(&socket))),
        Arc::clone(&clock),
    ));
    let origins = Arc::new(StreamOrigins::new(
        StreamOriginsOptions::default(),
        settings.node.clone(),
        roster.clone(),
        Arc::new(SocketTransport(Arc::clone(&socket))),
    ));
    let replica_transport = || {
        Arc::new(ReplicaTransport {
            socket: Arc::clone(&socket),
            features: status.features(),
        })
    };
    let (failures_tx, failures_rx) = mpsc::channel(FAILURES_QUEUED);
    registry.pass_failures_on(failures_tx);
    let failures = Arc::new(FailureSharing::new(
        SharedFailureOptions::default(),
        settings.node.clone(),
        roster.clone(),
        Arc::clone(&registry),
        replica_transport(),
    ));
    tokio::spawn(Arc::clone(&failures).run(failures_rx));
    let placement = Arc::new(PromptPlacement::new(
        PromptPlacementOptions::default(),
        settings.node.clone(),
        roster.clone(),
        replica_transport(),
    ));
    let peers = socket.address()?;
    let readers = Arc::new(ZoneReaders::new(
        settings.node.clone(),
        settings.zone.clone(),
        roster.clone(),
        Arc::clone(&socket),
    ));
    let feed_options = SharedFeedOptions {
        batch_delay: min_change_limit(&settings.promises).mul_f64(BATCH_DELAY_RATIO),
        ..SharedFeedOptions::default()
    };
    let share_feed = |feed| SharedFeed::new(feed, readers.clone(), feed_options);
    let (routes_feed, routes_inbox) = share_feed(Arc::clone(&feed));
    let (replicas_feed, replicas_inbox) = share_feed(feed);
    let route_follower = follow(
        Arc::new(routes_feed),
        OPERATOR_TABLE,
        options,
        operator_observer,
    );
    let replica_follower = follow(
        Arc::new(replicas_feed),
        REPLICA_TABLE,
        options,
        replica_observer,
    );
    let row = NodeRow {
        zone: settings.zone.clone(),
        peers,
        incarnation,
    };
    let directory = Arc::new(NodeDirectory::new(
        Arc::clone(&table),
        settings.node.clone(),
        row,
    ));
    tokio::spawn(quarantine_keeper::run(
        Arc::clone(&quarantine),
        Arc::clone(&directory),
        restores.clone(),
    ));
    tokio::spawn(feature_keeper::run(FeatureKeeperParts {
        node: settings.node.clone(),
        roster: roster.clone(),
        directory: Arc::clone(&directory),
        status: Arc::clone(&status),
        restores: restores.clone(),
    }));
    let streams = StreamDirectory::new(Arc::clone(&table));
    tokio::spawn(origin_keeper::run(OriginKeeperParts {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        incarnation,
        directory: streams.clone(),
        roster: roster.clone(),
        registry: Arc::clone(&registry),
        origins: Arc::clone(&origins),
        routes: routes.clone(),
        restores: restores.clone(),
    }));
    tokio::spawn(stream_keeper::run(StreamKeeperParts {
        node: settings.node.clone(),
        directory: streams,
        roster: roster.clone(),
        registry: Arc::clone(&registry),
        origins: Arc::clone(&origins),
        routes: routes.clone(),
        restores: restores.clone(),
        settling,
    }));
    tokio::spawn(reporter::run(ReporterParts {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        incarnation,
        socket,
        directory,
        roster: roster.clone(),
        usage_tracker: Arc::clone(&usage_tracker),
        quotas: Arc::clone(&quotas),
        quarantine: Arc::clone(&quarantine),
        origins: Arc::clone(&origins),
        failures,
        placement: Arc::clone(&placement),
        registry: Arc::clone(&registry),
        replica_selector: Arc::clone(&replica_selector),
        feeds: ZoneFeeds {
            readers,
            routes: routes_inbox,
            replicas: replicas_inbox,
        },
        routes: routes.clone(),
        route_follower: route_follower.clone(),
        restores: restores.clone(),
        clock: Arc::clone(&clock),
        status: Arc::clone(&status),
    }));
    let connections = Connections::new(ConnectionsOptions {
        max_idle: budget.idle_upstream_connections,
        ..ConnectionsOptions::default()
    });
    let relay = Relay::new(RelayParts {
        dialect: Arc::new(UsersDialect),
        peer_paths: Arc::new(PeerPaths::new(
            PeerPathsOptions::default(),
            settings.zone.clone(),
            roster.clone(),
            connections.clone(),
        )),
        connections,
        routes: routes.clone(),
        freshness: status.freshness(),
        replica_selector: Arc::clone(&replica_selector),
        registry: Arc::clone(&registry),
        usage_tracker: Arc::clone(&usage_tracker),
        replica_limits: Arc::new(ReplicaLimits::new(
            Arc::clone(&quotas),
            Arc::clone(&usage_tracker),
            Arc::clone(&clock),
        )),
        placement: Arc::clone(&placement),
        quotas: Arc::new(WorkspaceQuotas::new(
            WorkspaceQuotasOptions::new(settings.quotas),
            Arc::clone(&quotas),
        )),
        quarantine: Arc::clone(&quarantine),
        origins,
        observer: metrics.observer(),
        options: RelayOptions {
            client_memory: budget.client_memory,
            connection_kernel_memory: ByteSize(UNREAD_BYTES),
            max_forwarded: budget.forwarded_requests,
            ..RelayOptions::default()
        },
    });
    let left_out = Arc::<AtomicU64>::default();
    let metrics = MetricsSource {
        metrics: metrics.clone(),
        eras: eras.clone(),
        windows_left_out: Arc::clone(&left_out),
        routes: routes.clone(),
        registry: Arc::clone(&registry),
        direct_paths: relay.direct_paths(),
        quotas,
        roster: roster.clone(),
        quarantine: Arc::clone(&quarantine),
        rollouts: Arc::clone(&rollouts),
        placement,
        status: Arc::clone(&status),
        client_memory: relay.memory(),
        service_admission: relay.service_admission(),
        log,
        routes_since: Arc::new(Mutex::new((Generation::default(), Instant::now()))),
    };
    let shared_roster = roster.clone();
    let duties = match settings.platform.duties {
        Some(address) => {
            let platform = Arc::new(UsersDuties::new(platform_calls(address)?));
            let rollouts = settings.rollouts.map(|bounds| RolloutDutyParts {
                node: settings.node.clone(),
                incarnation,
                options: plan_options(bounds.exposure_share, bounds.exposure_slack),
                orders,
                rollouts,
                registry: Arc::clone(&registry),
                roster: roster.clone(),
                transport: SocketTransport(rollout_socket),
                log: RolloutLog::new(Arc::clone(&table), RetryOptions::default()),
                status_row: rollout_status,
                are_of_different_eras,
                clock: Arc::clone(&clock),
            });
            let (lease, lease_task) = DutyLease::spawn(
                Arc::clone(&table),
                RestoreGuard::new(eras),
                settings.promises.lease,
                settings.node.clone(),
                incarnation,
                roster.clone(),
                Arc::clone(&status),
            );
            let usage = UsageDutyParts {
                counts: UsageCounts::new(
                    &settings.node,
                    incarnation,
                    usage_tracker,
                    roster.clone(),
                    routes.clone(),
                ),
                history: HistoryKeeper::new(usage_log.clone(), left_out),
                log: usage_log,
                reports: metered_usage(platform.clone(), &meter),
                report_due: settings.usage.late,
            };
            let duties = Duties {
                node: settings.node.clone(),
                lease,
                lease_task,
                status: Arc::clone(&status),
                usage,
                fleet: FleetDutyParts {
                    routes: routes.clone(),
                    registry,
                    replica_selector,
                    roster,
                    orders: metered_orders(platform, &meter),
                    started_at: Instant::now(),
                },
                rollouts,
            };
            let (tx, rx) = mpsc::channel(1);
            Some((tx, tokio::spawn(duties.run(rx))))
        }
        None => None,
    };
    let node = RelayNode {
        relay: Arc::new(relay),
        routes,
        status,
        peers,
        roster: shared_roster,
        incarnation,
        metrics,
        followers: vec![route_follower, replica_follower],
        duties,
    };
    Ok((node, peer_listener))
}

/// Binds the listener and the socket for other nodes to the same port. With port 0, ports are tried until
/// one is free for both.
async fn bind_peers(
    address: SocketAddr,
    backlog: Backlog,
) -> std::io::Result<(TcpListener, ReportSocket)> {
    let mut tries = MAX_PORT_TRIES;
    loop {
        let listener = listen(address, backlog)?;
        match ReportSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || tries == 0 => return Err(error),
            Err(_) => tries -= 1,
        }
    }
}

/// Returns the router of the listener for nodes, which passes their requests on to replicas.
pub(super) fn forward_router(relay: Arc<Relay>) -> Router {
    Router::new().fallback(move |req: Request| {
        let relay = Arc::clone(&relay);
        async move { relay.forward(req).await.map(Body::new) as Response }
    })
}

/// Returns how long the store may hold a poll of the feed. After an outage, a node must notice a
/// poll whose answer was lost, and read the changes it missed, before the promised limits apply
/// again.
fn poll_timeout(promises: &Promises) -> Duration {
    let limit = promises.calm + min_change_limit(promises);
    limit.mul_f64(POLL_TIMEOUT_RATIO).min(MAX_POLL_TIMEOUT)
}

/// Returns the shortest of the time limits for applying a change.
fn min_change_limit(promises: &Promises) -> Duration {
    promises.apply.min(promises.drain)
}

fn usage_options(settings: &RelaySettings) -> UsageOptions {
    UsageOptions {
        retries: RepeatBudgetOptions {
            ratio: settings.retries.ratio,
            window: settings.retries.window,
            extra: settings.retries.extra,
            ..RepeatBudgetOptions::default()
        },
        usage_window: settings.usage.window,
        usage_report_due: settings.usage.late,
    }
}

fn platform_calls(address: std::net::SocketAddr) -> anyhow::Result<Calls> {
    let options = PlatformOptions {
        address,
        call_timeout: STORE_CALL_TIMEOUT,
        ..PlatformOptions::default()
    };
    Calls::try_new(HttpPlatformOptions::from(&options)).context("cannot use the platform")
}

/// Returns the router of the callers' listener, which passes every request to the relay.
pub(super) fn caller_router(relay: Arc<Relay>) -> Router {
    Router::new().fallback(move |req: Request| {
        let relay = Arc::clone(&relay);
        async move { relay.handle(req).await.map(Body::new) as Response }
    })
}
