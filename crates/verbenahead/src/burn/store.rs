//! Counts in the platform's table.

use std::sync::Arc;

use verbenahead_core::{HashMap, Incarnation, NodeId, ServiceId, WorkspaceId, time::UnixMillis};
use verbenahead_platform::{
    Condition, Mutation, Result, RowKey, Table, TableName, Write, WriteOutcome,
};

use super::{
    counts::ObjectiveCounts,
    row::{DAYS_TABLE, HOURS_TABLE, HourRow, RowEntry, before, day_key, hour_key, read_hour_key},
    slice::{DAY_HOURS, HOUR_MINUTES, Slice, day_of},
    window::Window,
};

/// Rows of one read of a list.
const ROWS_PER_READ: usize = 1_000;

/// Rows of one transaction.
const ROWS_PER_WRITE: usize = 100;

/// Whole days whose hours are kept apart.
const HOURLY_DAYS: u64 = 4;

/// Days that are kept.
const KEPT_DAYS: u64 = 35;

/// `StoredCounts` are the counts that the table has.
#[derive(Debug, Clone, Default)]
pub struct StoredCounts {
    /// Rows of nodes and hours.
    pub hours: Vec<NodeRow>,
    /// Rows of past days.
    pub days: Vec<HourRow>,
}

/// `NodeRow` is the row of one life of a node.
#[derive(Debug, Clone)]
pub struct NodeRow {
    /// Node that counted.
    pub node: NodeId,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// The counts.
    pub row: HourRow,
}

impl NodeRow {
    fn day(&self) -> u64 {
        self.row.hour / DAY_HOURS
    }

    fn key(&self) -> RowKey {
        hour_key(self.row.hour, &self.node, self.incarnation)
    }
}

/// `BurnStore` writes and reads counts. Clones share the table.
#[derive(Clone)]
pub struct BurnStore {
    table: Arc<dyn Table>,
}

impl BurnStore {
    /// Builds a store over the table.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Writes rows of a node in one transaction. Writing the same row again changes nothing.
    pub async fn write(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        rows: &[HourRow],
    ) -> WriteOutcome {
        let put = |row: &HourRow| Write {
            key: hour_key(row.hour, node, incarnation),
            // Only this life of the node writes the row, so no condition is needed.
            condition: Condition::Always,
            mutation: Mutation::Put(row.encode()),
        };
        self.table.write(rows.iter().map(put).collect()).await
    }

    /// Reads all counts of the longest window that ends at `now`.
    ///
    /// # Errors
    ///
    /// When the table gives no answer or a row is malformed.
    pub async fn read(&self, now: UnixMillis) -> Result<StoredCounts> {
        // A roll-up between the two reads leaves a day in both, and its hours are dropped here.
        let mut hours = self.read_hours(None).await?;
        let days = self.read_days(day_of(now)).await?;
        let end = days.last().map_or(0, |row| row.hour + DAY_HOURS);
        hours.retain(|row| row.row.hour >= end);
        Ok(StoredCounts { hours, days })
    }

    async fn read_days(&self, today: u64) -> Result<Vec<HourRow>> {
        let window_days = Window::BUDGET_PERIOD.length().as_secs() / (DAY_HOURS * 3_600);
        let after = before(today.saturating_sub(window_days));
        let rows = self.list(DAYS_TABLE, after, None).await?;
        let decode = |(key, value): (String, bytes::Bytes)| {
            let day: u64 = key.parse().unwrap_or_default();
            HourRow::decode(day * DAY_HOURS, &value)
        };
        rows.into_iter().map(decode).collect()
    }

    /// Reads the rows of all hours, or of those before `end`.
    async fn read_hours(&self, end: Option<u64>) -> Result<Vec<NodeRow>> {
        let rows = self.list(HOURS_TABLE, String::new(), end).await?;
        let mut read = Vec::with_capacity(rows.len());
        for (key, value) in rows {
            let Some((hour, node, incarnation)) = read_hour_key(&key) else {
                tracing::warn!(key, "a burn row has a malformed key");
                continue;
            };
            read.push(NodeRow {
                node,
                incarnation,
                row: HourRow::decode(hour, &value)?,
            });
        }
        Ok(read)
    }

    async fn list(
        &self,
        table: TableName,
        mut after: String,
        end: Option<u64>,
    ) -> Result<Vec<(String, bytes::Bytes)>> {
        let end = end.map(before);
        let is_wanted = |key: &String| end.as_ref().is_none_or(|end| key <= end);
        let mut read = Vec::new();
        loop {
            let rows = self
                .table
                .list(table, "", Some(&after), ROWS_PER_READ)
                .await?;
            let count = rows.len();
            let Some((last, _)) = rows.last() else {
                return Ok(read);
            };
            after.clone_from(last);
            let has_more = count == ROWS_PER_READ && is_wanted(last);
            let wanted = rows.into_iter().filter(|(key, _)| is_wanted(key));
            read.extend(wanted.map(|(key, row)| (key, row.value)));
            if !has_more {
                return Ok(read);
            }
        }
    }

    /// Joins the hours of each day that is no longer kept by the hour into one row, and deletes
    /// what is too old. Any node may do this at any time, also several at once.
    ///
    /// # Errors
    ///
    /// When the table gives no answer or a row is malformed. Trying again is safe.
    pub async fn roll_up(&self, now: UnixMillis) -> Result<()> {
        let end = day_of(now).saturating_sub(HOURLY_DAYS) * DAY_HOURS;
        let rows = self.read_hours(Some(end)).await?;
        let mut keys = Vec::with_capacity(rows.len());
        for rows in rows.chunk_by(|a, b| a.day() == b.day()) {
            if !self.write_day(rows[0].day(), rows).await {
                break;
            }
            keys.extend(rows.iter().map(NodeRow::key));
        }
        self.delete(keys).await;
        let oldest = day_of(now).saturating_sub(KEPT_DAYS);
        let old_days = self.list(DAYS_TABLE, String::new(), Some(oldest)).await?;
        let old_days = old_days.into_iter();
        let keys = old_days.map(|(key, _)| RowKey::new(DAYS_TABLE, key));
        self.delete(keys.collect()).await;
        Ok(())
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
    let mut sums: HashMap<(WorkspaceId, ServiceId), ObjectiveCounts> = HashMap::default();
    for entry in rows.iter().flat_map(|row| &row.row.entries) {
        let pair = (entry.workspace.clone(), entry.service.clone());
        let sum: ObjectiveCounts = entry.slices.iter().map(|slice| slice.counts).sum();
        *sums.entry(pair).or_default() += sum;
    }
    let hour = day * DAY_HOURS;
    let entry = |((workspace, service), counts)| RowEntry {
        workspace,
        service,
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
