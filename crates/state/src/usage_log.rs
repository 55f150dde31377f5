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

/// `HandedCounts` is what a node that is gone told the holder of the duty of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedCounts {
    /// Number of the window.
    pub window: u64,
    /// Identity of the node's life.
    pub life: u64,
    /// Whether the window had ended for the node.
    pub is_final: bool,
    /// Requests by the short key of the workspace.
    pub counts: Vec<(u32, u64)>,
}

/// Most bytes that are handed over. A row of the smallest platform holds 64 KiB.
const MAX_HANDOVER_BYTES: usize = 60_000;

impl UsageLog {
    /// Writes down what a holder knows of nodes that are gone, for the next holder. Entries beyond
    /// what a row holds are left out from the end.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time.
    pub async fn hand_over(&self, counts: &[HandedCounts]) -> Result<()> {
        let mut bytes = 0;
        let fits = |entry: &&HandedCounts| {
            bytes += serde_json::to_vec(entry).map_or(MAX_HANDOVER_BYTES, |json| json.len() + 1);
            bytes <= MAX_HANDOVER_BYTES
        };
        let handed: Vec<&HandedCounts> = counts.iter().take_while(fits).collect();
        if handed.len() < counts.len() {
            tracing::warn!(
                entries = counts.len(),
                handed = handed.len(),
                "not all counts of gone nodes are handed over",
            );
        }
        let value = serde_json::to_vec(&handed).expect("counts have only numbers");
        let write = Write {
            key: handover_key(),
            condition: Condition::Always,
            mutation: Mutation::Put(Bytes::from(value)),
        };
        match write_until_known(self.table.as_ref(), vec![write], self.retry).await {
            Written::Done(_) => Ok(()),
            Written::Refused(_) => Err(Error::unavailable("an unconditional write was refused")),
            Written::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }

    /// Reads what the last holder handed over.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time or the row is malformed.
    pub async fn handed_over(&self) -> Result<Vec<HandedCounts>> {
        let row = read_until_known(self.table.as_ref(), &handover_key(), self.retry).await?;
        let Some(row) = row else {
            return Ok(Vec::new());
        };
        serde_json::from_slice(&row.value).map_err(|error| Error::malformed("handover row", error))
    }
}

fn handover_key() -> RowKey {
    RowKey::new(USAGE_TABLE, "handover")
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
