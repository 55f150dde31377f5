//! Reads and writes of counts in the platform's table.

use std::sync::Arc;

use verbenahead_core::{Incarnation, NodeId, time::UnixMillis};
use verbenahead_services::{
    Condition, Mutation, Result, Row, RowKey, Table, TableName, Write, WriteOutcome,
};

use super::{
    row::{DAYS_TABLE, HOURS_TABLE, HourRow, boundary_key, hour_key, parse_hour_key},
    slice::{DAY_HOURS, day_of, hour_of},
    stored::StoredCounts,
    window::Window,
};

/// Maximum number of rows per page of a list.
const MAX_ROWS_PER_READ: usize = 1_000;

/// `NodeRow` is the row of one hour and one incarnation of a node.
#[derive(Debug, Clone)]
pub struct NodeRow {
    /// Node that counted the requests.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// The counts.
    pub row: HourRow,
}

impl NodeRow {
    /// Returns the day of the row since the Unix epoch.
    pub(super) fn day(&self) -> u64 {
        self.row.hour / DAY_HOURS
    }

    /// Returns the key of the row.
    pub(super) fn key(&self) -> RowKey {
        hour_key(self.row.hour, &self.node, self.incarnation)
    }
}

/// `BurnStore` reads and writes counts in the platform's table. Clones share the table.
#[derive(Clone)]
pub struct BurnStore {
    pub(super) table: Arc<dyn Table>,
}

impl BurnStore {
    /// Builds a store over the table.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Writes rows of a node in one transaction. Writing the same rows again changes nothing.
    pub async fn write(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        rows: &[HourRow],
    ) -> WriteOutcome {
        let put = |row: &HourRow| Write {
            key: hour_key(row.hour, node, incarnation),
            // Only this incarnation of the node writes the row, so no condition is needed.
            condition: Condition::Always,
            mutation: Mutation::Put(row.encode()),
        };
        self.table.write(rows.iter().map(put).collect()).await
    }

    /// Reads all counts of the longest window that ends at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error when the table does not answer or a row is malformed.
    pub async fn read(&self, now: UnixMillis) -> Result<StoredCounts> {
        let mut counts = StoredCounts::new(hour_of(now));
        let mut pages = Pages::new(HOURS_TABLE, String::new(), None);
        while let Some(rows) = pages.next(self.table.as_ref()).await? {
            for (key, row) in rows {
                if let Some(row) = decode_hour(&key, &row.value)? {
                    counts.add_hour(row);
                }
            }
        }
        // Days are read after hours, so that a roll-up between the two reads loses no counts.
        let window_days = Window::BUDGET_PERIOD.length().as_secs() / (DAY_HOURS * 3_600);
        let first = day_of(now).saturating_sub(window_days);
        let mut pages = Pages::new(DAYS_TABLE, boundary_key(first), None);
        while let Some(rows) = pages.next(self.table.as_ref()).await? {
            for (key, row) in rows {
                let day: u64 = key.parse().unwrap_or_default();
                counts.add_day(&HourRow::decode(day * DAY_HOURS, &row.value)?);
            }
        }
        Ok(counts)
    }
}

/// Decodes the row of an hour, or returns `None` when `key` is not the key of such a row.
pub(super) fn decode_hour(key: &str, value: &[u8]) -> Result<Option<NodeRow>> {
    let Some((hour, node, incarnation)) = parse_hour_key(key) else {
        tracing::warn!(key, "skipping a burn row with a malformed key");
        return Ok(None);
    };
    Ok(Some(NodeRow {
        node,
        incarnation,
        row: HourRow::decode(hour, value)?,
    }))
}

/// `Pages` reads the rows of a table page by page, in key order.
pub(super) struct Pages {
    table: TableName,
    after: Option<String>,
    end: Option<String>,
}

impl Pages {
    /// Builds a reader that starts after the key `after` and ends before the hour or day `end`, if
    /// given.
    pub(super) fn new(table: TableName, after: String, end: Option<u64>) -> Self {
        Self {
            table,
            after: Some(after),
            end: end.map(boundary_key),
        }
    }

    /// Reads the next page, or `None` after the last one.
    pub(super) async fn next(&mut self, table: &dyn Table) -> Result<Option<Vec<(String, Row)>>> {
        let Some(after) = self.after.take() else {
            return Ok(None);
        };
        let mut rows = table
            .list(self.table, "", Some(&after), MAX_ROWS_PER_READ)
            .await?;
        let is_full = rows.len() == MAX_ROWS_PER_READ;
        if let Some(end) = &self.end {
            rows.retain(|(key, _)| key <= end);
        }
        let has_more = is_full && rows.len() == MAX_ROWS_PER_READ;
        self.after = rows.last().filter(|_| has_more).map(|(key, _)| key.clone());
        Ok(Some(rows))
    }
}
