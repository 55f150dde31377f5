//! Sends the node's reports to the other nodes and processes the reports that they send.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::seq::SliceRandom;
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
};
use verbenahead_core::{
    AvailabilityZone, FeatureLevel, FencingNumber, HashMap, Incarnation, NodeId, time::UnixMillis,
    timer::TimerService, units::Tokens,
};
use verbenahead_membership::{
    FailureMessage, NameKey, NodeReport, OriginMessage, PlacementMessage, PromptDemand,
    QuarantineMessage, QuotaMessage, ReplicaLimit, ReplicaWork, ReportEffect, Roster, SharedRoster,
};
use verbenahead_peer::{
    Datagram, EncodedReport, ReportSocket, encode_failure, encode_origin, encode_placement,
    encode_quarantine,
};
use verbenahead_platform::{OPERATOR_TABLE, REPLICA_TABLE};
use verbenahead_relay::{
    AgreedClock, ContentQuarantine, FailureSharing, FailureTransport, NodeCounts, OriginTransport,
    PlacementTransport, PromptPlacement, QuarantineTransport, QuotaTransport, ReplicaSelector,
    RouteFreshness, RouteView, SharedQuotas, StreamOrigins, UpstreamRegistry, UsageTracker,
    limit_state::LimitNews, upstream::DEFAULT_REMAINING,
};
use verbenahead_services::{FeedNotice, FeedPosition};
use verbenahead_state::{FeedInbox, follower::FollowerHandle};

use crate::relay_node::{
    duty_lease::standby,
    feature_keeper::Features,
    load_news::{add_loads, apply_loads},
    node_directory::{DirectoryListing, NodeDirectory},
    placement_bytes::PlacementBytes,
    zone_readers::ZoneReaders,
};

/// Time between two steps of the reporter.
pub(super) const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Bytes per second that a node sends in reports and messages about placement, IP and UDP headers included. The target for all
/// control traffic of a node is 2 KB/s.
const BYTES_PER_SECOND: usize = 1_900;

/// Size of the IP and UDP headers of a report, in bytes.
const HEADER_BYTES: usize = 28;

/// Fewest reports in a step, whatever their size.
const MIN_REPORTS: usize = 1;

/// Steps after which a node that receives no reports reads the rows of the other nodes again.
const RELIST_STEPS: u64 = 20;

/// `ReporterParts` are what the reporter reads and updates.
pub struct ReporterParts {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Socket for reports and messages about quotas.
    pub socket: Arc<ReportSocket>,
    /// Rows of the nodes.
    pub directory: Arc<NodeDirectory>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Usage of the callers.
    pub usage_tracker: Arc<UsageTracker>,
    /// Quotas of the workspaces.
    pub quotas: Arc<SharedQuotas>,
    /// Parts of prompts that are kept from replicas.
    pub quarantine: Arc<ContentQuarantine>,
    /// Software versions at which streams began.
    pub origins: Arc<StreamOrigins>,
    /// Failures of replicas that several nodes see.
    pub failures: Arc<FailureSharing>,
    /// Knowledge of the prompts at replicas.
    pub placement: Arc<PromptPlacement>,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Selector of replicas, which counts the demand for prompt tokens.
    pub replica_selector: Arc<ReplicaSelector>,
    /// Feeds that the zone reads together.
    pub feeds: ZoneFeeds,
    /// Routes in force.
    pub routes: RouteView,
    /// Follower of the routes, which is told to read them again when another node has newer ones.
    pub route_follower: FollowerHandle,
    /// Number of times that the store came back from an older copy.
    pub restores: watch::Receiver<u64>,
    /// Time of day on which the nodes agree.
    pub clock: Arc<AgreedClock>,
    /// Status of the node.
    pub status: Arc<NodeStatus>,
}

/// `ZoneFeeds` takes in what other nodes tell about the feeds that the zone reads together.
pub struct ZoneFeeds {
    /// Readers of the zone.
    pub readers: Arc<ZoneReaders>,
    /// Inbox of the table of routes.
    pub routes: FeedInbox,
    /// Inbox of the table of replicas.
    pub replicas: FeedInbox,
}

