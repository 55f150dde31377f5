//! Reports the usage of each window to the platform once.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};
use verbenahead_core::time::UnixMillis;
use verbenahead_services::{DutyOutcome, StoreEra, UsageReport, UsageReports};
use verbenahead_state::{
    CountsJournal, EarlierReport, Error, ReportHistory, Result, SavedCounts, UsageLog,
};

use crate::relay_node::{
    duty_epoch::DutyEpoch,
    history_keeper::{Handover, HistoryKeeper},
    usage_counts::UsageCounts,
};

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

/// `UsageDutyParts` are what a `UsageDuty` is built from.
pub struct UsageDutyParts {
    /// Counts of all nodes, which are collected without the lease too.
    pub counts: UsageCounts,
    /// Log of the reports and of the counts that are not reported yet.
    pub log: UsageLog,
    /// What is known of the reports of earlier eras of the store.
    pub history: HistoryKeeper,
    /// Receiver of the reports.
    pub reports: Arc<dyn UsageReports>,
    /// Time from the end of a window within which its report is due.
    pub report_due: Duration,
}

/// `UsageDuty` reports usage in one epoch of the lease.
pub struct UsageDuty<'a> {
    parts: &'a mut UsageDutyParts,
    /// First window that had not begun when the lease was taken, so that no earlier holder has reported it.
    first_own_window: u64,
    /// Era of the store when the lease was taken.
    era: Option<StoreEra>,
    /// What the usage log holds of earlier reports, once it is known.
    history: Option<ReportHistory>,
    /// Window that is reported next.
    next_window: Option<u64>,
    /// Report that is in the usage log and not yet known to be accepted.
    logged: Option<UsageReport>,
    /// Whether the counts that earlier holders wrote have been read.
    has_read_counts: bool,
    /// Journal of unreported counts, while it is open.
    journal: Option<CountsJournal>,
    last_write: LastWrite,
}

/// `LastWrite` is the last write of unreported counts.
#[derive(Debug, Default)]
struct LastWrite {
    counts: Vec<SavedCounts>,
    /// Earliest time of the next write.
    next_at: Option<Instant>,
}

impl<'a> UsageDuty<'a> {
    /// Builds the duty with nothing reported.
    pub fn new(parts: &'a mut UsageDutyParts) -> Self {
        Self {
            first_own_window: parts.counts.tracker().current_window() + 1,
            era: parts.log.eras().era(),
            history: None,
            parts,
            next_window: None,
            logged: None,
            has_read_counts: false,
            journal: None,
            last_write: LastWrite::default(),
        }
    }

    /// Writes the counts that are not reported yet to the table, for the next holder. They outlast
    /// the end of all nodes. Counts that another holder wrote meanwhile are read first.
    pub async fn write_counts(&mut self) {
        if self.journal.is_none() {
            self.read_counts().await;
        }
        self.parts.counts.collect();
        let first = self.next_window.unwrap_or_default();
        let counts = self.parts.counts.since(first);
        if counts == self.last_write.counts {
            return;
        }
        let pause = match self.save(&counts).await {
            Ok(bytes) => {
                tracing::debug!(entries = counts.len(), bytes, "unreported counts written");
                self.last_write.counts = counts;
                Duration::from_secs_f64(bytes as f64 / COUNTS_BYTES_PER_SECOND)
            }
            Err(error) => {
                tracing::warn!(%error, "unreported counts not written");
                MIN_WRITE_INTERVAL
            }
        };
        self.last_write.next_at = Some(Instant::now() + pause.max(MIN_WRITE_INTERVAL));
    }

    /// Saves counts to the journal, which is closed when that fails. Returns the number of bytes written.
    async fn save(&mut self, counts: &[SavedCounts]) -> Result<usize> {
        let journal = self
            .journal
            .take()
            .ok_or_else(|| Error::unavailable("the journal of counts is not open"))?;
        let saved = timeout(COUNTS_TIMEOUT, journal.save(counts)).await;
        let (journal, bytes) = saved.map_err(Error::unavailable)??;
        self.journal = Some(journal);
        Ok(bytes)
    }

    async fn write_counts_if_due(&mut self) {
        let next_at = self.last_write.next_at;
        if next_at.is_none_or(|at| Instant::now() >= at) {
            self.write_counts().await;
        }
    }

    /// Reads the counts that earlier holders wrote.
    async fn read_counts(&mut self) {
        let opened = timeout(COUNTS_TIMEOUT, self.parts.log.open_counts()).await;
        match opened.map_err(Error::unavailable).flatten() {
            Ok((journal, saved)) => {
                tracing::info!(entries = saved.len(), "counts of the earlier holder read");
                self.parts.counts.add_saved(saved);
                self.has_read_counts = true;
                self.journal = Some(journal);
            }
            Err(error) => tracing::warn!(%error, "counts of the earlier holder not read"),
        }
    }

    /// Keeps what this holder knows when the lease ended because the store came back from a copy: until then it was
    /// the only one that could report the windows that began after it had taken the lease.
    pub fn hand_over(&mut self, epoch: &DutyEpoch) {
        let seen = self.parts.history.seen();
        let Some(seen) = seen.filter(|seen| Some(seen.era) > self.era) else {
            return;
        };
        if !epoch.was_held_at(seen.since) {
            tracing::info!(
                era = seen.era.0,
                "lease had ended before the restore was noticed, nothing is handed over"
            );
            return;
        }
        let unreported = match (&self.logged, self.next_window) {
            (Some(logged), _) => logged.window + 1,
            (None, next) => next.unwrap_or_default(),
        };
        self.parts.history.hand_over(Handover {
            history: ReportHistory {
                era: seen.era,
                complete_from: unreported.max(self.first_own_window),
            },
            logged: self.logged.clone(),
        });
    }

