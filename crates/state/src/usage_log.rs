//! Log of the usage reports.
//!
//! A report may be sent again only with identical content. It is therefore stored before it is
//! sent, and a node that takes over the duty sends the stored report. A window without a stored report
//! was not reported, unless the table came back from a copy: then this is known only from
//! [`ReportHistory::complete_from`] on.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::WorkspaceId;
use verbenahead_services::{
    Condition, EraView, Mutation, RowKey, StoreEra, Table, TableName, UsageReport, Write,
};

use crate::{
    counts_journal::{CountsJournal, SavedCounts},
    errors::{Error, Result},
    report_history::{self, ReportHistory},
    retry::{RetryOptions, WriteResult, read_with_retries, write_with_retries},
};

/// Table of usage reports, with one row for each of the last `KEPT_WINDOWS` windows, and of saved
/// counts.
pub const USAGE_TABLE: TableName = TableName("usage");

/// Number of windows whose reports are kept. The row of a window is overwritten this many windows
/// later.
const KEPT_WINDOWS: u64 = 16;

#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    window: u64,
    counts: BTreeMap<WorkspaceId, u64>,
}

/// `EarlierReport` tells whether an earlier holder of the lease may have reported a window. A window is reported again
/// only with the same counts, so the row of a possible report is not replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierReport {
    /// The window had begun before the lease was taken.
    Possible,
    /// The window had not begun yet.
    Impossible,
}

/// `UsageLog` stores usage reports in the platform's table. Clones share the table.
#[derive(Clone)]
pub struct UsageLog {
    table: Arc<dyn Table>,
    retry: RetryOptions,
    eras: EraView,
}

impl fmt::Debug for UsageLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageLog").finish_non_exhaustive()
    }
}

impl UsageLog {
    /// Builds a log on top of a table. `eras` follows the eras that its answers state.
    pub fn new(table: Arc<dyn Table>, retry: RetryOptions, eras: EraView) -> Self {
        Self { table, retry, eras }
    }

    /// Returns the view of the table's era.
    pub fn eras(&self) -> &EraView {
        &self.eras
    }

    /// Returns what is known of the history of the reports, from the table or as `own` states it, whichever
    /// reaches further back. The table keeps it for processes that start later.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time, or when it came back from a copy since `own` was made.
    pub async fn open_history(&self, own: ReportHistory) -> Result<ReportHistory> {
        report_history::open(self.table.as_ref(), self.retry, own).await
    }

    /// Returns whether a holder of the lease has opened the history of this era.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time.
    pub async fn has_history_of(&self, era: StoreEra) -> Result<bool> {
        let stored = report_history::read(self.table.as_ref(), self.retry).await?;
        Ok(stored.is_some_and(|stored| stored.era == era))
    }

    /// Opens the counts that earlier lease holders saved. Returns them with the journal that replaces them.
    ///
    /// # Errors
    ///
    /// As for [`CountsJournal::open`].
    pub async fn open_counts(&self) -> Result<(CountsJournal, Vec<SavedCounts>)> {
        CountsJournal::open(Arc::clone(&self.table), self.retry).await
    }

    /// Reads the report of a window, or `None` if none is stored.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time or the row is malformed.
    pub async fn read(&self, window: u64) -> Result<Option<UsageReport>> {
        let key = key(window);
        let row = read_with_retries(self.table.as_ref(), &key, self.retry).await?;
        let report = row.map(|row| decode(&row.value)).transpose()?;
        // Rows are reused every `KEPT_WINDOWS` windows, so the row may hold another window.
        Ok(report.filter(|report| report.window == window))
    }

    /// Stores a report, unless the row already holds one of the same or a later window. Returns the
    /// stored report, which is the one to send. `earlier` tells whether an earlier holder may have reported the
    /// window; if not, a row that cannot be decoded is replaced. `era` is the era of the table in which it was
    /// decided that the window may be reported.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time or the row is malformed. Nothing is written when the table
    /// has come back from a copy since `era`, because the report may have been stored and sent before.
    pub async fn write(
        &self,
        report: &UsageReport,
        earlier: EarlierReport,
        era: Option<StoreEra>,
    ) -> Result<UsageReport> {
        let key = key(report.window);
        let current = read_with_retries(self.table.as_ref(), &key, self.retry).await?;
        if self.eras.era() != era {
            return Err(Error::unavailable("the table came back from a copy"));
        }
        if let Some(row) = &current {
            match decode(&row.value) {
                Ok(stored) if stored.window >= report.window => return Ok(stored),
                Ok(_) => {}
                Err(error) if earlier == EarlierReport::Impossible => {
                    let window = report.window;
                    tracing::warn!(window, key = key.key, %error, "row of a usage report replaced");
                }
                Err(error) => return Err(error),
            }
        }
        let write = Write {
            key,
            condition: current.map_or(Condition::Absent, |row| Condition::VersionIs(row.version)),
            mutation: Mutation::Put(encode(report)),
        };
        match write_with_retries(self.table.as_ref(), vec![write], self.retry).await {
            WriteResult::Done(_) => Ok(report.clone()),
            WriteResult::Refused(refusal) => match refusal.actual {
                Some(row) => decode(&row.value),
                None => Err(Error::unavailable("the row of the window was removed")),
            },
            WriteResult::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }
}

fn key(window: u64) -> RowKey {
    RowKey::new(USAGE_TABLE, format!("{:02}", window % KEPT_WINDOWS))
}

fn encode(report: &UsageReport) -> Bytes {
    let wire = WireReport {
        window: report.window,
        counts: report.counts.clone(),
    };
    let json = serde_json::to_vec(&wire);
    Bytes::from(json.expect("the keys of a report are strings"))
}

fn decode(value: &[u8]) -> Result<UsageReport> {
    let wire: WireReport =
        serde_json::from_slice(value).map_err(|error| Error::malformed("usage row", error))?;
    Ok(UsageReport {
        window: wire.window,
        counts: wire.counts,
    })
}