impl ZoneFeeds {
    fn handle(&self, notice: FeedNotice, from: SocketAddr) {
        self.readers.record_notice(from);
        match notice.table.as_str() {
            name if name == OPERATOR_TABLE.0 => self.routes.notice(notice),
            name if name == REPLICA_TABLE.0 => self.replicas.notice(notice),
            table => tracing::warn!(table, %from, "notice about an unknown table"),
        }
    }
}

/// `NodeStatus` is the status that a node reports to the others, apart from usage and load.
#[derive(Debug, Default)]
pub struct NodeStatus {
    is_leaving: AtomicBool,
    leaving: Notify,
    freshness: Arc<RouteFreshness>,
    held_lease: Mutex<Option<FencingNumber>>,
    features: Arc<Features>,
}

impl NodeStatus {
    /// Records that the node has begun to shut down.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.leaving.notify_one();
    }

    /// Waits until the node begins to shut down. Completes once.
    pub async fn leaving_set(&self) {
        self.leaving.notified().await;
    }

    /// Returns whether the node has begun to shut down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records whether the store answers.
    pub fn set_reaches_store(&self, reaches: bool) {
        self.freshness.set_stale(!reaches);
    }

    /// Returns whether the store answers.
    pub fn reaches_store(&self) -> bool {
        !self.freshness.is_stale()
    }

    /// Returns the flag for whether the routes may be out of date, which they may be while the
    /// store does not answer.
    pub fn freshness(&self) -> Arc<RouteFreshness> {
        Arc::clone(&self.freshness)
    }

    /// Returns the level of features that is in force.
    pub fn features(&self) -> Arc<Features> {
        Arc::clone(&self.features)
    }

    /// Records the fencing number of the lease that the node holds, or that it holds none.
    pub fn set_held_lease(&self, fencing: Option<FencingNumber>) {
        *self.lease() = fencing;
    }

    /// Returns the fencing number of the lease that the node holds, if it holds one.
    pub fn held_lease(&self) -> Option<FencingNumber> {
        *self.lease()
    }

    fn lease(&self) -> MutexGuard<'_, Option<FencingNumber>> {
        self.held_lease
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the reporter until the process ends.
pub async fn run(parts: ReporterParts) {
    let mut reporter = Reporter {
        parts,
        sequence: 0,
        steps: 0,
        window: 0,
        unsent: Vec::new(),
        placement_bytes: PlacementBytes::default(),
    };
    // Messages of other nodes are answered while the store has yet to answer this node.
    let mut listing = Listing(None);
    listing.register(&reporter.parts.directory);
    let mut ticks = TimerService.subscribe(Duration::ZERO, STEP_INTERVAL);
    let status = Arc::clone(&reporter.parts.status);
    let mut restores = reporter.parts.restores.clone();
    loop {
        tokio::select! {
            listed = listing.next() => reporter.add_listed(listed),
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                reporter.step(&mut listing);
            }
            Ok(()) = restores.changed() => listing.register(&reporter.parts.directory),
            () = status.leaving_set() => reporter.send_to_all(),
            received = reporter.parts.socket.receive() => match received {
                Ok((Datagram::Report(report), from)) => reporter.handle(*report, from),
                Ok((Datagram::Feed(notice), from)) => reporter.parts.feeds.handle(notice, from),
                Ok((Datagram::Quota(message), from)) => reporter.parts.quotas.handle(message, from),
                Ok((Datagram::Quarantine(message), from)) => {
                    reporter.parts.quarantine.handle(message, from);
                }
                Ok((Datagram::Origin(message), from)) => reporter.parts.origins.handle(message, from),
                Ok((Datagram::Failure(message), from)) => reporter.parts.failures.handle(message, from),
                Ok((Datagram::Rollout(message), _)) => {
                    reporter.parts.replica_selector.rollouts().handle(&message);
                }
                Ok((Datagram::Placement(message), from)) => {
                    reporter.parts.placement.handle(message, from);
                }
                Err(error) => {
                    tracing::error!(%error, "the socket for reports failed; no more reports are sent or received");
                    return;
                }
            },
        }
    }
}

