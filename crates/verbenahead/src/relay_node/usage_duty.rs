//! Reports the usage of each window once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};
use verbenahead_core::{Incarnation, NodeId, time::UnixMillis};
use verbenahead_membership::{NameKey, NodeReport};
use verbenahead_policy::{NodeIncarnation, ReportedCounts, UsageCollector};
use verbenahead_relay::{RouteView, UsageTracker};
use verbenahead_services::{DutyHolder, DutyOutcome, UsageReport, UsageReports};
use verbenahead_state::{SavedCounts, UsageLog};

use crate::relay_node::{duty_lease::DutyLease, reporter::SharedRoster};

/// Part of the time in which a report is due after which it is made without nodes that have not
/// told their counts. They may be cut off and come back. The rest is enough for another holder to
/// make the report when this one fails.
const MISSING_RATIO: f64 = 0.6;

/// Longest time of a call that keeps or reads counts. Orders of replicas wait meanwhile.
const KEEP_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time between two writes of the counts. What was counted since the last one is lost
/// when all nodes end together.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of counts that are written per second at most. At 330 nodes and 16 workspaces the counts
/// take about 190 KB, so they are written every 12 s.
const KEPT_BYTES_PER_SECOND: f64 = 16_384.0;

/// `UsageDuty` reports usage while the node holds the lease.
pub struct UsageDuty {
    usage_tracker: Arc<UsageTracker>,
    roster: SharedRoster,
    routes: RouteView,
    log: UsageLog,
    reports: Arc<dyn UsageReports>,
    /// Time from the end of a window in which its report is due.
    late: Duration,
    collector: UsageCollector,
    /// Window that is reported next, while the lease is held.
    next: Option<u64>,
    /// Report that is written down and not yet known to be accepted.
    written: Option<UsageReport>,
    /// This life of this node.
    own: NodeIncarnation,
    /// Whether the counts were read that holders before kept.
    is_taken_over: bool,
    kept: Kept,
}

/// `Kept` is what the node wrote down last of the counts.
#[derive(Debug, Default)]
struct Kept {
    counts: Vec<SavedCounts>,
    /// When they may be written again.
    next_at: Option<Instant>,
}

/// `UsageDutyParts` are what the duty reads and whom it reports to.
pub struct UsageDutyParts {
    /// Id of the node.
    pub node: NodeId,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// What callers use through the node.
    pub usage_tracker: Arc<UsageTracker>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Routes in force.
    pub routes: RouteView,
    /// What was reported, and counts that are not reported yet.
    pub log: UsageLog,
    /// Takes reports.
    pub reports: Arc<dyn UsageReports>,
    /// Time from the end of a window in which its report is due.
    pub late: Duration,
}

impl UsageDuty {
    /// Builds the duty.
    pub fn new(parts: UsageDutyParts) -> Self {
        Self {
            own: life(&parts.node, parts.incarnation),
            usage_tracker: parts.usage_tracker,
            roster: parts.roster,
            routes: parts.routes,
            log: parts.log,
            reports: parts.reports,
            late: parts.late,
            collector: UsageCollector::default(),
            next: None,
            written: None,
            is_taken_over: false,
            kept: Kept::default(),
        }
    }

    /// Adds up what the others tell, without reporting it, because the node does not hold the
    /// lease. It may hold it next.
    pub fn rest(&mut self) {
        self.next = None;
        self.written = None;
        self.is_taken_over = false;
        self.kept = Kept::default();
        self.collect();
        self.collector
            .discard_before(self.usage_tracker.oldest_due_window());
    }

