//! Joining of past days.

use verbenahead_core::{HashMap, time::UnixMillis};
use verbenahead_services::{Condition, Mutation, Result, RowKey, TableName, Write, WriteOutcome};

use super::{
    counts::{ObjectiveCounts, SeriesKey},
    row::{DAYS_TABLE, HOURS_TABLE, HourRow, RowEntry, day_key},
    slice::{DAY_HOURS, HOUR_MINUTES, Slice, day_of},
    store::{BurnStore, NodeRow, Pages, decode_hour},
};

/// Rows of one transaction.
const ROWS_PER_WRITE: usize = 100;

/// Whole days whose hours are kept apart.
const HOURLY_DAYS: u64 = 4;

/// Days that are kept.
const KEPT_DAYS: u64 = 35;

impl BurnStore {
    /// Joins the hours of each day that is no longer kept by the hour into one row, and deletes
    /// what is too old. Any node may do this at any time, also several at once.
    ///
    /// # Errors
    ///
    /// When the table gives no answer or a row is malformed. Trying again is safe.
    pub async fn roll_up(&self, now: UnixMillis) -> Result<()> {
        let end = day_of(now).saturating_sub(HOURLY_DAYS) * DAY_HOURS;
        let rows = self.hours_before(end).await?;
        let mut keys = Vec::with_capacity(rows.len());
        for rows in rows.chunk_by(|a, b| a.day() == b.day()) {
            if !self.write_day(rows[0].day(), rows).await {
                break;
            }
            keys.extend(rows.iter().map(NodeRow::key));
        }
        self.delete(keys).await;
        let oldest = day_of(now).saturating_sub(KEPT_DAYS);
        let old_days = self.keys_before(DAYS_TABLE, oldest).await?;
        self.delete(old_days).await;
        Ok(())
    }

    async fn hours_before(&self, end: u64) -> Result<Vec<NodeRow>> {
        let mut pages = Pages::new(HOURS_TABLE, String::new(), Some(end));
        let mut read = Vec::new();
        while let Some(rows) = pages.next(self.table.as_ref()).await? {
            for (key, row) in rows {
                read.extend(decode_hour(&key, &row.value)?);
            }
        }
        Ok(read)
    }

    async fn keys_before(&self, table: TableName, end: u64) -> Result<Vec<RowKey>> {
        let mut pages = Pages::new(table, String::new(), Some(end));
        let mut keys = Vec::new();
        while let Some(rows) = pages.next(self.table.as_ref()).await? {
            keys.extend(rows.into_iter().map(|(key, _)| RowKey::new(table, key)));
        }
        Ok(keys)
    }

    /// Writes the row of a day. Returns whether the table has one now.
    async fn write_day(&self, day: u64, rows: &[NodeRow]) -> bool {
        let write = Write {
            key: day_key(day),
            condition: Condition::Absent,
            mutation: Mutation::Put(join(day, rows).encode()),
        };
        match self.table.write(vec![write]).await {
            WriteOutcome::Done(_) | WriteOutcome::Refused(_) => true,
            WriteOutcome::Unknown(_) | WriteOutcome::NotSent(_) => false,
        }
    }

    async fn delete(&self, keys: Vec<RowKey>) {
        for keys in keys.chunks(ROWS_PER_WRITE) {
            let delete = |key: &RowKey| Write {
                key: key.clone(),
                condition: Condition::Always,
                mutation: Mutation::Delete,
            };
            let outcome = self.table.write(keys.iter().map(delete).collect()).await;
            if !matches!(outcome, WriteOutcome::Done(_)) {
                // Rows that stay are deleted by the next roll-up.
                return;
            }
        }
    }
}

/// Adds up the rows of a day.
fn join(day: u64, rows: &[NodeRow]) -> HourRow {
    let mut sums: HashMap<&SeriesKey, ObjectiveCounts> = HashMap::default();
    for entry in rows.iter().flat_map(|row| &row.row.entries) {
        let sum: ObjectiveCounts = entry.slices.iter().map(|slice| slice.counts).sum();
        *sums.entry(&entry.series).or_default() += sum;
    }
    let hour = day * DAY_HOURS;
    let entry = |(series, counts): (&SeriesKey, _)| RowEntry {
        series: series.clone(),
        slices: vec![Slice {
            start: hour * HOUR_MINUTES,
            minutes: DAY_HOURS * HOUR_MINUTES,
            counts,
        }],
    };
    HourRow {
        hour,
        entries: sums.into_iter().map(entry).collect(),
    }
}
