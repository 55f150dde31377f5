//! What this node knows of the usage reports of earlier eras of the store.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::timeout;
use verbenahead_services::{SeenEra, StoreEra, UsageReport};
use verbenahead_state::{EarlierReport, Error, ReportHistory, Result, UsageLog};

/// Longest time of the calls that read or write the history. The duties wait meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// `HistoryKeeper` finds out from which window on the usage log is complete, and leaves it there for later
/// holders of the lease.
pub struct HistoryKeeper {
    log: UsageLog,
    /// What this node knows as the holder at the time of a restore, until the log has it.
    handover: Option<Handover>,
    /// Number of windows that were not reported because the store may have lost their reports.
    left_out: Arc<AtomicU64>,
}

/// `Handover` is what the holder knows that lived through a restore of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// Windows of which the holder knows that nobody has reported them.
    pub history: ReportHistory,
    /// Report that it may have sent, and whose row may be lost.
    pub logged: Option<UsageReport>,
}

impl HistoryKeeper {
    /// Builds a keeper that has no knowledge of its own. It counts the windows that are left out in `left_out`.
    pub fn new(log: UsageLog, left_out: Arc<AtomicU64>) -> Self {
        Self {
            log,
            handover: None,
            left_out,
        }
    }

    /// Counts a window that is not reported because the store may have lost its report.
    pub fn count_left_out(&self) {
        self.left_out.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the present era of the store, if it states eras.
    pub fn seen(&self) -> Option<SeenEra> {
        self.log.eras().seen()
    }

    /// Returns the history of the present era, or `None` if the store does not answer in time. `window_at` is the
    /// window in which this node first saw the era. It may have been reported before the restore if the clock of
    /// the earlier holder was ahead, so it counts as incomplete.
    pub async fn open(&mut self, seen: SeenEra, window_at: u64) -> Option<ReportHistory> {
        if !seen.era.has_predecessor() {
            let complete_from = 0;
            return Some(ReportHistory {
                era: seen.era,
                complete_from,
            });
        }
        let own = ReportHistory {
            era: seen.era,
            complete_from: window_at + 1,
        };
        let opened = match self.handover.clone().filter(|known| known.is_of(seen.era)) {
            Some(known) => self.pass_on(&known).await,
            None => within_limit(self.log.open_history(own)).await,
        };
        match opened {
            Ok(history) => {
                tracing::info!(
                    era = history.era.0,
                    era_age_ms = seen.since.elapsed().as_millis() as u64,
                    window_at,
                    complete_from = history.complete_from,
                    "history of the usage reports opened",
                );
                Some(history)
            }
            Err(error) => {
                tracing::warn!(era = seen.era.0, %error, "history of the usage reports not opened");
                None
            }
        }
    }

    /// Keeps what the holder knows until the log has it.
    pub fn hand_over(&mut self, known: Handover) {
        self.handover = Some(known);
    }

    /// Writes what this node knows as the earlier holder, for the next one.
    pub async fn write_handover(&mut self) {
        let Some(known) = self.handover.clone() else {
            return;
        };
        let era = known.history.era;
        if self.seen().is_some_and(|seen| seen.era > era) {
            tracing::warn!(era = era.0, "store restored again before the handover");
            self.handover = None;
            return;
        }
        match self.pass_on(&known).await {
            Ok(history) => tracing::info!(
                era = era.0,
                complete_from = history.complete_from,
                has_report = known.logged.is_some(),
                "history of the usage reports handed over",
            ),
            Err(error) => tracing::warn!(era = era.0, %error, "history not handed over"),
        }
    }

    /// Writes the report that may have been sent before the history, so that a later holder that reads the history
    /// finds the report too.
    async fn pass_on(&mut self, known: &Handover) -> Result<ReportHistory> {
        if let Some(report) = &known.logged {
            let era = Some(known.history.era);
            let written = self.log.write(report, EarlierReport::Possible, era);
            match within_limit(written).await {
                Ok(_) => {}
                // The window is not reported again as long as its row is unreadable.
                Err(error @ Error::Malformed { .. }) => {
                    tracing::warn!(window = report.window, %error, "report not handed over");
                }
                Err(error) => return Err(error),
            }
        }
        let history = within_limit(self.log.open_history(known.history)).await?;
        self.handover = None;
        Ok(history)
    }
}

impl Handover {
    fn is_of(&self, era: StoreEra) -> bool {
        self.history.era == era
    }
}

async fn within_limit<T>(call: impl Future<Output = Result<T>>) -> Result<T> {
    let result = timeout(CALL_TIMEOUT, call).await;
    result.map_err(Error::unavailable).flatten()
}