    /// Writes down what the nodes counted and was not reported, for the next holder. It survives
    /// the end of all nodes.
    pub async fn keep(&mut self) {
        self.collect();
        let counts = self.unreported();
        if counts == self.kept.counts {
            return;
        }
        let pause = match timeout(KEEP_TIMEOUT, self.log.save_counts(&counts)).await {
            Ok(Ok(bytes)) => {
                tracing::debug!(entries = counts.len(), bytes, "counts kept");
                self.kept.counts = counts;
                Duration::from_secs_f64(bytes as f64 / KEPT_BYTES_PER_SECOND)
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, "counts not kept");
                KEEP_INTERVAL
            }
            Err(_) => {
                tracing::warn!("counts not kept in time");
                KEEP_INTERVAL
            }
        };
        self.kept.next_at = Some(Instant::now() + pause.max(KEEP_INTERVAL));
    }

    async fn keep_if_due(&mut self) {
        let next_at = self.kept.next_at;
        if next_at.is_none_or(|at| Instant::now() >= at) {
            self.keep().await;
        }
    }

    /// Returns what is known of windows that are not reported yet, the latest ones first.
    fn unreported(&self) -> Vec<SavedCounts> {
        let first = self.next.unwrap_or_default();
        let own = self
            .usage_tracker
            .windows()
            .into_iter()
            .map(|counts| SavedCounts {
                window: counts.window,
                node_incarnation: self.own.0,
                is_final: counts.is_final,
                counts: counts.counts.iter().map(|(key, n)| (key.0, *n)).collect(),
            });
        let told = self.collector.reported_by(|_| true).into_iter().map(kept);
        let is_counted = |entry: &SavedCounts| entry.window >= first && !entry.counts.is_empty();
        own.chain(told).filter(is_counted).collect()
    }

    /// Takes in what holders before kept. A node that held the lease before finds its own counts
    /// among them, which it knows better.
    async fn take_over(&mut self) {
        match timeout(KEEP_TIMEOUT, self.log.load_counts()).await {
            Ok(Ok(kept)) => {
                tracing::info!(entries = kept.len(), "kept counts taken over");
                let others = kept
                    .into_iter()
                    .filter(|entry| entry.node_incarnation != self.own.0);
                for entry in others {
                    let node = NodeIncarnation(entry.node_incarnation);
                    self.collector
                        .record_counts(node, entry.window, entry.is_final, entry.counts);
                }
                self.is_taken_over = true;
            }
            Ok(Err(error)) => tracing::warn!(%error, "kept counts not taken over"),
            Err(_) => tracing::warn!("kept counts not taken over in time"),
        }
    }

    /// Reports the next window, if it can be.
    pub async fn step(&mut self, lease: &DutyLease, holder: &DutyHolder) {
        if !self.is_taken_over {
            self.take_over().await;
        }
        self.collect();
        let oldest = self.usage_tracker.oldest_due_window();
        let window = *self.next.get_or_insert(oldest);
        if self.is_taken_over {
            self.keep_if_due().await;
        }
        let Some(elapsed) = self.usage_tracker.since_window_end(window) else {
            return;
        };
        if elapsed > self.late {
            tracing::warn!(
                window,
                late_ms = elapsed.as_millis() as u64,
                "usage not reported in time"
            );
            self.advance(window);
            return;
        }
        if !self.is_complete(window, elapsed) {
            return;
        }
        let Some(report) = self.write_down(window).await else {
            return;
        };
        self.send(&report, lease, holder).await;
    }

    fn advance(&mut self, window: u64) {
        self.next = Some(window + 1);
        self.written = None;
        self.collector.discard_before(window);
    }

    fn collect(&mut self) {
        for report in self.roster.lock().live() {
            for window in &report.windows {
                let counts = window.counts.iter().map(|(key, count)| (key.0, *count));
                self.collector.record_counts(
                    life_of(report),
                    window.window,
                    window.is_final,
                    counts,
                );
            }
        }
    }

    fn is_complete(&self, window: u64, elapsed: Duration) -> bool {
        if elapsed > self.late.mul_f64(MISSING_RATIO) {
            return true;
        }
        if !self.is_taken_over {
            return false;
        }
        // A node that was heard after the window began may have counted in it, also when it has
        // been silent since.
        let since_begin = elapsed + self.usage_tracker.window_length();
        let roster = self.roster.lock();
        let mut heard = roster.reported_within(since_begin);
        heard.all(|report| self.collector.is_final(life_of(report), window))
    }

    async fn write_down(&mut self, window: u64) -> Option<UsageReport> {
        if let Some(written) = &self.written {
            return Some(written.clone());
        }
        let report = self.report(window);
        match self.log.write(&report).await {
            Ok(written) if written.window == window => {
                self.written = Some(written.clone());
                Some(written)
            }
            Ok(later) => {
                tracing::warn!(
                    window,
                    written = later.window,
                    "a later window is written down"
                );
                self.advance(window);
                None
            }
            Err(error) => {
                tracing::warn!(window, %error, "usage not written down");
                None
            }
        }
    }

    fn report(&self, window: u64) -> UsageReport {
        let own = self.usage_tracker.windows();
        let own = own.iter().find(|counts| counts.window == window);
        let own = |key: NameKey| {
            let counts = own.map(|own| &own.counts[..]).unwrap_or_default();
            let found = counts.iter().find(|(known, _)| *known == key);
            found.map_or(0, |(_, count)| *count)
        };
        let routes = self.routes.borrow().clone();
        let mut counts = BTreeMap::new();
        for workspace in routes.iter().flat_map(|routes| routes.workspaces()) {
            let key = NameKey::from(&workspace.id);
            let total = own(key) + self.collector.total(window, key.0);
            if total > 0 {
                counts.insert(workspace.id.clone(), total);
            }
        }
        UsageReport { window, counts }
    }

    async fn send(&mut self, report: &UsageReport, lease: &DutyLease, holder: &DutyHolder) {
        let permit = match lease.permit() {
            Ok(permit) => permit,
            Err(reason) => {
                tracing::info!(window = report.window, %reason, "usage not sent");
                return;
            }
        };
        let sent = permit.send(|_| self.reports.report_usage(report, holder));
        let outcome = match sent.await {
            Ok(outcome) => outcome,
            Err(failure) => DutyOutcome::Unknown(failure.to_string()),
        };
        tracing::info!(
            window = report.window,
            requests = report.counts.values().sum::<u64>(),
            fencing = holder.fencing.0,
            at = UnixMillis::now().0,
            %outcome,
            "usage reported",
        );
        if outcome == DutyOutcome::Accepted {
            self.advance(report.window);
        }
    }
}

fn kept(told: ReportedCounts) -> SavedCounts {
    SavedCounts {
        window: told.window,
        node_incarnation: told.node.0,
        is_final: told.is_final,
        counts: told.counts.into_iter().collect(),
    }
}

fn life_of(report: &NodeReport) -> NodeIncarnation {
    life(&report.node, report.incarnation)
}

fn life(node: &NodeId, incarnation: Incarnation) -> NodeIncarnation {
    NodeIncarnation(incarnation.0 ^ u64::from(NameKey::of(node.as_str()).0))
}
