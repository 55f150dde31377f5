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
