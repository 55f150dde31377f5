//! The table rows with what must be known about streams when all nodes have ended.

use std::{collections::BTreeSet, sync::Arc};

use bytes::Bytes;
use verbenahead_membership::NameKey;
use verbenahead_relay::ServedVersion;
use verbenahead_services::{Condition, Mutation, Result, RowKey, Table, TableName, Write};

/// Table of the rows.
const STREAM_TABLE: TableName = TableName("streams");

/// Key of the row with the software versions that served lately.
const VERSIONS_KEY: &str = "versions";

/// Most rows that are read at once.
const MAX_PAGE_ROWS: usize = 500;

/// `SavedStreams` is what the table holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SavedStreams {
    /// Software versions that served lately, or `None` if they were never written.
    pub versions: Option<BTreeSet<ServedVersion>>,
}

/// `StreamDirectory` reads and writes the rows. Clones share the table.
#[derive(Clone)]
pub struct StreamDirectory {
    table: Arc<dyn Table>,
}

impl StreamDirectory {
    /// Builds a directory over `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table }
    }

    /// Reads all rows.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    pub async fn read(&self) -> Result<SavedStreams> {
        let mut saved = SavedStreams::default();
        let mut last_key: Option<String> = None;
        loop {
            let after = last_key.as_deref();
            let page = self.table.list(STREAM_TABLE, "", after, MAX_PAGE_ROWS);
            let page = page.await?;
            let Some((last, _)) = page.last() else {
                return Ok(saved);
            };
            last_key = Some(last.clone());
            for (key, row) in page {
                if key == VERSIONS_KEY {
                    saved.versions = decode_versions(&row.value);
                }
            }
        }
    }

    /// Writes rows in one transaction.
    pub async fn write(&self, rows: Vec<Write>) -> verbenahead_services::WriteOutcome {
        self.table.write(rows).await
    }
}

/// Returns the write of the row with the software versions that served lately.
pub fn versions_row(versions: &BTreeSet<ServedVersion>) -> Write {
    let pairs: Vec<(u32, u32)> = versions
        .iter()
        .map(|served| (served.service.0, served.version.0))
        .collect();
    let value = serde_json::to_vec(&pairs).expect("pairs of numbers can be encoded");
    put(VERSIONS_KEY, value)
}

fn put(key: &str, value: Vec<u8>) -> Write {
    Write {
        key: RowKey::new(STREAM_TABLE, key),
        condition: Condition::Always,
        mutation: Mutation::Put(Bytes::from(value)),
    }
}

fn decode_versions(value: &[u8]) -> Option<BTreeSet<ServedVersion>> {
    let pairs: Vec<(u32, u32)> = serde_json::from_slice(value)
        .inspect_err(
            |error| tracing::warn!(key = VERSIONS_KEY, %error, "row of streams cannot be decoded"),
        )
        .ok()?;
    let served = pairs.into_iter().map(|(service, version)| ServedVersion {
        service: NameKey(service),
        version: NameKey(version),
    });
    Some(served.collect())
}