/// `Listing` is the task that reads the rows of the other nodes, while it runs.
struct Listing(Option<JoinHandle<DirectoryListing>>);

impl Listing {
    /// Waits for the rows. Never completes while no task runs.
    async fn next(&mut self) -> DirectoryListing {
        let Some(task) = &mut self.0 else {
            return std::future::pending().await;
        };
        let listed = task.await;
        self.0 = None;
        listed.unwrap_or_else(|error| {
            tracing::error!(%error, "reading the rows of the other nodes failed");
            DirectoryListing::default()
        })
    }

    /// Writes the row of this node and reads those of the others. The row may be lost when the store
    /// comes back from an older copy.
    fn register(&mut self, directory: &Arc<NodeDirectory>) {
        let directory = Arc::clone(directory);
        self.0 = Some(tokio::spawn(async move { directory.register().await }));
    }

    /// Reads the rows again, unless they are being read.
    fn read_again(&mut self, directory: &Arc<NodeDirectory>) {
        if self.0.is_some() {
            return;
        }
        let directory = Arc::clone(directory);
        self.0 = Some(tokio::spawn(async move {
            directory.read().await.unwrap_or_else(|error| {
                tracing::debug!(%error, "rows of the other nodes not read");
                DirectoryListing::default()
            })
        }));
    }
}

/// `SocketTransport` sends messages about quotas, quarantines and origins of streams over the socket for reports.
#[derive(Clone)]
pub struct SocketTransport(pub Arc<ReportSocket>);

impl QuotaTransport for SocketTransport {
    fn send(&self, to: SocketAddr, message: &QuotaMessage) {
        if let Err(error) = self.0.send_quota(message, to) {
            tracing::debug!(%to, %error, "message about a quota not sent");
        }
    }
}

impl QuarantineTransport for SocketTransport {
    fn send(&self, to: &[SocketAddr], message: &QuarantineMessage) {
        let encoded = encode_quarantine(message);
        for address in to {
            if let Err(error) = self.0.send_encoded(&encoded, *address) {
                tracing::debug!(to = %address, %error, "message about a quarantine not sent");
            }
        }
    }
}

impl OriginTransport for SocketTransport {
    fn send(&self, to: &[SocketAddr], message: &OriginMessage) {
        let encoded = encode_origin(message);
        for address in to {
            if let Err(error) = self.0.send_encoded(&encoded, *address) {
                tracing::debug!(to = %address, %error, "message about the origin of a stream not sent");
            }
        }
    }
}

/// `ReplicaTransport` sends messages about failing replicas and about the placement of prompts over the socket
/// for reports, while all nodes know them.
pub struct ReplicaTransport {
    /// Socket for reports.
    pub socket: Arc<ReportSocket>,
    /// Level of features in force.
    pub features: Arc<Features>,
}

impl ReplicaTransport {
    fn is_known_to_all(&self) -> bool {
        self.features.in_force() >= FeatureLevel::REPLICA_MESSAGES
    }
}

impl FailureTransport for ReplicaTransport {
    fn send(&self, to: &[SocketAddr], message: &FailureMessage) {
        if !self.is_known_to_all() {
            return;
        }
        let encoded = encode_failure(message);
        for address in to {
            if let Err(error) = self.socket.send_encoded(&encoded, *address) {
                tracing::debug!(to = %address, %error, "message about a failing replica not sent");
            }
        }
    }
}

impl PlacementTransport for ReplicaTransport {
    fn send(&self, to: SocketAddr, message: &PlacementMessage) -> usize {
        if !self.is_known_to_all() {
            return 0;
        }
        let encoded = encode_placement(message);
        if let Err(error) = self.socket.send_encoded(&encoded, to) {
            tracing::debug!(%to, %error, "message about placement not sent");
        }
        encoded.len() + HEADER_BYTES
    }
}

