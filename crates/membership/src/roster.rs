//! The other nodes that a node knows from their reports.
//!
//! A node is live while its reports arrive. Each node judges liveness on its own, without a vote,
//! so this is a hint only: nothing whose correctness matters depends on it.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{
    AvailabilityZone, FeatureLevel, FencingNumber, Generation, Incarnation, NodeId,
    time::SteadyClock,
};

use crate::{
    agreed_time::{AgreedTime, AgreedTimeOptions, ClockReading},
    report::NodeReport,
    time::UnixMillis,
};

/// `RosterOptions` sets how long a silent node counts as live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterOptions {
    /// Shortest silence after which a node counts as dead.
    pub min_silence: Duration,
    /// Silence after which a node counts as dead, as a multiple of the report interval. With 3, two
    /// consecutive reports may be lost.
    pub missed_reports: u32,
    /// Shortest silence after which a node is forgotten. Reports are sent to its address until then.
    pub forget_after: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self {
            min_silence: Duration::from_millis(2_500),
            missed_reports: 3,
            forget_after: Duration::from_secs(30),
        }
    }
}

/// `KnownNode` is the entry of one node.
#[derive(Debug, Clone)]
pub struct KnownNode {
    /// Address at which the node receives reports.
    pub address: SocketAddr,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Last report, if one has arrived.
    pub report: Option<NodeReport>,
    /// Time of the last report, or of the first listing when no report has arrived.
    pub last_seen_at: Instant,
    /// Clocks of the node according to its last report.
    clock: Option<ClockReading>,
}

/// `Roster` holds the other nodes and this node's agreed time.
#[derive(Debug)]
pub struct Roster {
    options: RosterOptions,
    /// Id of this node.
    own: NodeId,
    nodes: BTreeMap<NodeId, KnownNode>,
    report_interval: Duration,
    steady: SteadyClock,
    time: AgreedTime,
    /// Number of changes of the nodes that serve.
    revision: u64,
    /// Latest usage window that any node is known to have reported.
    reported_window: u64,
    /// Highest fencing number that any node is known to have held.
    highest_fencing: FencingNumber,
}

/// `ReportEffect` is the effect of a report on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report is this node's own, or it is not newer than the last one of a live node.
    Ignored,
    /// The report updates a live node.
    Updated,
    /// The report is from a node or an incarnation that was not known, or from a node that was not
    /// live.
    New,
}

/// `SharedRoster` is the roster of a node, shared among its tasks.
#[derive(Debug, Clone)]
pub struct SharedRoster(Arc<Mutex<Roster>>);

impl SharedRoster {
    /// Shares a roster.
    pub fn new(roster: Roster) -> Self {
        Self(Arc::new(Mutex::new(roster)))
    }

    /// Locks the roster.
    pub fn lock(&self) -> MutexGuard<'_, Roster> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Roster {
    /// Builds the roster of the node `own`, which knows no other node yet.
    pub fn new(own: NodeId, options: RosterOptions) -> Self {
        Self {
            options,
            own,
            nodes: BTreeMap::new(),
            report_interval: Duration::from_secs(1),
            steady: SteadyClock::default(),
            time: AgreedTime::new(AgreedTimeOptions::default()),
            revision: 0,
            reported_window: 0,
            highest_fencing: FencingNumber::default(),
        }
    }

    /// Sets the expected interval between two reports of a node.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    /// Adds a node that the store lists. A node that has reported already stays unchanged.
    pub fn add_listed(&mut self, node: NodeId, address: SocketAddr, zone: AvailabilityZone) {
        if node == self.own {
            return;
        }
        let now = Instant::now();
        self.revision += u64::from(!self.nodes.contains_key(&node));
        let known = self.nodes.entry(node).or_insert(KnownNode {
            address,
            zone,
            report: None,
            last_seen_at: now,
            clock: None,
        });
        if known.report.is_none() {
            known.address = address;
        }
    }

