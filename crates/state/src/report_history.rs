//! From which window on the usage log is complete.
//!
//! A table that comes back from a copy may lack reports that were sent. What was sent in the present era is in
//! it, since each report is stored before it is sent.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_services::{Condition, Mutation, Row, RowKey, StoreEra, Table, Write};

use crate::{
    errors::{Error, Result},
    retry::{RetryOptions, WriteResult, read_with_retries, write_with_retries},
    usage_log::USAGE_TABLE,
};

/// Key of the row in the table of usage reports.
const HISTORY_KEY: &str = "history";

/// `ReportHistory` states from which window on the usage log holds every report that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportHistory {
    /// Era of the table to which the statement applies.
    pub era: StoreEra,
    /// First window of which a missing report says that it was never sent. Reports of the windows before may
    /// have been lost with an earlier era.
    pub complete_from: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireHistory {
    era: StoreEra,
    complete_from: u64,
}

impl From<ReportHistory> for WireHistory {
    fn from(history: ReportHistory) -> Self {
        let ReportHistory { era, complete_from } = history;
        Self { era, complete_from }
    }
}

impl From<WireHistory> for ReportHistory {
    fn from(wire: WireHistory) -> Self {
        let WireHistory { era, complete_from } = wire;
        Self { era, complete_from }
    }
}

/// Reads the stored history, or `None` if there is none that can be decoded.
pub(crate) async fn read(table: &dyn Table, retry: RetryOptions) -> Result<Option<ReportHistory>> {
    let row = read_with_retries(table, &key(), retry).await?;
    Ok(row.as_ref().and_then(decode))
}

/// Returns the stored history if it is of the same era as `own` and reaches as far back; otherwise stores and
/// returns `own`.
pub(crate) async fn open(
    table: &dyn Table,
    retry: RetryOptions,
    own: ReportHistory,
) -> Result<ReportHistory> {
    let key = key();
    let row = read_with_retries(table, &key, retry).await?;
    let stored = row.as_ref().and_then(decode);
    if let Some(stored) = stored {
        if stored.era > own.era {
            return Err(Error::unavailable("the table came back from a copy"));
        }
        if stored.era == own.era && stored.complete_from <= own.complete_from {
            return Ok(stored);
        }
    }
    let json = serde_json::to_vec(&WireHistory::from(own));
    let write = Write {
        key,
        condition: row.map_or(Condition::Absent, |row| Condition::VersionIs(row.version)),
        mutation: Mutation::Put(Bytes::from(json.expect("numbers are valid JSON"))),
    };
    match write_with_retries(table, vec![write], retry).await {
        WriteResult::Done(_) => Ok(own),
        WriteResult::Refused(refusal) => match refusal.actual.as_ref().and_then(decode) {
            Some(actual) if actual == own => Ok(own),
            _ => Err(Error::unavailable("the history of the reports has changed")),
        },
        WriteResult::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
    }
}

fn key() -> RowKey {
    RowKey::new(USAGE_TABLE, HISTORY_KEY)
}

/// Decodes a row. Returns `None` for one that cannot be decoded, which is replaced: what it said can be found out
/// again at the cost of windows that are not reported.
fn decode(row: &Row) -> Option<ReportHistory> {
    serde_json::from_slice::<WireHistory>(&row.value)
        .inspect_err(
            |error| tracing::warn!(%error, "history of the usage reports cannot be decoded"),
        )
        .ok()
        .map(ReportHistory::from)
}
