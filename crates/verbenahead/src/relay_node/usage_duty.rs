//! Reports the usage of each window to the platform once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};
use verbenahead_core::{Incarnation, NodeId, time::UnixMillis};
use verbenahead_membership::{NameKey, NodeReport, SharedRoster};
use verbenahead_policy::{NodeIncarnation, ReportedCounts, UsageCollector};
use verbenahead_relay::{RouteView, UsageTracker};
use verbenahead_services::{DutyHolder, DutyOutcome, UsageReport, UsageReports};
use verbenahead_state::{SavedCounts, UsageLog};

use crate::relay_node::duty_lease::DutyLease;

/// Time for which the holder waits for missing counts, as a fraction of the time within which a
/// report is due. A node that has not sent its counts may be cut off for a while, so the holder
/// waits for it; the rest of the time is enough for another holder to make the report when this one
/// fails.
const MISSING_COUNTS_RATIO: f64 = 0.6;

/// Longest time of a call that writes or reads counts. Orders for replicas wait during the call.
const COUNTS_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest time between two writes of the counts. What was counted since the last write is lost
/// when all nodes end together.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Most bytes of counts that are written per second, on average. With 330 nodes and 16 workspaces
/// the counts take about 190 KB, so they are written every 12 s.
const COUNTS_BYTES_PER_SECOND: f64 = 16_384.0;

/// `UsageDuty` reports usage while the node holds the lease.
pub struct UsageDuty {
    usage_tracker: Arc<UsageTracker>,
    roster: SharedRoster,
    routes: RouteView,
    log: UsageLog,
    reports: Arc<dyn UsageReports>,
    /// Time from the end of a window within which its report is due.
    report_due: Duration,
    collector: UsageCollector,
    /// Window that is reported next, while the lease is held.
    next_window: Option<u64>,
    /// Report that is in the usage log and not yet known to be accepted.
    logged: Option<UsageReport>,
    /// Incarnation of this node.
    own_incarnation: NodeIncarnation,
    /// Whether the counts that earlier holders wrote have been read.
    has_read_counts: bool,
    last_write: LastWrite,
}

/// `LastWrite` is the last write of unreported counts by this node.
#[derive(Debug, Default)]
struct LastWrite {
    counts: Vec<SavedCounts>,
    /// Earliest time of the next write.
    next_at: Option<Instant>,
}

/// `UsageDutyParts` are what a `UsageDuty` is built from.
pub struct UsageDutyParts {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Usage of the node's callers.
    pub usage_tracker: Arc<UsageTracker>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Routes in force.
    pub routes: RouteView,
    /// Log of the reports and of the counts that are not reported yet.
    pub log: UsageLog,
    /// Receiver of the reports.
    pub reports: Arc<dyn UsageReports>,
    /// Time from the end of a window within which its report is due.
    pub report_due: Duration,
}

impl UsageDuty {
    /// Builds the duty without any counts.
    pub fn new(parts: UsageDutyParts) -> Self {
        Self {
            own_incarnation: node_incarnation(&parts.node, parts.incarnation),
            usage_tracker: parts.usage_tracker,
            roster: parts.roster,
            routes: parts.routes,
            log: parts.log,
            reports: parts.reports,
            report_due: parts.report_due,
            collector: UsageCollector::default(),
            next_window: None,
            logged: None,
            has_read_counts: false,
            last_write: LastWrite::default(),
        }
    }

    /// Collects the counts that other nodes report, in case this node takes the lease next. Drops
    /// what only a holder needs. Called while the node does not hold the lease.
    pub fn step_without_lease(&mut self) {
        self.next_window = None;
        self.logged = None;
        self.has_read_counts = false;
        self.last_write = LastWrite::default();
        self.collect();
        self.collector
            .discard_before(self.usage_tracker.oldest_due_window());
    }

    /// Writes the counts that are not reported yet to the table, for the next holder. They outlast
    /// the end of all nodes.
    pub async fn write_counts(&mut self) {
        self.collect();
        let counts = self.unreported();
        if counts == self.last_write.counts {
            return;
        }
        let pause = match timeout(COUNTS_TIMEOUT, self.log.save_counts(&counts)).await {
            Ok(Ok(bytes)) => {
                tracing::debug!(entries = counts.len(), bytes, "unreported counts written");
                self.last_write.counts = counts;
                Duration::from_secs_f64(bytes as f64 / COUNTS_BYTES_PER_SECOND)
            }
            Ok(Err(error)) => {
                tracing::warn!(%error, "unreported counts not written");
                MIN_WRITE_INTERVAL
            }
            Err(_) => {
                tracing::warn!("unreported counts not written in time");
                MIN_WRITE_INTERVAL
            }
        };
        self.last_write.next_at = Some(Instant::now() + pause.max(MIN_WRITE_INTERVAL));
    }

    async fn write_counts_if_due(&mut self) {
        let next_at = self.last_write.next_at;
        if next_at.is_none_or(|at| Instant::now() >= at) {
            self.write_counts().await;
        }
    }

    /// Returns the counts of windows that are not reported yet: those of this node, then those of
    /// the other nodes with the latest windows first.
    fn unreported(&self) -> Vec<SavedCounts> {
        let first = self.next_window.unwrap_or_default();
        let own = self
            .usage_tracker
            .windows()
            .into_iter()
            .map(|counts| SavedCounts {
                window: counts.window,
                node_incarnation: self.own_incarnation.0,
                is_final: counts.is_final,
                counts: counts.counts.iter().map(|(key, n)| (key.0, *n)).collect(),
            });
        let others = self
            .collector
            .reported_by(|_| true)
            .into_iter()
            .map(saved_counts);
        let is_counted = |entry: &SavedCounts| entry.window >= first && !entry.counts.is_empty();
        own.chain(others).filter(is_counted).collect()
    }