struct Reporter {
    parts: ReporterParts,
    sequence: u64,
    steps: u64,
    /// Usage window at the last report of counts.
    window: u64,
    /// Addresses that were not sent to in the present round, in random order.
    unsent: Vec<SocketAddr>,
    placement_bytes: PlacementBytes,
}

impl Reporter {
    /// Applies what the store lists, and reports to all listed nodes, so that they know this node before
    /// it is its turn in the regular reports.
    fn add_listed(&mut self, listed: DirectoryListing) {
        self.parts.quarantine.load(&listed.quarantined);
        {
            let mut roster = self.parts.roster.lock();
            for (node, row) in listed.others {
                roster.add_listed(node, row.peers, row.zone);
            }
        }
        self.parts.quotas.set_listed();
        self.parts.placement.set_listed();
        if listed.is_read {
            self.parts.status.features().set_listed(listed.features);
        }
        self.send_to_all();
    }

    fn step(&mut self, listing: &mut Listing) {
        self.steps += 1;
        self.parts
            .clock
            .set(self.parts.roster.lock().agreed_time(UnixMillis::now()));
        self.parts.placement.step();
        self.send();
        self.update_other_load();
        let is_alone = {
            let mut roster = self.parts.roster.lock();
            roster.forget_silent();
            let live = roster.live_count();
            self.parts.usage_tracker.set_nodes(NodeCounts {
                live,
                known: roster.known_count(),
            });
            live == 1
        };
        let routes = self.parts.routes.borrow().clone();
        self.parts.quotas.step(routes.as_deref());
        if is_alone && self.steps.is_multiple_of(RELIST_STEPS) {
            listing.read_again(&self.parts.directory);
        }
    }

    /// Sends the report to all known nodes.
    fn send_to_all(&mut self) {
        let addresses = self.parts.roster.lock().addresses();
        self.sequence += 1;
        let encoded = EncodedReport::from(&self.report());
        for address in addresses {
            self.send_to(&encoded, address);
        }
    }

    /// Sends the report to the next addresses, as many as `BYTES_PER_SECOND` allows.
    fn send(&mut self) {
        let (addresses, collectors) = {
            let roster = self.parts.roster.lock();
            (roster.addresses(), self.collectors(&roster))
        };
        if addresses.is_empty() {
            return;
        }
        self.sequence += 1;
        let report = self.report();
        let report_bytes = EncodedReport::from(&report).len() + HEADER_BYTES;
        let budget = BYTES_PER_SECOND * STEP_INTERVAL.as_millis() as usize / 1_000;
        let budget = budget.saturating_sub(self.placement_bytes.per_step(&self.parts.placement));
        let regular = (budget / report_bytes).clamp(MIN_REPORTS, addresses.len());
        let mut with_loads = report.clone();
        let spare_bytes = (budget / regular).saturating_sub(report_bytes);
        add_loads(&mut with_loads.work, &self.parts.registry, spare_bytes);
        let encoded = EncodedReport::from(&with_loads);
        let steps = addresses.len().div_ceil(regular) as u32;
        self.parts
            .roster
            .lock()
            .set_report_interval(STEP_INTERVAL * steps);
        for _ in 0..regular {
            let Some(to) = self.next_address(&addresses) else {
                break;
            };
            if !collectors.contains(&to) {
                self.send_to(&encoded, to);
            }
        }
        self.send_counts(report, &collectors);
    }

    /// Returns the addresses of the nodes that add up the usage counts: the lease holder and the
    /// standby node.
    fn collectors(&self, roster: &Roster) -> Vec<SocketAddr> {
        let holder = roster.lease_holder().map(|(node, _, _)| node);
        let status = &self.parts.status;
        // A node that stops does not take the lease, so its counts go to the one that does.
        let is_candidate = status.held_lease().is_none() && !status.is_leaving();
        let own = is_candidate.then_some(&self.parts.node);
        let standby = standby(roster, own);
        let others = [holder, standby].into_iter().flatten();
        others.filter_map(|node| roster.address_of(node)).collect()
    }

