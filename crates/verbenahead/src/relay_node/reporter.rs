//! Sends the node's reports and takes in those of the others.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::seq::SliceRandom;
use verbenahead_core::{
    AvailabilityZone, FencingNumber, HashMap, Incarnation, NodeId, time::UnixMillis,
    timer::TimerService, units::Tokens,
};
use verbenahead_membership::{
    NameKey, NodeReport, PromptDemand, ReplicaWork, ReportEffect, Roster,
};
use verbenahead_peer::{EncodedReport, ReportSocket};
use verbenahead_relay::{
    AgreedClock, NodeCounts, ReplicaSelector, RouteFreshness, RouteView, UpstreamRegistry,
    UsageTracker,
};
use verbenahead_state::follower::FollowerHandle;

use crate::relay_node::{duty_lease::standby, node_directory::NodeDirectory};

/// Time between two steps of the reporter.
const STEP: Duration = Duration::from_millis(250);

/// Bytes that a node sends per second in reports, headers of IP and UDP included. The target for
/// all control traffic of a node is 2 KB/s.
const BYTES_PER_SECOND: usize = 1_900;

/// Size of the headers of IP and UDP.
const HEADER_BYTES: usize = 28;

/// Fewest reports in a step, whatever their size.
const MIN_SENT: usize = 1;

/// Most reports in a step in which a quota is nearly used up, and in the first step, from which on
/// the others should know the node.
const MAX_URGENT: usize = 32;

/// Steps after which a node that hears nobody reads the rows of the others again.
const RELIST_STEPS: u64 = 20;

/// `ReporterParts` are what the reporter reads and feeds.
pub struct ReporterParts {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Socket for reports.
    pub socket: ReportSocket,
    /// Rows of the nodes.
    pub directory: NodeDirectory,
    /// Known nodes.
    pub roster: SharedRoster,
    /// What callers use.
    pub usage_tracker: Arc<UsageTracker>,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Choice of replicas, which knows the demand.
    pub replica_selector: Arc<ReplicaSelector>,
    /// Routes in force.
    pub routes: RouteView,
    /// Asks for the routes again.
    pub route_follower: FollowerHandle,
    /// Time of day.
    pub clock: Arc<AgreedClock>,
    /// What the node says of itself.
    pub status: Arc<NodeStatus>,
}

/// `SharedRoster` is the roster of a node.
#[derive(Debug, Clone)]
pub struct SharedRoster(Arc<Mutex<Roster>>);

impl SharedRoster {
    /// Shares a roster.
    pub fn new(roster: Roster) -> Self {
        Self(Arc::new(Mutex::new(roster)))
    }

    /// Gives access to the roster.
    pub fn lock(&self) -> MutexGuard<'_, Roster> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `NodeStatus` is what a node says of itself beside its use.
#[derive(Debug, Default)]
pub struct NodeStatus {
    is_leaving: AtomicBool,
    freshness: Arc<RouteFreshness>,
    held_lease: Mutex<Option<FencingNumber>>,
}

impl NodeStatus {
    /// Says that the node will stop.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the node will stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Says whether the store answers.
    pub fn set_reaches_store(&self, reaches: bool) {
        self.freshness.set_stale(!reaches);
    }

    /// Returns whether the store answers.
    pub fn reaches_store(&self) -> bool {
        !self.freshness.is_stale()
    }

    /// Returns the word on whether changes of the routes are heard, which the store brings.
    pub fn freshness(&self) -> Arc<RouteFreshness> {
        Arc::clone(&self.freshness)
    }

    /// Says which lease the node holds.
    pub fn set_held_lease(&self, fencing: Option<FencingNumber>) {
        *self.lease() = fencing;
    }

    /// Returns the fencing number of the lease that the node holds.
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
        ring: Vec::new(),
    };
    let listed = reporter.parts.directory.enter().await;
    reporter.add_listed(listed);
    let mut ticks = TimerService.subscribe(Duration::ZERO, STEP);
    loop {
        tokio::select! {
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                reporter.step().await;
            }
            received = reporter.parts.socket.receive() => match received {
                Ok((report, from)) => reporter.hear(report, from),
                Err(error) => {
                    tracing::error!(%error, "reports cannot be received");
                    return;
                }
            },
        }
    }
}

struct Reporter {
    parts: ReporterParts,
    sequence: u64,
    steps: u64,
    /// Window of usage at the last report.
    window: u64,
    /// Addresses that wait for their next report.
    ring: Vec<SocketAddr>,
}

impl Reporter {
    fn add_listed(&self, listed: Vec<(NodeId, crate::relay_node::node_directory::NodeRow)>) {
        let mut roster = self.parts.roster.lock();
        for (node, row) in listed {
            roster.add_listed(node, row.peers);
        }
    }

