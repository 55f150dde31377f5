//! The transactional table service.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::errors::Result;

/// `TableName` names a table of the platform's table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TableName(pub &'static str);

/// `RowKey` names one row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{table}/{key}")]
pub struct RowKey {
    /// Table of the row.
    pub table: TableName,
    /// Key within the table. Any text of at most 512 bytes.
    pub key: String,
}

impl RowKey {
    /// Builds a row key.
    pub fn new(table: TableName, key: impl Into<String>) -> Self {
        Self {
            table,
            key: key.into(),
        }
    }
}

/// `Version` changes with every write of a row and is never reused. Adapters read it from the
/// platform's entity tag.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// `Row` is a row as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Version of the row.
    pub version: Version,
    /// Value of the row.
    pub value: Bytes,
}

/// `Condition` must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    VersionIs(Version),
    /// Nothing is required.
    Always,
}

/// `Mutation` is what a write does to its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Mutation {
    /// Sets the value.
    Put(Bytes),
    /// Deletes the row.
    Delete,
    /// Only checks the condition.
    Check,
}

/// `Write` is a conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Row to write.
    pub key: RowKey,
    /// Condition on the row.
    pub condition: Condition,
    /// Change to the row.
    pub mutation: Mutation,
}

/// `Refusal` says which condition of a transaction did not hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Index of the first write whose condition did not hold.
    pub index: usize,
    /// The row as it is, if it exists.
    pub actual: Option<Row>,
}

/// `WriteOutcome` is the outcome of a transaction. Callers must handle each variant.
#[must_use = "a write may have been refused, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All writes took effect. Holds the new version of each row, in order.
    Done(Vec<Version>),
    /// No write took effect, because a condition did not hold.
    Refused(Refusal),
    /// The writes may or may not have taken effect, or may still do so.
    Unknown(String),
    /// The writes did not take effect and will not, because they never reached the platform.
    NotSent(String),
}

/// `Table` is the platform's transactional table service.
#[async_trait]
pub trait Table: Send + Sync + 'static {
    /// Reads one row, or returns `None` if it does not exist. Reads are linearizable with writes.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn read(&self, key: &RowKey) -> Result<Option<Row>>;

    /// Reads at most `limit` rows whose keys start with `prefix`, in the order of their keys,
    /// beginning after the key `after` if it is given.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>>;

    /// Applies either all writes in one transaction or none of them.
    async fn write(&self, writes: Vec<Write>) -> WriteOutcome;
}