    /// Sends the usage counts to `collectors` every `COUNT_STEPS` steps and when a window has
    /// ended.
    fn send_counts(&mut self, mut report: NodeReport, collectors: &[SocketAddr]) {
        let window = self.parts.usage_tracker.current_window();
        let has_window_ended = std::mem::replace(&mut self.window, window) != window;
        let rollouts = self.parts.replica_selector.rollouts();
        let steps = match rollouts.is_running() {
            true => rollout_count_steps(self.parts.roster.lock().known_count()),
            false => COUNT_STEPS,
        };
        if !has_window_ended && !self.steps.is_multiple_of(steps) {
            return;
        }
        report.windows = self.parts.usage_tracker.windows();
        report.rollout_counts = rollouts.counts();
        let encoded = EncodedReport::from(&report);
        for collector in collectors {
            self.send_to(&encoded, *collector);
        }
    }

    fn send_to(&self, report: &EncodedReport, to: SocketAddr) {
        if let Err(error) = self.parts.socket.send(report, to) {
            tracing::debug!(%to, %error, "report not sent");
        }
    }

    fn next_address(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        loop {
            if self.unsent.is_empty() {
                self.unsent = addresses.to_vec();
                self.unsent.shuffle(&mut rand::rng());
            }
            let next = self.unsent.pop()?;
            if addresses.contains(&next) {
                return Some(next);
            }
        }
    }

    fn report(&self) -> NodeReport {
        let parts = &self.parts;
        let routes = parts.routes.borrow();
        let generation = routes.as_ref().map(|routes| routes.generation());
        let (agreed, reported_window) = {
            let roster = parts.roster.lock();
            (roster.settled_time(), roster.reported_window())
        };
        NodeReport {
            node: parts.node.clone(),
            zone: parts.zone.clone(),
            incarnation: parts.incarnation,
            sequence: self.sequence,
            clock: UnixMillis::now(),
            agreed,
            generation: generation.unwrap_or_default(),
            replicas_as_of: parts.feeds.replicas.last_change().0,
            reported_window,
            is_leaving: parts.status.is_leaving(),
            reaches_store: parts.status.reaches_store(),
            held_lease: parts.status.held_lease(),
            work: own_work(&parts.registry),
            demand: own_demand(&parts.replica_selector),
            leaving: announced_leaving(&parts.registry),
            limits: stated_limits(&parts.registry),
            quarantined: parts.quarantine.reported(),
            features: FeatureLevel::KNOWN,
            windows: Vec::new(),
            rollout_counts: Vec::new(),
        }
    }

    /// Processes a report of another node.
    fn handle(&self, report: NodeReport, from: SocketAddr) {
        let generation = report.generation;
        let node = report.node.clone();
        let routes = self.parts.routes.borrow().clone();
        let effect = self.parts.roster.lock().apply_report(report.clone(), from);
        if effect == ReportEffect::Ignored {
            return;
        }
        if effect == ReportEffect::New {
            tracing::debug!(%node, address = %from, incarnation = report.incarnation.0, "node heard");
            // Tells the new node at once who holds the lease and which routes are in force.
            self.send_to(&EncodedReport::from(&self.report()), from);
        }
        self.parts.quotas.clear_suspicion(&node);
        self.mark_leaving(&report);
        apply_loads(&report.work, &self.parts.registry);
        self.apply_limits(&report);
        self.parts.quarantine.merge(&report.quarantined, from);
        let replicas_as_of = FeedPosition(report.replicas_as_of);
        if replicas_as_of > self.parts.feeds.replicas.last_change() {
            self.parts.feeds.replicas.hint(replicas_as_of);
        }
        let own = routes.map(|routes| routes.generation()).unwrap_or_default();
        if generation > own {
            self.parts.route_follower.refresh();
        }
    }