    async fn step(&mut self) {
        self.steps += 1;
        self.parts
            .clock
            .set(self.parts.roster.lock().agreed_time(UnixMillis::now()));
        self.send();
        self.share_work();
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
        if is_alone && self.steps.is_multiple_of(RELIST_STEPS) {
            match self.parts.directory.others().await {
                Ok(listed) => self.add_listed(listed),
                Err(error) => tracing::debug!(%error, "rows of nodes not read"),
            }
        }
    }

    /// Sends the report to the next addresses of the ring, as many as the bytes allow.
    fn send(&mut self) {
        let (addresses, counters) = {
            let roster = self.parts.roster.lock();
            (roster.addresses(), self.counters(&roster))
        };
        if addresses.is_empty() {
            return;
        }
        self.sequence += 1;
        let report = self.report();
        let encoded = EncodedReport::from(&report);
        let per_report = encoded.len() + HEADER_BYTES;
        let budget = BYTES_PER_SECOND * STEP.as_millis() as usize / 1_000;
        let regular = (budget / per_report).clamp(MIN_SENT, addresses.len());
        let steps = addresses.len().div_ceil(regular) as u32;
        let is_first = self.sequence == 1;
        let count = match self.parts.usage_tracker.take_urgent_quota_use() || is_first {
            true => regular.max(addresses.len().min(MAX_URGENT)),
            false => regular,
        };
        self.parts.roster.lock().set_report_interval(STEP * steps);
        for _ in 0..count {
            let Some(to) = self.next_address(&addresses) else {
                break;
            };
            if !counters.contains(&to) {
                self.send_to(&encoded, to);
            }
        }
        self.send_counts(report, &counters);
    }

    /// Returns the addresses of the nodes that add up the counts of usage: the holder of the lease
    /// and the node that takes the lease next.
    fn counters(&self, roster: &Roster) -> Vec<SocketAddr> {
        let holder = roster.lease_holder().map(|(node, _, _)| node);
        let is_candidate = self.parts.status.held_lease().is_none();
        let own = is_candidate.then_some(&self.parts.node);
        let next = standby(roster, own);
        let others = [holder, next].into_iter().flatten();
        others.filter_map(|node| roster.address_of(node)).collect()
    }

    /// Sends the counts of usage to those that add them up, regularly and when a window has ended.
    fn send_counts(&mut self, mut report: NodeReport, counters: &[SocketAddr]) {
        let window = self.parts.usage_tracker.current_window();
        let has_window_ended = std::mem::replace(&mut self.window, window) != window;
        if !has_window_ended && !self.steps.is_multiple_of(COUNT_STEPS) {
            return;
        }
        report.windows = self.parts.usage_tracker.windows();
        let encoded = EncodedReport::from(&report);
        for counter in counters {
            self.send_to(&encoded, *counter);
        }
    }

    fn send_to(&self, report: &EncodedReport, to: SocketAddr) {
        if let Err(error) = self.parts.socket.send(report, to) {
            tracing::debug!(%to, %error, "report not sent");
        }
    }

    fn next_address(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        loop {
            if self.ring.is_empty() {
                self.ring = addresses.to_vec();
                self.ring.shuffle(&mut rand::rng());
            }
            let next = self.ring.pop()?;
            if addresses.contains(&next) {
                return Some(next);
            }
        }
    }

    fn report(&self) -> NodeReport {
        let parts = &self.parts;
        let routes = parts.routes.borrow();
        let generation = routes.as_ref().map(|routes| routes.generation());
        NodeReport {
            node: parts.node.clone(),
            zone: parts.zone.clone(),
            incarnation: parts.incarnation,
            sequence: self.sequence,
            clock: UnixMillis::now(),
            agreed: parts.roster.lock().settled_time(),
            generation: generation.unwrap_or_default(),
            is_leaving: parts.status.is_leaving(),
            reaches_store: parts.status.reaches_store(),
            held_lease: parts.status.held_lease(),
            work: own_work(&parts.registry),
            demand: own_demand(&parts.replica_selector),
            quota_use: parts.usage_tracker.quota_use(),
            windows: Vec::new(),
        }
    }

    fn hear(&self, report: NodeReport, from: SocketAddr) {
        let generation = report.generation;
        let node = report.node.clone();
        let routes = self.parts.routes.borrow().clone();
        let heard = self.parts.roster.lock().apply_report(report.clone(), from);
        if heard == ReportEffect::Ignored {
            return;
        }
        if heard == ReportEffect::New {
            tracing::info!(%node, address = %from, incarnation = report.incarnation.0, "node heard");
            // Until it hears the others, the node leaves them their part of each quota.
            self.send_to(&EncodedReport::from(&self.report()), from);
        }
        self.parts
            .usage_tracker
            .apply_report(&report, routes.as_deref());
        let own = routes.map(|routes| routes.generation()).unwrap_or_default();
        if generation > own {
            self.parts.route_follower.refresh();
        }
    }

    /// Tells the registry what the other nodes have at each replica.
    fn share_work(&self) {
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

/// Steps between two reports with counts of usage.
const COUNT_STEPS: u64 = 3;

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
    })
    .collect()
}
