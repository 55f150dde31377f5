//! Rows that hold the state of rollouts, for the next controller.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{FencingNumber, ServiceId, time::UnixMillis};
use verbenahead_services::{
    Condition, Mutation, RolloutState, Row, RowKey, Table, TableName, Version, Write,
};

use crate::{
    errors::{Error, Result},
    retry::{RetryOptions, WriteResult, write_with_retries},
};

/// Table with a row for each service that had a rollout, whose key is the id of the service.
pub const ROLLOUT_TABLE: TableName = TableName("rollouts");

/// Most rows that are read.
const MAX_ROLLOUTS: usize = 500;

/// `RolloutRecord` is the state of the last rollout of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Target version.
    pub target: String,
    /// Version of the row with the order.
    pub order: u64,
    /// Time of the order by the clock on which the nodes agree.
    pub since: UnixMillis,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// State of the rollout. A verdict does not change.
    pub state: RolloutState,
    /// Reason of the verdict.
    #[serde(default)]
    pub reason: String,
    /// Last share in 1/10,000.
    #[serde(default)]
    pub share: u16,
    /// Attempts at the service, and at the target among them, since the order.
    #[serde(default)]
    pub attempts: u64,
    /// See `attempts`.
    #[serde(default)]
    pub target_attempts: u64,
    /// Keys of the versions that get no requests.
    #[serde(default)]
    pub barred: Vec<u32>,
    /// Fencing number of the lease of the controller that wrote the row.
    pub fencing: FencingNumber,
}

/// `StoredRollout` is a record with the version of its row.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRollout {
    /// The record.
    pub record: RolloutRecord,
    /// Version of the row.
    pub version: Version,
}

/// `RolloutWrite` is the outcome of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutWrite {
    /// The record and the status were written.
    Done(Version),
    /// Another controller has written the row.
    Superseded,
}

/// `RolloutLog` keeps the state of rollouts in the platform's table. Clones share the table.
#[derive(Clone)]
pub struct RolloutLog {
    table: Arc<dyn Table>,
    retry: RetryOptions,
}

impl fmt::Debug for RolloutLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RolloutLog").finish_non_exhaustive()
    }
}

impl RolloutLog {
    /// Builds a log on top of a table.
    pub fn new(table: Arc<dyn Table>, retry: RetryOptions) -> Self {
        Self { table, retry }
    }

    /// Reads all records. Rows that cannot be decoded are logged and left out.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    pub async fn read_all(&self) -> Result<Vec<(ServiceId, StoredRollout)>> {
        let rows = self.table.list(ROLLOUT_TABLE, "", None, MAX_ROLLOUTS).await;
        let rows = rows.map_err(|error| Error::unavailable(error.to_string()))?;
        Ok(rows
            .into_iter()
            .filter_map(|(key, row)| decode(&key, &row))
            .collect())
    }

    /// Writes a record and the status that follows from it, unless the row has another version than
    /// `expected`. Both are written or none, so that the status never contradicts the record.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time. The rows may have been written.
    pub async fn write(
        &self,
        service: &ServiceId,
        record: &RolloutRecord,
        expected: Option<Version>,
        status: (RowKey, Bytes),
    ) -> Result<RolloutWrite> {
        let value =
            serde_json::to_vec(record).map_err(|error| Error::malformed("rollout", error))?;
        let writes = vec![
            Write {
                key: RowKey::new(ROLLOUT_TABLE, service.as_str()),
                condition: expected.map_or(Condition::Absent, Condition::VersionIs),
                mutation: Mutation::Put(value.into()),
            },
            Write {
                key: status.0,
                condition: Condition::Always,
                mutation: Mutation::Put(status.1),
            },
        ];
        match write_with_retries(self.table.as_ref(), writes, self.retry).await {
            WriteResult::Done(versions) => Ok(RolloutWrite::Done(versions[0])),
            WriteResult::Refused(_) => Ok(RolloutWrite::Superseded),
            WriteResult::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }
}

fn decode(key: &str, row: &Row) -> Option<(ServiceId, StoredRollout)> {
    let service = ServiceId::try_new(key).ok();
    let record = serde_json::from_slice(&row.value);
    match (service, record) {
        (Some(service), Ok(record)) => {
            let version = row.version;
            Some((service, StoredRollout { record, version }))
        }
        (_, record) => {
            let error = record.err().map(|error| error.to_string());
            tracing::warn!(key, error, "row of a rollout cannot be decoded");
            None
        }
    }
}
