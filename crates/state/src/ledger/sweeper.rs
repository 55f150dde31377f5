//! Removal of expired rows from the ledger.

use std::time::Duration;

use tokio::sync::mpsc;
use verbenahead_core::timer::Tick;
use verbenahead_services::{Condition, Mutation, Row, RowKey, Write};

use crate::{
    errors::Result,
    ledger::{
        begin::Ledger,
        key::{EXPIRY_TABLE, ExpiryEntry},
        record::RecordState,
        wire,
    },
    retry::WriteResult,
    time::UnixMillis,
};

/// `SweeperOptions` bounds the work of a sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SweeperOptions {
    /// Largest number of expired rows that one sweep examines.
    pub max_rows: usize,
    /// Time for which a claimed or dispatched row is kept after it expires. It must exceed the
    /// longest duration of a request.
    pub in_use_grace: Duration,
}

impl Default for SweeperOptions {
    fn default() -> Self {
        Self {
            max_rows: 100,
            in_use_grace: Duration::from_secs(3_600),
        }
    }
}

/// `SweepReport` counts the rows that a sweep handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Expiry entries that were examined.
    pub examined: usize,
    /// Rows that were removed.
    pub removed: usize,
    /// Rows that were kept because they are in use, changed during the sweep, or could not be
    /// removed in time.
    pub kept: usize,
}

/// `Sweeper` removes expired rows in bounded sweeps. Several sweepers may run at once.
#[derive(Debug)]
pub struct Sweeper {
    ledger: Ledger,
    options: SweeperOptions,
    /// Expiry entry after which the next sweep continues.
    cursor: Option<String>,
}

/// Action of a sweep on one entry.
enum SweepAction {
    /// Removes only the entry: its row is absent or listed under another expiry time.
    RemoveEntry,
    /// Removes the row and its entry.
    RemoveRow(Row),
    /// Keeps the row and its entry.
    Keep,
}

impl Sweeper {
    /// Builds a sweeper that starts with the earliest expiry time.
    pub fn new(ledger: Ledger, options: SweeperOptions) -> Self {
        Self {
            ledger,
            options,
            cursor: None,
        }
    }

    /// Removes expired rows, up to the limit in the options. Each removal is conditional on the
    /// version of the row that was found expired.
    ///
    /// # Errors
    ///
    /// When the table does not respond or a row is malformed. The next sweep continues at the
    /// same entry.
    pub async fn sweep(&mut self, now: UnixMillis) -> Result<SweepReport> {
        let entries = self
            .ledger
            .table()
            .list(
                EXPIRY_TABLE,
                "",
                self.cursor.as_deref(),
                self.options.max_rows,
            )
            .await?;
        let is_last_page = entries.len() < self.options.max_rows;
        let mut report = SweepReport::default();
        for (entry_key, _) in entries {
            let Ok(entry) = entry_key.parse::<ExpiryEntry>() else {
                tracing::warn!(entry = entry_key, "malformed entry in the expiry table");
                self.cursor = Some(entry_key);
                continue;
            };
            if entry.expires_at > now {
                self.cursor = None;
                return Ok(report);
            }
            self.sweep_entry(&entry, now, &mut report).await?;
            self.cursor = Some(entry_key);
        }
        if is_last_page {
            self.cursor = None;
        }
        Ok(report)
    }

    /// Sweeps at each tick at which `should_sweep` returns true. Returns when the ticks end.
    pub async fn run(mut self, mut ticks: mpsc::Receiver<Tick>, should_sweep: impl Fn() -> bool) {
        while ticks.recv().await.is_some() {
            if !should_sweep() {
                continue;
            }
            if let Err(err) = self.sweep(UnixMillis::now()).await {
                tracing::warn!(%err, "could not remove expired ledger rows");
            }
        }
    }

    async fn sweep_entry(
        &self,
        entry: &ExpiryEntry,
        now: UnixMillis,
        report: &mut SweepReport,
    ) -> Result<()> {
        report.examined += 1;
        let row = self.ledger.read(&entry.key).await?;
        let entry_key = entry.key.expiry_key(entry.expires_at);
        let writes = match self.decide(entry, row, now)? {
            SweepAction::Keep => {
                report.kept += 1;
                return Ok(());
            }
            SweepAction::RemoveEntry => vec![delete(entry_key, Condition::Always)],
            SweepAction::RemoveRow(row) => vec![
                delete(entry.key.row_key(), Condition::VersionIs(row.version)),
                delete(entry_key, Condition::Always),
            ],
        };
        let removes_row = writes.len() > 1;
        match self.ledger.write(writes).await {
            WriteResult::Done(_) if removes_row => report.removed += 1,
            WriteResult::Done(_) => (),
            WriteResult::Refused(_) | WriteResult::Unavailable { .. } => report.kept += 1,
        }
        Ok(())
    }

    fn decide(
        &self,
        entry: &ExpiryEntry,
        row: Option<Row>,
        now: UnixMillis,
    ) -> Result<SweepAction> {
        let Some(row) = row else {
            return Ok(SweepAction::RemoveEntry);
        };
        let record = wire::decode(&row.value)?;
        if record.expires_at != entry.expires_at {
            return Ok(SweepAction::RemoveEntry);
        }
        let grace = match record.state {
            RecordState::Claimed | RecordState::Dispatched => self.options.in_use_grace,
            RecordState::Answered(_) | RecordState::Released => Duration::ZERO,
        };
        if now < record.expires_at.saturating_add(grace) {
            return Ok(SweepAction::Keep);
        }
        Ok(SweepAction::RemoveRow(row))
    }
}

fn delete(key: RowKey, condition: Condition) -> Write {
    Write {
        key,
        condition,
        mutation: Mutation::Delete,
    }
}
