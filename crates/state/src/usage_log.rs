//! Log of the usage reports and of the counts that are not yet reported.
//!
//! A report may be sent again only with identical content. It is therefore stored before it is
//! sent, and a node that takes over the duty sends the stored report.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::WorkspaceId;
use verbenahead_services::{Condition, Mutation, RowKey, Table, TableName, UsageReport, Write};

use crate::{
    errors::{Error, Result},
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

/// `UsageLog` stores usage reports and counts in the platform's table. Clones share the table.
#[derive(Clone)]
pub struct UsageLog {
    table: Arc<dyn Table>,
    retry: RetryOptions,
}

impl fmt::Debug for UsageLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageLog").finish_non_exhaustive()
    }
}

impl UsageLog {
    /// Builds a log on top of a table.
    pub fn new(table: Arc<dyn Table>, retry: RetryOptions) -> Self {
        Self { table, retry }
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
    /// stored report, which is the one to send.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time or the row is malformed.
    pub async fn write(&self, report: &UsageReport) -> Result<UsageReport> {
        let key = key(report.window);
        let current = read_with_retries(self.table.as_ref(), &key, self.retry).await?;
        if let Some(row) = &current {
            let stored = decode(&row.value)?;
            if stored.window >= report.window {
                return Ok(stored);
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

/// `SavedCounts` holds the counts of one window at one incarnation of a node, as the lease holder
/// knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedCounts {
    /// Number of the window.
    pub window: u64,
    /// Id of the node's incarnation.
    #[serde(rename = "life")]
    pub node_incarnation: u64,
    /// Whether the window had ended at the node, so that the counts are final.
    pub is_final: bool,
    /// Number of requests by the 32-bit hash of the workspace id.
    pub counts: Vec<(u32, u64)>,
}

/// Maximum size of a row of counts in bytes. The lowest limit of a platform on a row is 64 KiB.
const MAX_ROW_BYTES: usize = 60_000;

/// Maximum number of rows of counts. The lowest limit of a platform on a transaction is 1 MB,
/// encoded in base64.
const MAX_COUNT_ROWS: usize = 8;

/// Key prefix of the rows of counts.
const COUNTS_PREFIX: &str = "counts/";

impl UsageLog {
    /// Stores the counts of windows that are not yet reported, for the next lease holder. If the
    /// entries exceed the capacity of the rows, the last ones are dropped. Returns the number of
    /// bytes written.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time.
    pub async fn save_counts(&self, counts: &[SavedCounts]) -> Result<usize> {
        let rows = split_into_rows(counts);
        let bytes = rows.iter().map(Bytes::len).sum();
        let write = |(index, value)| Write {
            key: RowKey::new(USAGE_TABLE, format!("{COUNTS_PREFIX}{index}")),
            condition: Condition::Always,
            mutation: Mutation::Put(value),
        };
        let writes = rows.into_iter().enumerate().map(write).collect();
        match write_with_retries(self.table.as_ref(), writes, self.retry).await {
            WriteResult::Done(_) => Ok(bytes),
            WriteResult::Refused(_) => {
                Err(Error::unavailable("an unconditional write was refused"))
            }
            WriteResult::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }

    /// Reads the counts that earlier lease holders stored. They may include windows that have been
    /// reported long ago.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer or a row is malformed.
    pub async fn load_counts(&self) -> Result<Vec<SavedCounts>> {
        let listed = self
            .table
            .list(USAGE_TABLE, COUNTS_PREFIX, None, MAX_COUNT_ROWS);
        let rows = listed.await.map_err(Error::unavailable)?;
        let mut saved = Vec::new();
        for (_, row) in rows {
            let entries: Vec<SavedCounts> = serde_json::from_slice(&row.value)
                .map_err(|error| Error::malformed("row of counts", error))?;
            saved.extend(entries);
        }
        Ok(saved)
    }
}

/// Distributes entries over JSON arrays, one for each row.
fn split_into_rows(counts: &[SavedCounts]) -> Vec<Bytes> {
    let mut rows = Vec::new();
    let mut row: Vec<u8> = Vec::new();
    for (index, entry) in counts.iter().enumerate() {
        let json = serde_json::to_vec(entry).expect("counts consist of numbers");
        if !row.is_empty() && row.len() + json.len() + 2 > MAX_ROW_BYTES {
            rows.push(end_array(std::mem::take(&mut row)));
            if rows.len() == MAX_COUNT_ROWS {
                tracing::warn!(
                    entries = counts.len(),
                    kept = index,
                    "counts exceed the capacity of the rows; the last entries were dropped",
                );
                return rows;
            }
        }
        row.push(if row.is_empty() { b'[' } else { b',' });
        row.extend_from_slice(&json);
    }
    if !row.is_empty() {
        rows.push(end_array(row));
    }
    rows
}

fn end_array(mut row: Vec<u8>) -> Bytes {
    row.push(b']');
    Bytes::from(row)
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
