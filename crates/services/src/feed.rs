//! Tables whose changes can be followed.

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

/// `FeedRow` is a row as it was at the position of a reading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedRow {
    /// Key of the row within its table.
    pub key: String,
    /// Version of the row's last change.
    pub version: Version,
    /// Value of the row, or `None` when it was removed.
    pub value: Option<Bytes>,
}

/// `Snapshot` is a whole table as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rows of the table.
    pub rows: Vec<FeedRow>,
    /// Position from which the feed goes on.
    pub position: FeedPosition,
}

/// `FeedAnswer` is what a feed tells of the time after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedAnswer {
    /// The rows that have changed, in the order of their changes. None when the wait has passed.
    Changes {
        /// Changed rows.
        rows: Vec<FeedRow>,
        /// Position from which the feed goes on.
        position: FeedPosition,
    },
    /// The history after the position is no longer kept. The table has to be read anew.
    HistoryGone,
}

/// `TableFeed` tells the changes of a table.
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