    /// Applies a report that came from `address`.
    pub fn apply_report(&mut self, report: NodeReport, address: SocketAddr) -> ReportEffect {
        if report.node == self.own {
            return ReportEffect::Ignored;
        }
        let now = Instant::now();
        let was_live = self.is_live(&report.node, now);
        let order = (report.incarnation, report.sequence);
        let known = self.nodes.get(&report.node);
        let before = known.and_then(|known| known.report.as_ref());
        let is_new_incarnation =
            before.is_none_or(|before| before.incarnation < report.incarnation);
        let is_late = before.is_some_and(|before| order <= (before.incarnation, before.sequence));
        // Incarnations are start times, so a clock that jumped back gives a restarted node a lower
        // one. Its earlier process is silent by then, so a late report from a silent node counts.
        if is_late && was_live {
            return ReportEffect::Ignored;
        }
        let before_leaving = before.map(|before| before.is_leaving);
        self.reported_window = self.reported_window.max(report.reported_window);
        self.highest_fencing = self
            .highest_fencing
            .max(report.held_lease.unwrap_or_default());
        self.revision += u64::from(before_leaving != Some(report.is_leaving));
        let clock = ClockReading {
            system: self.offset_of(report.clock),
            agreed: report.agreed.map(|agreed| self.offset_of(agreed)),
        };
        self.nodes.insert(
            report.node.clone(),
            KnownNode {
                address,
                zone: report.zone.clone(),
                report: Some(report),
                last_seen_at: now,
                clock: Some(clock),
            },
        );
        match is_new_incarnation || !was_live {
            true => ReportEffect::New,
            false => ReportEffect::Updated,
        }
    }

    /// Removes nodes that have been silent for [`RosterOptions::forget_after`], or for the time in
    /// which [`RosterOptions::missed_reports`] reports of them should have arrived if that is longer.
    pub fn forget_silent(&mut self) {
        let now = Instant::now();
        let missed = self.report_interval * self.options.missed_reports;
        let limit = self.options.forget_after.max(missed);
        let count = self.nodes.len();
        self.nodes
            .retain(|_, known| now.saturating_duration_since(known.last_seen_at) < limit);
        self.revision += u64::from(self.nodes.len() < count);
    }

    /// Iterates over the known nodes that have not announced that they stop, live or not.
    pub fn serving_nodes(&self) -> impl Iterator<Item = &NodeId> {
        let is_serving = |known: &KnownNode| {
            known
                .report
                .as_ref()
                .is_none_or(|report| !report.is_leaving)
        };
        let nodes = self.nodes.iter();
        nodes.filter_map(move |(node, known)| is_serving(known).then_some(node))
    }

    /// Iterates over the nodes of a zone that have not announced that they stop, with their
    /// addresses.
    pub fn zone_nodes(
        &self,
        zone: &AvailabilityZone,
    ) -> impl Iterator<Item = (&NodeId, SocketAddr)> {
        let is_serving = |known: &KnownNode| {
            known
                .report
                .as_ref()
                .is_none_or(|report| !report.is_leaving)
        };
        let nodes = self.nodes.iter();
        nodes.filter_map(move |(node, known)| {
            (known.zone == *zone && is_serving(known)).then_some((node, known.address))
        })
    }

    /// Iterates over the known nodes that have not announced that they stop and were heard or listed
    /// recently, with their zones and addresses.
    pub fn reachable_nodes(
        &self,
    ) -> impl Iterator<Item = (&NodeId, &AvailabilityZone, SocketAddr)> {
        let now = Instant::now();
        let is_serving = move |known: &KnownNode| match &known.report {
            Some(report) => !report.is_leaving && self.is_entry_live(known, now),
            None => now.saturating_duration_since(known.last_seen_at) < self.options.min_silence,
        };
        let nodes = self
            .nodes
            .iter()
            .filter(move |(_, known)| is_serving(known));
        nodes.map(|(node, known)| (node, &known.zone, known.address))
    }

    /// Returns whether a known node has this IP address.
    pub fn has_ip(&self, ip: IpAddr) -> bool {
        self.nodes.values().any(|known| known.address.ip() == ip)
    }

