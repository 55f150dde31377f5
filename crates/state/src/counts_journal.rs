//! Journal of the counts that are not yet reported.
//!
//! The holder of the lease saves them for the next one. A holder that was cut off may know less than the one that
//! followed it, and a write without an answer may take effect seconds later. Each save therefore replaces only the
//! rows that this holder has read or written last.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_services::{Condition, Mutation, RowKey, Table, Version, Write};

use crate::{
    errors::{Error, Result},
    retry::{RetryOptions, WriteResult, write_with_retries},
    usage_log::USAGE_TABLE,
};

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

/// `CountsJournal` is the journal of unreported counts, opened by the holder of the lease.
///
/// Each save consumes the journal and returns it when the save is known to have taken effect. After an error the
/// journal has to be opened again.
#[must_use = "a saved journal is used for the next save"]
pub struct CountsJournal {
    table: Arc<dyn Table>,
    retry: RetryOptions,
    /// Version of each row, or `None` if it does not exist.
    versions: [Option<Version>; MAX_COUNT_ROWS],
}

impl fmt::Debug for CountsJournal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CountsJournal")
            .field("versions", &self.versions)
            .finish_non_exhaustive()
    }
}

impl CountsJournal {
    /// Reads the counts that earlier lease holders saved. They may include windows that have been reported long
    /// ago. Rows that cannot be decoded are logged and left out.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    pub async fn open(
        table: Arc<dyn Table>,
        retry: RetryOptions,
    ) -> Result<(Self, Vec<SavedCounts>)> {
        let mut versions = [None; MAX_COUNT_ROWS];
        let mut saved = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let listed = table.list(USAGE_TABLE, COUNTS_PREFIX, after.as_deref(), MAX_COUNT_ROWS);
            let rows = listed.await.map_err(Error::unavailable)?;
            after = rows.last().map(|(key, _)| key.clone());
            let is_last = rows.len() < MAX_COUNT_ROWS;
            for (key, row) in rows {
                let Some(index) = index_of(&key) else {
                    continue;
                };
                versions[index] = Some(row.version);
                match serde_json::from_slice::<Vec<SavedCounts>>(&row.value) {
                    Ok(entries) => saved.extend(entries),
                    // The next save replaces it.
                    Err(error) => tracing::warn!(key, %error, "row of counts cannot be decoded"),
                }
            }
            if is_last {
                break;
            }
        }
        let journal = Self {
            table,
            retry,
            versions,
        };
        Ok((journal, saved))
    }

    /// Saves the counts of windows that are not yet reported. If the entries exceed the capacity of the rows, the
    /// last ones are dropped. Returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// Fails when another holder has saved counts since the journal was opened, or when the table does not answer in
    /// time.
    pub async fn save(mut self, counts: &[SavedCounts]) -> Result<(Self, usize)> {
        let rows = split_into_rows(counts);
        let bytes = rows.iter().map(Bytes::len).sum();
        if rows.is_empty() {
            return Ok((self, bytes));
        }
        let write = |(index, value): (usize, Bytes)| Write {
            key: RowKey::new(USAGE_TABLE, format!("{COUNTS_PREFIX}{index}")),
            condition: match self.versions[index] {
                Some(version) => Condition::VersionIs(version),
                None => Condition::Absent,
            },
            mutation: Mutation::Put(value),
        };
        let writes = rows.into_iter().enumerate().map(write).collect();
        match write_with_retries(self.table.as_ref(), writes, self.retry).await {
            WriteResult::Done(written) => {
                for (version, written) in self.versions.iter_mut().zip(written) {
                    *version = Some(written);
                }
                Ok((self, bytes))
            }
            WriteResult::Refused(_) => Err(Error::unavailable("the rows of counts have changed")),
            WriteResult::Unavailable { reason, .. } => Err(Error::unavailable(reason)),
        }
    }
}

fn index_of(key: &str) -> Option<usize> {
    let number = key.strip_prefix(COUNTS_PREFIX)?;
    (0..MAX_COUNT_ROWS).find(|index| index.to_string() == number)
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
