//! Journal of the VM starts that are pending for a service.
//!
//! A start is recorded with its client token before it is requested. A later holder of the lease
//! requests the recorded starts again with the same tokens, so that a lost response does not lead
//! to a second VM. An entry is kept until its VM appears on the platform's list.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_services::{
    Condition, Mutation, RowKey, StartVm, Table, TableName, Version, Write,
};

use crate::{
    errors::{Error, Result},
    retry::{RetryOptions, WriteResult, read_with_retries, write_with_retries},
};

/// Table of start journals, with one row per service.
pub const START_TABLE: TableName = TableName("fleet_start");

/// Maximum number of pending starts of a service.
pub const MAX_PENDING_STARTS: usize = 64;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct WireJournal {
    fencing: FencingNumber,
    starts: Vec<StartVm>,
}

/// `StartJournal` is the journal of a service, opened by the holder of its lease.
///
/// Each change consumes the journal and returns it when the change is known to be written. After
/// an error the journal has to be opened again.
#[must_use = "a changed journal is used for the next change"]
pub struct StartJournal {
    table: Arc<dyn Table>,
    retry: RetryOptions,
    service: ServiceId,
    journal: WireJournal,
    version: Version,
}

impl fmt::Debug for StartJournal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StartJournal")
            .field("service", &self.service)
            .field("journal", &self.journal)
            .finish_non_exhaustive()
    }
}

impl StartJournal {
    /// Opens the journal for the holder with this fencing number. Afterwards, changes by earlier
    /// holders are refused.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] when a later holder has opened the journal, [`Error::Unavailable`] when
    /// the table does not answer in time or another holder opens the journal at the same time,
    /// [`Error::Malformed`] when the row is malformed.
    pub async fn open(
        table: Arc<dyn Table>,
        service: ServiceId,
        fencing: FencingNumber,
        retry: RetryOptions,
    ) -> Result<Self> {
        let row = read_with_retries(table.as_ref(), &row_key(&service), retry).await?;
        let condition = match &row {
            Some(row) => Condition::VersionIs(row.version),
            None => Condition::Absent,
        };
        let mut journal = match row {
            Some(row) => decode(&row.value)?,
            None => WireJournal {
                fencing,
                starts: Vec::new(),
            },
        };
        if journal.fencing > fencing {
            return Err(Error::fenced(journal.fencing));
        }
        journal.fencing = fencing;
        let version = write(table.as_ref(), &service, &journal, condition, retry).await?;
        Ok(Self {
            table,
            retry,
            service,
            journal,
            version,
        })
    }

    /// Returns the pending starts, whose VMs have not yet appeared on the platform's list.
    pub fn pending(&self) -> &[StartVm] {
        &self.journal.starts
    }

    /// Records a start that is about to be requested.
    ///
    /// # Errors
    ///
    /// [`Error::TooManyStarts`] when too many are pending, [`Error::Fenced`] when a later holder
    /// has opened the journal, [`Error::Unavailable`] when the table does not answer in time. After
    /// an error the start must not be requested, although it may have been recorded.
    pub async fn add(mut self, start: StartVm) -> Result<Self> {
        if self.journal.starts.len() >= MAX_PENDING_STARTS {
            return Err(Error::TooManyStarts {
                service: self.service,
            });
        }
        self.journal.starts.push(start);
        self.write().await
    }

    /// Removes a start whose VM is on the list or which the platform refused.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] and [`Error::Unavailable`] as for [`add`](Self::add). The start may then
    /// remain in the journal; requesting it again is harmless.
    pub async fn remove(mut self, client_token: &str) -> Result<Self> {
        let is_other = |start: &StartVm| start.client_token != client_token;
        self.journal.starts.retain(is_other);
        self.write().await
    }

    async fn write(mut self) -> Result<Self> {
        let condition = Condition::VersionIs(self.version);
        self.version = write(
            self.table.as_ref(),
            &self.service,
            &self.journal,
            condition,
            self.retry,
        )
        .await?;
        Ok(self)
    }
}

fn row_key(service: &ServiceId) -> RowKey {
    RowKey::new(START_TABLE, service.as_str())
}

fn decode(value: &[u8]) -> Result<WireJournal> {
    serde_json::from_slice(value).map_err(|err| Error::malformed("start journal", err))
}

async fn write(
    table: &dyn Table,
    service: &ServiceId,
    journal: &WireJournal,
    condition: Condition,
    retry: RetryOptions,
) -> Result<Version> {
    let json = serde_json::to_vec(journal).map_err(|err| Error::malformed("start journal", err))?;
    let writes = vec![Write {
        key: row_key(service),
        condition,
        mutation: Mutation::Put(Bytes::from(json)),
    }];
    let refusal = match write_with_retries(table, writes, retry).await {
        WriteResult::Done(versions) => return Ok(versions[0]),
        WriteResult::Refused(refusal) => refusal,
        WriteResult::Unavailable { reason, .. } => return Err(Error::unavailable(reason)),
    };
    let Some(row) = refusal.actual else {
        return Err(Error::unavailable("the start journal was removed"));
    };
    let actual = decode(&row.value)?;
    if actual.fencing > journal.fencing {
        return Err(Error::fenced(actual.fencing));
    }
    if actual == *journal {
        return Ok(row.version);
    }
    Err(Error::unavailable("the start journal has changed"))
}