    /// Marks the replicas as leaving that told another node so.
    fn mark_leaving(&self, report: &NodeReport) {
        if report.leaving.is_empty() {
            return;
        }
        for entry in self.parts.registry.all() {
            if report.leaving.contains(&entry.incarnation_key())
                && entry.mark_leaving(DEFAULT_REMAINING)
            {
                tracing::info!(
                    upstream = %entry.address.upstream,
                    told_by = %report.node,
                    "replica leaves by its answer to another node",
                );
            }
        }
    }

    /// Applies the limits that replicas stated to another node.
    fn apply_limits(&self, report: &NodeReport) {
        if report.limits.is_empty() {
            return;
        }
        for entry in self.parts.registry.all() {
            let key = entry.incarnation_key();
            if let Some(limit) = report.limits.iter().find(|limit| limit.replica == key) {
                let (rate, age) = (limit.rate, limit.age);
                entry.apply_limit_news(LimitNews { rate, age }, &report.node);
            }
        }
    }

    /// Records in the registry the load that the other nodes report at each replica.
    fn update_other_load(&self) {
        let mut sums: HashMap<NameKey, (u32, Tokens)> = HashMap::default();
        for report in self.parts.roster.lock().live() {
            for work in &report.work {
                let sum = sums.entry(work.replica).or_default();
                sum.0 += work.requests;
                sum.1 += work.queued;
            }
        }
        for entry in self.parts.registry.all() {
            let key = NameKey::from(&entry.address.upstream);
            let (requests, queued) = sums.get(&key).copied().unwrap_or_default();
            entry.record_other_nodes(requests, queued);
        }
    }
}

/// Steps between two reports with usage counts.
const COUNT_STEPS: u64 = 3;

/// Most nodes whose counts the lease holder takes in every step. They take 1 in 100 of the smallest node's
/// network.
const MAX_FREQUENT_NODES: usize = 40;

/// Returns the steps between two reports with counts while a rollout is running. Small deployments have
/// less traffic to find a bad version by, and their lease holder has time for more reports.
fn rollout_count_steps(nodes: usize) -> u64 {
    match nodes <= MAX_FREQUENT_NODES {
        true => 1,
        false => COUNT_STEPS,
    }
}

/// Largest number of limits in a report. The report must fit into a datagram.
const MAX_REPORTED_LIMITS: usize = 32;

/// Returns the limits that replicas recently stated, to this node or another.
fn stated_limits(registry: &UpstreamRegistry) -> Vec<ReplicaLimit> {
    let entries = registry.all();
    let limits = entries.iter().filter_map(|entry| {
        let LimitNews { rate, age } = entry.limit_news(ANNOUNCEMENT_PERIOD)?;
        let replica = entry.incarnation_key();
        Some(ReplicaLimit { replica, rate, age })
    });
    limits.take(MAX_REPORTED_LIMITS).collect()
}

/// Time for which a node tells the others what a replica announced to it: that it leaves, or its limit.
/// With the rate of reports to single nodes that large deployments allow, most nodes hear of it directly.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(10);

/// Returns the keys of the replicas whose answers recently said that they leave.
fn announced_leaving(registry: &UpstreamRegistry) -> Vec<NameKey> {
    let entries = registry.all();
    let announced = entries
        .iter()
        .filter(|entry| entry.has_announced_leaving(ANNOUNCEMENT_PERIOD));
    announced.map(|entry| entry.incarnation_key()).collect()
}

fn own_demand(replica_selector: &ReplicaSelector) -> Vec<PromptDemand> {
    let demand = replica_selector.prompt_demand();
    let demand = demand.iter().map(|(service, total)| PromptDemand {
        service: NameKey::from(service),
        total: *total,
    });
    demand.collect()
}

fn own_work(registry: &UpstreamRegistry) -> Vec<ReplicaWork> {
    let entries = registry.all();
    let busy = entries.iter().filter(|entry| entry.outstanding() > 0);
    busy.map(|entry| ReplicaWork {
        replica: NameKey::from(&entry.address.upstream),
        requests: entry.outstanding(),
        queued: entry.own_queued(),
        load: None,
    })
    .collect()
}
