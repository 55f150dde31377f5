//! An in-memory table with a limited call rate.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use tokio::time::{Instant, sleep_until};
use verbenahead_services::{
    MemoryTable, Result, Row, RowKey, Table, TableName, Write, WriteOutcome,
};

/// Write capacity, in calls per second.
const TABLE_WRITES_PER_SECOND: f64 = 400.0;

/// Read capacity, in calls per second.
const TABLE_READS_PER_SECOND: f64 = 2_000.0;

/// Latency of a table call, without queueing.
const TABLE_LATENCY: Duration = Duration::from_millis(3);

/// `LimitedTable` is a table with a limited call rate; calls above the rate wait.
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

    /// Returns the numbers of reads and writes, in this order.
    pub(super) fn call_counts(&self) -> (u64, u64) {
        self.inner.call_counts()
    }
}

async fn wait_for_slot(next: &Mutex<Instant>, per_second: f64) {
    let slot = {
        let mut next = next.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = (*next).max(Instant::now());
        *next = slot + Duration::from_secs_f64(1.0 / per_second);
        slot
    };
    sleep_until(slot + TABLE_LATENCY).await;
}

#[async_trait]
impl Table for LimitedTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        wait_for_slot(&self.next_read, TABLE_READS_PER_SECOND).await;
        self.inner.read(key).await
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        wait_for_slot(&self.next_read, TABLE_READS_PER_SECOND).await;
        self.inner.list(table, prefix, after, limit).await
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        wait_for_slot(&self.next_write, TABLE_WRITES_PER_SECOND).await;
        self.inner.write(writes).await
    }
}