    /// Returns a number that rises with each change of [`serving_nodes`](Self::serving_nodes).
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the addresses of all known nodes, live or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.values().map(|known| known.address).collect()
    }

    /// Returns the number of known nodes including this one.
    pub fn known_count(&self) -> usize {
        self.nodes.len() + 1
    }

    /// Returns the number of live nodes including this one.
    pub fn live_count(&self) -> usize {
        self.live().count() + 1
    }

    /// Iterates over the last reports of the other live nodes.
    pub fn live(&self) -> impl Iterator<Item = &NodeReport> {
        let now = Instant::now();
        self.nodes
            .values()
            .filter(move |known| self.is_entry_live(known, now))
            .filter_map(|known| known.report.as_ref())
    }

    /// Iterates over the last reports that arrived within the past `period`, of live nodes or not.
    pub fn reported_within(&self, period: Duration) -> impl Iterator<Item = &NodeReport> {
        let now = Instant::now();
        let is_recent =
            move |known: &&KnownNode| now.saturating_duration_since(known.last_seen_at) < period;
        let known = self.nodes.values().filter(is_recent);
        known.filter_map(|known| known.report.as_ref())
    }

    /// Returns the levels of features that the known nodes announced, live or not; `None` for a node that no
    /// report has arrived of. A silent node may go on, so it counts until it is forgotten.
    pub fn feature_levels(&self) -> BTreeMap<NodeId, Option<FeatureLevel>> {
        let level = |known: &KnownNode| known.report.as_ref().map(|report| report.features);
        let nodes = self.nodes.iter();
        nodes
            .map(|(node, known)| (node.clone(), level(known)))
            .collect()
    }

    /// Returns the address of a known node, live or not.
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        self.nodes.get(node).map(|known| known.address)
    }

    /// Returns the live node that reports to hold the lease, with its incarnation and fencing
    /// number. Of several, the one with the highest fencing number is returned.
    pub fn lease_holder(&self) -> Option<(&NodeId, Incarnation, FencingNumber)> {
        let holders = self.live().filter_map(|report| {
            let fencing = report.held_lease?;
            Some((&report.node, report.incarnation, fencing))
        });
        holders.max_by_key(|(_, _, fencing)| *fencing)
    }

    /// Returns the highest fencing number that any node is known to have held.
    pub fn highest_fencing(&self) -> FencingNumber {
        self.highest_fencing
    }

    /// Records that a usage window is reported, by this node or another.
    pub fn record_reported_window(&mut self, window: u64) {
        self.reported_window = self.reported_window.max(window);
    }

    /// Returns the latest usage window that any node is known to have reported.
    pub fn reported_window(&self) -> u64 {
        self.reported_window
    }

    /// Returns the highest generation that another live node has in force, or the default.
    pub fn latest_generation(&self) -> Generation {
        let generations = self.live().map(|report| report.generation);
        generations.max().unwrap_or_default()
    }

    /// Updates the agreed time and returns it. `own` is the current time of this node's system
    /// clock.
    pub fn agreed_time(&mut self, own: UnixMillis) -> UnixMillis {
        let now = Instant::now();
        let others = self
            .nodes
            .values()
            .filter(|known| self.is_entry_live(known, now));
        let readings: Vec<ClockReading> = others.filter_map(|known| known.clock).collect();
        let own = self.offset_of(own);
        self.time.update(self.steady.elapsed(), own, &readings);
        self.time_of(self.time.offset())
    }

    /// Returns the agreed time, if this node has settled.
    pub fn settled_time(&self) -> Option<UnixMillis> {
        let is_settled = self.time.is_settled(self.steady.elapsed());
        is_settled.then(|| self.time_of(self.time.offset()))
    }

    /// Returns the offset of a time of day to the steady clock of this node, in milliseconds.
    fn offset_of(&self, time: UnixMillis) -> i64 {
        let time = i64::try_from(time.0).unwrap_or(i64::MAX);
        time.saturating_sub(self.elapsed_ms())
    }

    /// Returns the time of day at an offset to the steady clock of this node, in milliseconds.
    fn time_of(&self, offset: i64) -> UnixMillis {
        let time = offset.saturating_add(self.elapsed_ms());
        UnixMillis(u64::try_from(time).unwrap_or_default())
    }

    fn elapsed_ms(&self) -> i64 {
        i64::try_from(self.steady.elapsed().as_millis()).unwrap_or(i64::MAX)
    }

    fn is_live(&self, node: &NodeId, now: Instant) -> bool {
        let known = self.nodes.get(node);
        known.is_some_and(|known| self.is_entry_live(known, now))
    }

    fn is_entry_live(&self, known: &KnownNode, now: Instant) -> bool {
        let missed = self.report_interval * self.options.missed_reports;
        let limit = missed.max(self.options.min_silence);
        known.report.is_some() && now.saturating_duration_since(known.last_seen_at) < limit
    }
}
