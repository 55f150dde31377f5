//! What was reported of each window of usage.
//!
//! Only exact repeats of a report are allowed. So a report is written down before it is sent, and
//! whoever takes the duty over sends what is written.

use std::{collections::BTreeMap, fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::WorkspaceId;
use verbenahead_services::{Condition, Mutation, RowKey, Table, TableName, UsageReport, Write};

use crate::{
    conditional::{RetryOptions, Written, read_until_known, write_until_known},
    errors::{Error, Result},
};

/// Table with a row for each window.
pub const USAGE_TABLE: TableName = TableName("usage");

/// Windows whose reports are kept. Later ones take their place.
const KEPT_WINDOWS: u64 = 16;

#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    window: u64,
    counts: BTreeMap<WorkspaceId, u64>,
}

/// `UsageLog` holds the reports in the platform's table.
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
    /// Builds a log over a table.
    pub fn new(table: Arc<dyn Table>, retry: RetryOptions) -> Self {
        Self { table, retry }
    }

    /// Reads the report of a window, if one is written down.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time or the row is malformed.
    pub async fn read(&self, window: u64) -> Result<Option<UsageReport>> {
        let key = key(window);
        let row = read_until_known(self.table.as_ref(), &key, self.retry).await?;
        let report = row.map(|row| decode(&row.value)).transpose()?;
        // Rows are used again in a circle, so the row may still hold an earlier window.
        Ok(report.filter(|report| report.window == window))
    }

    /// Writes a report down, unless one of the window is written already. Returns the one that is
    /// written, which is the one to send.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time or the row is malformed.
    pub async fn write(&self, report: &UsageReport) -> Result<UsageReport> {
        let key = key(report.window);
        let before = read_until_known(self.table.as_ref(), &key, self.retry).await?;
        if let Some(row) = &before {
            let known = decode(&row.value)?;
            if known.window >= report.window {
                return Ok(known);
            }
        }
        let write = Write {
            key,
            condition: before.map_or(Condition::Absent, |row| Condition::VersionIs(row.version)),
            mutation: Mutation::Put(encode(report)),
        };
        match write_until_known(self.table.as_ref(), vec![write], self.retry).await {
            Written::Done(_) => Ok(report.clone()),
            Written::Refused(refusal) => match refusal.actual {
                Some(row) => decode(&row.value),
                None => Err(Error::unavailable("the row of the window was removed")),
            },
            Written::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }
}

/// `SavedCounts` is what one life of a node told the holder of the duty of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedCounts {
    /// Number of the window.
    pub window: u64,
    /// Identity of the node's life.
    #[serde(rename = "life")]
    pub node_incarnation: u64,
    /// Whether the window had ended for the node.
    pub is_final: bool,
    /// Requests by the short key of the workspace.
    pub counts: Vec<(u32, u64)>,
}

/// Most bytes of a row of counts. A row of the smallest platform holds 64 KiB.
const MAX_ROW_BYTES: usize = 60_000;

/// Most rows of counts. One transaction of the smallest platform takes 1 MB, in base64.
const MAX_COUNT_ROWS: usize = 8;

/// Prefix of the keys of the rows of counts.
const COUNTS_PREFIX: &str = "counts/";

impl UsageLog {
    /// Writes down the counts of windows that are not reported yet, for the next holder. Entries
    /// beyond what the rows hold are left out from the end. Returns the bytes written.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time.
    pub async fn save_counts(&self, counts: &[SavedCounts]) -> Result<usize> {
        let rows = rows_of(counts);
        let bytes = rows.iter().map(Bytes::len).sum();
        let write = |(index, value)| Write {
            key: RowKey::new(USAGE_TABLE, format!("{COUNTS_PREFIX}{index}")),
            condition: Condition::Always,
            mutation: Mutation::Put(value),
        };
        let writes = rows.into_iter().enumerate().map(write).collect();
        match write_until_known(self.table.as_ref(), writes, self.retry).await {
            Written::Done(_) => Ok(bytes),
            Written::Refused(_) => Err(Error::unavailable("an unconditional write was refused")),
            Written::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }

    /// Reads the counts that holders before wrote down. Entries of windows long past may be among
    /// them.
    ///
    /// # Errors
    ///
    /// When the table gives no answer or a row is malformed.
    pub async fn load_counts(&self) -> Result<Vec<SavedCounts>> {
        let listed = self
            .table
            .list(USAGE_TABLE, COUNTS_PREFIX, None, MAX_COUNT_ROWS);
        let rows = listed.await.map_err(Error::unavailable)?;
        let mut kept = Vec::new();
        for (_, row) in rows {
            let entries: Vec<SavedCounts> = serde_json::from_slice(&row.value)
                .map_err(|error| Error::malformed("row of counts", error))?;
            kept.extend(entries);
        }
        Ok(kept)
    }
}

/// Divides entries among rows.
fn rows_of(counts: &[SavedCounts]) -> Vec<Bytes> {
    let mut rows = Vec::new();
    let mut row: Vec<u8> = Vec::new();
    for (index, entry) in counts.iter().enumerate() {
        let json = serde_json::to_vec(entry).expect("counts have only numbers");
        if !row.is_empty() && row.len() + json.len() + 2 > MAX_ROW_BYTES {
            rows.push(closed(std::mem::take(&mut row)));
            if rows.len() == MAX_COUNT_ROWS {
                tracing::warn!(
                    entries = counts.len(),
                    kept = index,
                    "not all counts fit into the rows",
                );
                return rows;
            }
        }
        row.push(if row.is_empty() { b'[' } else { b',' });
        row.extend_from_slice(&json);
    }
    if !row.is_empty() {
        rows.push(closed(row));
    }
    rows
}

fn closed(mut row: Vec<u8>) -> Bytes {
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
    Bytes::from(json.expect("a report has only text keys"))
}

fn decode(value: &[u8]) -> Result<UsageReport> {
    let wire: WireReport =
        serde_json::from_slice(value).map_err(|error| Error::malformed("usage row", error))?;
    Ok(UsageReport {
        window: wire.window,
        counts: wire.counts,
    })
}
