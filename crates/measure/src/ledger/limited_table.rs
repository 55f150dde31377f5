//! A table that takes a limited number of calls per second.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use tokio::time::{Instant, sleep_until};
use verbenahead_services::{
    MemoryTable, Result, Row, RowKey, Table, TableName, Write, WriteOutcome,
};

/// Writes and reads per second that the table of the measurement takes.
const TABLE_WRITES_PER_SECOND: f64 = 400.0;
const TABLE_READS_PER_SECOND: f64 = 2_000.0;

/// Time of a table call besides its waiting time.
const TABLE_DELAY: Duration = Duration::from_millis(3);

/// `LimitedTable` takes a limited number of calls per second; the others wait.
#[derive(Debug)]
pub(super) struct LimitedTable {
    inner: MemoryTable,
    next_write: Mutex<Instant>,
    next_read: Mutex<Instant>,
}

impl LimitedTable {
    /// Builds an empty table.
    pub(super) fn new() -> Self {
        Self {
            inner: MemoryTable::default(),
            next_write: Mutex::new(Instant::now()),
            next_read: Mutex::new(Instant::now()),
        }
    }

    /// Returns how many reads and writes the table has had, in this order.
    pub(super) fn call_counts(&self) -> (u64, u64) {
        self.inner.call_counts()
    }
}

async fn wait_turn(next: &Mutex<Instant>, per_second: f64) {
    let turn = {
        let mut next = next.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = (*next).max(Instant::now());
        *next = turn + Duration::from_secs_f64(1.0 / per_second);
        turn
    };
    sleep_until(turn + TABLE_DELAY).await;
}

#[async_trait]
impl Table for LimitedTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        wait_turn(&self.next_read, TABLE_READS_PER_SECOND).await;
        self.inner.read(key).await
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        wait_turn(&self.next_read, TABLE_READS_PER_SECOND).await;
        self.inner.list(table, prefix, after, limit).await
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        wait_turn(&self.next_write, TABLE_WRITES_PER_SECOND).await;
        self.inner.write(writes).await
    }
}