    /// Reads the counts that earlier holders wrote. A node that held the lease before skips its own
    /// counts among them, since those in its memory are newer.
    async fn read_counts(&mut self) {
        match timeout(COUNTS_TIMEOUT, self.log.load_counts()).await {
            Ok(Ok(saved)) => {
                tracing::info!(entries = saved.len(), "counts of the earlier holder read");
                let others = saved
                    .into_iter()
                    .filter(|entry| entry.node_incarnation != self.own_incarnation.0);
                for entry in others {
                    let node = NodeIncarnation(entry.node_incarnation);
                    self.collector
                        .record_counts(node, entry.window, entry.is_final, entry.counts);
                }
                self.has_read_counts = true;
            }
            Ok(Err(error)) => tracing::warn!(%error, "counts of the earlier holder not read"),
            Err(_) => tracing::warn!("counts of the earlier holder not read in time"),
        }
    }

    /// Reports the next window if it has ended and its counts are complete or late.
    pub async fn step(&mut self, lease: &DutyLease, holder: &DutyHolder) {
        if !self.has_read_counts {
            self.read_counts().await;
        }
        self.collect();
        let oldest = self.usage_tracker.oldest_due_window();
        let window = *self.next_window.get_or_insert(oldest);
        if self.has_read_counts {
            self.write_counts_if_due().await;
        }
        let Some(elapsed) = self.usage_tracker.since_window_end(window) else {
            return;
        };
        if elapsed > self.report_due {
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
        let Some(report) = self.log_report(window).await else {
            return;
        };
        self.send(&report, lease, holder).await;
    }

    fn advance(&mut self, window: u64) {
        self.next_window = Some(window + 1);
        self.logged = None;
        self.collector.discard_before(window);
    }

    fn collect(&mut self) {
        for report in self.roster.lock().live() {
            for window in &report.windows {
                let counts = window.counts.iter().map(|(key, count)| (key.0, *count));
                self.collector.record_counts(
                    incarnation_of(report),
                    window.window,
                    window.is_final,
                    counts,
                );
            }
        }
    }

    /// Returns whether the window can be reported: the counts of all nodes are final, or the time
    /// to wait for them is over.
    fn is_complete(&self, window: u64, elapsed: Duration) -> bool {
        if elapsed > self.report_due.mul_f64(MISSING_COUNTS_RATIO) {
            return true;
        }
        if !self.has_read_counts {
            return false;
        }
        // A node that sent a report after the window began may have counted requests in it, even
        // if it has sent nothing since.
        let since_begin = elapsed + self.usage_tracker.window_length();
        let roster = self.roster.lock();
        let mut reports = roster.reported_within(since_begin);
        reports.all(|report| self.collector.is_final(incarnation_of(report), window))
    }

    /// Writes the report of a window to the usage log, unless it is there, and returns the logged
    /// one.
    async fn log_report(&mut self, window: u64) -> Option<UsageReport> {
        if let Some(logged) = &self.logged {
            return Some(logged.clone());
        }
        if window <= self.roster.lock().reported_window() {
            return self.read_logged(window).await;
        }
        let report = self.report(window);
        match self.log.write(&report).await {
            Ok(logged) if logged.window == window => {
                self.logged = Some(logged.clone());
                Some(logged)
            }
            Ok(later) => {
                tracing::warn!(
                    window,
                    written = later.window,
                    "usage log already has the report of a later window"
                );
                self.advance(window);
                None
            }
            Err(error) => {
                tracing::warn!(window, %error, "usage report not written to the usage log");
                None
            }
        }
    }

    /// Reads the logged report of a window that was sent before. If the log no longer has it, the
    /// window is not reported again, because its counts might differ.
    async fn read_logged(&mut self, window: u64) -> Option<UsageReport> {
        match self.log.read(window).await {
            Ok(Some(report)) => {
                self.logged = Some(report.clone());
                Some(report)
            }
            Ok(None) => {
                tracing::warn!(window, "report of a window is gone from the usage log");
                self.advance(window);
                None
            }
            Err(error) => {
                tracing::warn!(window, %error, "usage log not read");
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
                tracing::info!(window = report.window, %reason, "lease does not permit the usage report");
                return;
            }
        };
        self.roster.lock().record_reported_window(report.window);
        let permit_fencing = permit.fencing().0;
        let sent = permit.send(|_| self.reports.report_usage(report, holder));
        let outcome = match sent.await {
            Ok(outcome) => outcome,
            Err(failure) => DutyOutcome::Unknown(failure.to_string()),
        };
        tracing::info!(
            window = report.window,
            requests = report.counts.values().sum::<u64>(),
            fencing = holder.fencing.0,
            permit_fencing,
            at = UnixMillis::now().0,
            %outcome,
            "usage reported",
        );
        if outcome == DutyOutcome::Accepted {
            self.advance(report.window);
        }
    }
}

fn saved_counts(reported: ReportedCounts) -> SavedCounts {
    SavedCounts {
        window: reported.window,
        node_incarnation: reported.node.0,
        is_final: reported.is_final,
        counts: reported.counts.into_iter().collect(),
    }
}

fn incarnation_of(report: &NodeReport) -> NodeIncarnation {
    node_incarnation(&report.node, report.incarnation)
}

/// Returns the identity under which the counts of an incarnation of a node are collected.
fn node_incarnation(node: &NodeId, incarnation: Incarnation) -> NodeIncarnation {
    NodeIncarnation(incarnation.0 ^ u64::from(NameKey::of(node.as_str()).0))
}
