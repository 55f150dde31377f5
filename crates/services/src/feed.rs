//! Change feeds of tables.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;

use crate::{
    errors::Result,
    table::{TableName, Version},
};

/// `FeedPosition` is a point in the history of all tables. Later positions are larger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct FeedPosition(pub u64);

/// `FeedRow` is a row as of the position of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// Key of the row within its table.
    pub key: String,
    /// Version of the row's last change.
    pub version: Version,
    /// Value of the row, or `None` if it was deleted.
    pub value: Option<Bytes>,
}

/// `Snapshot` is a whole table as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rows of the table.
    pub rows: Vec<FeedRow>,
    /// Position from which to continue the feed.
    pub position: FeedPosition,
    /// Whether this is the first snapshot since the platform came back from an older copy. Rows may
    /// be older than those read before.
    pub is_restored: bool,
}

/// `FeedAnswer` is the answer to a request for the changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedAnswer {
    /// The changed rows, in the order of their changes. Empty when the wait timed out.
    Changes {
        /// Changed rows.
        rows: Vec<FeedRow>,
        /// Position from which to continue the feed.
        position: FeedPosition,
    },
    /// The history after the position is no longer kept. The whole table must be read again.
    HistoryGone,
}

/// `FeedNotice` is what a reader passes on of an answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedNotice {
    /// Name of the table that was read.
    pub table: String,
    /// Position after which the changes follow.
    pub from: FeedPosition,
    /// Position up to which the notice covers the changes.
    pub to: FeedPosition,
    /// Content of the notice.
    pub content: NoticeContent,
}

/// `NoticeContent` is the content of a notice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoticeContent {
    /// All rows that changed, in the order of their changes.
    Rows(Vec<FeedRow>),
    /// There are changes that do not fit into a notice.
    Omitted,
    /// The platform does not answer the reader.
    Outage,
    /// The platform answers the reader again.
    PastOutage {
        /// Time since the platform first did not answer.
        age: Duration,
    },
}

/// `TableFeed` reports the changes of a table.
#[async_trait]
pub trait TableFeed: Send + Sync + 'static {
    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn snapshot(&self, table: TableName) -> Result<Snapshot>;

    /// Waits at most `wait` for changes after `since`.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn changes(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer>;
}
