//! Aggregation of the hourly rows of past days into one row per day.

use verbenahead_core::{HashMap, time::UnixMillis};
use verbenahead_services::{Condition, Mutation, Result, RowKey, TableName, Write, WriteOutcome};

use super::{
    counts::{ObjectiveCounts, SeriesKey},
    row::{DAYS_TABLE, HOURS_TABLE, HourRow, RowEntry, day_key},
    slice::{DAY_HOURS, HOUR_MINUTES, Slice, day_of},
    store::{BurnStore, NodeRow, Pages, decode_hour},
};

/// Maximum number of rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 100;

/// Number of whole past days whose hourly rows are kept.
const HOURLY_RETENTION_DAYS: u64 = 4;

/// Number of past days whose daily rows are kept.
const DAILY_RETENTION_DAYS: u64 = 35;

impl BurnStore {
    /// Aggregates the hourly rows of each day past the hourly retention into one row, and deletes
    /// daily rows past the daily retention. Any number of nodes may do this at any time, also
    /// concurrently.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer or a row is malformed. Retrying is safe.
    pub async fn roll_up(&self, now: UnixMillis) -> Result<()> {
        let end = day_of(now).saturating_sub(HOURLY_RETENTION_DAYS) * DAY_HOURS;
        let rows = self.hours_before(end).await?;
        let mut keys = Vec::with_capacity(rows.len());
        for rows in rows.chunk_by(|a, b| a.day() == b.day()) {
            if !self.write_day(rows[0].day(), rows).await {
                break;
            }
            keys.extend(rows.iter().map(NodeRow::key));
        }
        self.delete(keys).await;
        let oldest = day_of(now).saturating_sub(DAILY_RETENTION_DAYS);
        let old_days = self.keys_before(DAYS_TABLE, oldest).await?;
        self.delete(old_days).await;
        Ok(())
    }

    /// Reads the rows of all hours before `end`.
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

    /// Reads the keys of all rows before the hour or day `end`.
    async fn keys_before(&self, table: TableName, end: u64) -> Result<Vec<RowKey>> {
        let mut pages = Pages::new(table, String::new(), Some(end));
        let mut keys = Vec::new();
        while let Some(rows) = pages.next(self.table.as_ref()).await? {
            keys.extend(rows.into_iter().map(|(key, _)| RowKey::new(table, key)));
        }
        Ok(keys)
    }

    /// Writes the row of a day unless it exists. Returns whether the table has the row now.
    async fn write_day(&self, day: u64, rows: &[NodeRow]) -> bool {
        let write = Write {
            key: day_key(day),
            condition: Condition::Absent,
            mutation: Mutation::Put(aggregate_day(day, rows).encode()),
        };
        match self.table.write(vec![write]).await {
            WriteOutcome::Done(_) | WriteOutcome::Refused(_) => true,
            WriteOutcome::Unknown(_) | WriteOutcome::NotSent(_) => false,
        }
    }

    async fn delete(&self, keys: Vec<RowKey>) {
        for keys in keys.chunks(MAX_ROWS_PER_WRITE) {
            let delete = |key: &RowKey| Write {
                key: key.clone(),
                condition: Condition::Always,
                mutation: Mutation::Delete,
            };
            let outcome = self.table.write(keys.iter().map(delete).collect()).await;
            if !matches!(outcome, WriteOutcome::Done(_)) {
                // The next roll-up deletes the remaining rows.
                return;
            }
        }
    }
}

/// Sums the rows of a day over nodes and hours.
fn aggregate_day(day: u64, rows: &[NodeRow]) -> HourRow {
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