    /// Finds out from which window on the usage log holds every report. Returns whether that is known.
    async fn open_history(&mut self) -> bool {
        if self.history.is_none() {
            let Some(seen) = self.parts.history.seen() else {
                // The store states no eras, so it loses nothing.
                return true;
            };
            let window_at = self
                .parts
                .counts
                .tracker()
                .window_before(seen.since.elapsed());
            self.history = self.parts.history.open(seen, window_at).await;
        }
        self.history.is_some()
    }

    /// Reports the next window if it has ended and its counts are complete or late.
    pub async fn step(&mut self, epoch: &DutyEpoch) {
        if !self.open_history().await {
            return;
        }
        if !self.has_read_counts {
            self.read_counts().await;
        }
        self.parts.counts.collect();
        let tracker = self.parts.counts.tracker();
        let oldest = tracker.oldest_due_window();
        let window = *self.next_window.get_or_insert(oldest);
        if self.has_read_counts {
            self.write_counts_if_due().await;
        }
        let Some(elapsed) = self.parts.counts.tracker().since_window_end(window) else {
            return;
        };
        if elapsed > self.parts.report_due {
            tracing::warn!(
                window,
                late_ms = elapsed.as_millis() as u64,
                "usage not reported in time"
            );
            self.advance(window);
            return;
        }
        if !self.may_be_lost(window) && !self.is_complete(window, elapsed) {
            return;
        }
        let Some(report) = self.log_report(window).await else {
            return;
        };
        self.send(&report, epoch).await;
    }

    fn advance(&mut self, window: u64) {
        self.next_window = Some(window + 1);
        self.logged = None;
        self.parts.counts.discard_before(window);
    }

    /// Returns whether the window can be reported: the counts of all nodes are final, or the time
    /// to wait for them is over.
    fn is_complete(&self, window: u64, elapsed: Duration) -> bool {
        if elapsed > self.parts.report_due.mul_f64(MISSING_COUNTS_RATIO) {
            return true;
        }
        self.has_read_counts && self.parts.counts.are_final(window, elapsed)
    }

    /// Returns whether a report of the window may have been sent that the usage log has lost.
    fn may_be_lost(&self, window: u64) -> bool {
        let history = self.history.as_ref();
        history.is_some_and(|history| window < history.complete_from)
    }

    /// Writes the report of a window to the usage log, unless it is there, and returns the logged
    /// one.
    async fn log_report(&mut self, window: u64) -> Option<UsageReport> {
        if let Some(logged) = &self.logged {
            return Some(logged.clone());
        }
        if self.may_be_lost(window) {
            return self.read_logged(window).await;
        }
        let report = self.parts.counts.report(window);
        let earlier = match window < self.first_own_window {
            true => EarlierReport::Possible,
            false => EarlierReport::Impossible,
        };
        let era = self.history.as_ref().map(|history| history.era);
        match self.parts.log.write(&report, earlier, era).await {
            Ok(logged) if logged.window == window => {
                self.log_source(&logged, logged == report);
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

    /// Reads the logged report of a window that may have been sent in an earlier era. If the log does not have it,
    /// the window is not reported, because its counts might differ from those that were sent.
    async fn read_logged(&mut self, window: u64) -> Option<UsageReport> {
        match self.parts.log.read(window).await {
            Ok(Some(report)) => {
                self.log_source(&report, false);
                self.logged = Some(report.clone());
                Some(report)
            }
            Ok(None) => {
                let history = self.history.as_ref();
                tracing::warn!(
                    window,
                    era = history.map(|history| history.era.0),
                    complete_from = history.map(|history| history.complete_from),
                    "window not reported: the store may have lost its report",
                );
                self.parts.history.count_left_out();
                self.advance(window);
                None
            }
            Err(error) => {
                tracing::warn!(window, %error, "usage log not read");
                None
            }
        }
    }

    /// Logs where the counts of a report come from, with what this node knew of earlier reports.
    fn log_source(&self, report: &UsageReport, is_counted: bool) {
        let history = self.history.as_ref();
        tracing::info!(
            window = report.window,
            is_counted,
            requests = report.counts.values().sum::<u64>(),
            era = history.map(|history| history.era.0),
            complete_from = history.map(|history| history.complete_from),
            first_own_window = self.first_own_window,
            "counts of a usage report chosen",
        );
    }

    async fn send(&mut self, report: &UsageReport, epoch: &DutyEpoch) {
        let permit = match epoch.permit() {
            Ok(permit) => permit,
            Err(reason) => {
                tracing::info!(window = report.window, %reason, "lease does not permit the usage report");
                return;
            }
        };
        let roster = self.parts.counts.roster();
        roster.lock().record_reported_window(report.window);
        let fencing = permit.fencing();
        let reports = &self.parts.reports;
        let sent = permit.send(|holder| async move { reports.report_usage(report, &holder).await });
        let outcome = match sent.await {
            Ok(outcome) => outcome,
            Err(failure) => DutyOutcome::Unknown(failure.to_string()),
        };
        tracing::info!(
            window = report.window,
            requests = report.counts.values().sum::<u64>(),
            fencing = fencing.0,
            at = UnixMillis::now().0,
            %outcome,
            "usage reported",
        );
        if outcome == DutyOutcome::Accepted {
            self.advance(report.window);
        }
    }
}
