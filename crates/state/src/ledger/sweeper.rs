//! Removal of expired rows.

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

/// `SweeperOptions` bounds the work of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SweeperOptions {
    /// Most expired rows that one round looks at.
    pub max_rows: usize,
    /// Time for which a claimed or dispatched row is kept after it expired. It must exceed the
    /// longest time of a request.
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

/// `SweepReport` counts what a round did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Entries of expired rows that were looked at.
    pub examined: usize,
    /// Rows that were removed.
    pub removed: usize,
    /// Rows that were kept because they are in use or changed meanwhile.
    pub kept: usize,
}

/// `Sweeper` removes expired rows, round by round. Several may run at once.
#[derive(Debug)]
pub struct Sweeper {
    ledger: Ledger,
    options: SweeperOptions,
    after: Option<String>,
}

/// What a round does about one entry.
enum Sweep {
    /// The entry is of no use any more.
    RemoveEntry,
    /// The row goes with its entry.
    RemoveRow(Row),
    /// The row stays.
    Keep,
}

impl Sweeper {
    /// Builds a sweeper that starts with the row that expired first.
    pub fn new(ledger: Ledger, options: SweeperOptions) -> Self {
        Self {
            ledger,
            options,
            after: None,
        }
    }

    /// Removes expired rows, at most as many as the options say. Each removal is conditional on
    /// the version of the row that was found expired.
    ///
    /// # Errors
    ///
    /// When the table gives no answer. The next round goes on from the same place.
    pub async fn sweep(&mut self, now: UnixMillis) -> Result<SweepReport> {
        let entries = self
            .ledger
            .table()
            .list(
                EXPIRY_TABLE,
                "",
                self.after.as_deref(),
                self.options.max_rows,
            )
            .await?;
        let is_last_page = entries.len() < self.options.max_rows;
        let mut report = SweepReport::default();
        for (text, _) in entries {
            let Ok(entry) = text.parse::<ExpiryEntry>() else {
                tracing::warn!(entry = text, "malformed entry in the expiry table");
                self.after = Some(text);
                continue;
            };
            if entry.expires_at > now {
                self.after = None;
                return Ok(report);
            }
            self.sweep_entry(&entry, now, &mut report).await?;
            self.after = Some(text);
        }
        if is_last_page {
            self.after = None;
        }
        Ok(report)
    }

    /// Sweeps at each tick while `is_mine` says that this node should. Ends when the ticks end.
    pub async fn run(mut self, mut ticks: mpsc::Receiver<Tick>, is_mine: impl Fn() -> bool) {
        while ticks.recv().await.is_some() {
            if !is_mine() {
                continue;
            }
            if let Err(err) = self.sweep(UnixMillis::now()).await {
                tracing::warn!(%err, "expired rows not swept");
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
            Sweep::Keep => {
                report.kept += 1;
                return Ok(());
            }
            Sweep::RemoveEntry => vec![delete(entry_key, Condition::Always)],
            Sweep::RemoveRow(row) => vec![
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

    fn decide(&self, entry: &ExpiryEntry, row: Option<Row>, now: UnixMillis) -> Result<Sweep> {
        let Some(row) = row else {
            return Ok(Sweep::RemoveEntry);
        };
        let record = wire::decode(&row.value)?;
        if record.expires_at != entry.expires_at {
            return Ok(Sweep::RemoveEntry);
        }
        let grace = match record.state {
            RecordState::Claimed | RecordState::Dispatched => self.options.in_use_grace,
            RecordState::Answered(_) | RecordState::Released => Duration::ZERO,
        };
        if now < record.expires_at.saturating_add(grace) {
            return Ok(Sweep::Keep);
        }
        Ok(Sweep::RemoveRow(row))
    }
}

fn delete(key: RowKey, condition: Condition) -> Write {
    Write {
        key,
        condition,
        mutation: Mutation::Delete,
    }
}
