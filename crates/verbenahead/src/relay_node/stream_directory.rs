//! The table rows with what must be known about streams when all nodes have ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use verbenahead_core::{Incarnation, NodeId};
use verbenahead_membership::{NameKey, StreamOrigin};
use verbenahead_relay::{
    RowChange, RowNumber, ServedVersion,
    origin_rows::{decode_origins, encode_origins},
};
use verbenahead_services::{
    Condition, Mutation, Result, RowKey, Table, TableName, Version, Write, WriteOutcome,
};

/// Table of the rows.
const STREAM_TABLE: TableName = TableName("streams");

/// Key of the row with the software versions that served lately.
const VERSIONS_KEY: &str = "versions";

/// Prefix of the keys of the rows with origins of open streams.
const ORIGINS_PREFIX: &str = "open/";

/// Most rows that are read at once.
const MAX_PAGE_ROWS: usize = 500;

/// `SavedStreams` is what the table holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SavedStreams {
    /// Software versions that served lately, or `None` if they were never written.
    pub versions: Option<BTreeSet<ServedVersion>>,
    /// Origins of streams.
    pub origins: Vec<StreamOrigin>,
    /// Versions of the rows with these origins, by the keys of the rows.
    pub origin_rows: BTreeMap<String, Version>,
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
                } else if key.starts_with(ORIGINS_PREFIX) {
                    match decode_origins(&row.value) {
                        Some(origins) => saved.origins.extend(origins),
                        None => tracing::warn!(key, "row of origins cannot be decoded"),
                    }
                    saved.origin_rows.insert(key, row.version);
                }
            }
        }
    }

    /// Writes rows in one transaction.
    pub async fn write(&self, rows: Vec<Write>) -> WriteOutcome {
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

/// Returns the write of a change to a row with origins of open streams of one process of a node.
pub fn origins_row(node: &NodeId, incarnation: Incarnation, change: &RowChange) -> Write {
    let key = |number: &RowNumber| {
        let (incarnation, number) = (incarnation.0, number.0);
        format!("{ORIGINS_PREFIX}{node}/{incarnation:x}/{number:08x}")
    };
    match change {
        RowChange::Put(number, origins) => put(&key(number), encode_origins(origins)),
        RowChange::Delete(number) => delete(&key(number), Condition::Always),
    }
}

/// Returns the write that deletes a row if it still has the given version.
pub fn abandoned_row(key: &str, version: Version) -> Write {
    delete(key, Condition::VersionIs(version))
}

fn put(key: &str, value: Vec<u8>) -> Write {
    Write {
        key: RowKey::new(STREAM_TABLE, key),
        condition: Condition::Always,
        mutation: Mutation::Put(Bytes::from(value)),
    }
}

fn delete(key: &str, condition: Condition) -> Write {
    Write {
        key: RowKey::new(STREAM_TABLE, key),
        condition,
        mutation: Mutation::Delete,
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
