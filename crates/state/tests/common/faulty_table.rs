//! Table that injects given faults into its next writes, in order.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use verbenahead_services::{
    MemoryTable, Result, Row, RowKey, Table, TableName, Write, WriteOutcome,
};

/// `WriteFault` is the fault injected into one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// The write takes effect and is answered.
    None,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The write is lost. Its outcome is unknown.
    Lost,
    /// The write is delayed until [`FaultyTable::deliver_late`]. Its outcome is unknown.
    Late,
    /// The write is not sent, and its outcome says so.
    NotSent,
}

#[derive(Debug, Default)]
pub struct FaultyTable {
    pub inner: Arc<MemoryTable>,
    faults: Mutex<VecDeque<WriteFault>>,
    late: Mutex<Vec<Vec<Write>>>,
}

impl FaultyTable {
    pub fn new(faults: impl IntoIterator<Item = WriteFault>) -> Arc<Self> {
        let table = Self::default();
        table.push_faults(faults);
        Arc::new(table)
    }

    pub fn push_faults(&self, faults: impl IntoIterator<Item = WriteFault>) {
        self.faults.lock().expect("lock").extend(faults);
    }

    pub fn clear_faults(&self) {
        self.faults.lock().expect("lock").clear();
    }

    /// Delivers the delayed writes. Returns their outcomes.
    pub async fn deliver_late(&self) -> Vec<WriteOutcome> {
        let late = std::mem::take(&mut *self.late.lock().expect("lock"));
        let mut outcomes = Vec::new();
        for writes in late {
            outcomes.push(self.inner.write(writes).await);
        }
        outcomes
    }
}

#[async_trait]
impl Table for FaultyTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.inner.read(key).await
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        self.inner.list(table, prefix, after, limit).await
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        let fault = self.faults.lock().expect("lock").pop_front();
        match fault.unwrap_or(WriteFault::None) {
            WriteFault::None => self.inner.write(writes).await,
            WriteFault::AnswerLost => {
                let _ = self.inner.write(writes).await;
                WriteOutcome::Unknown("answer lost".to_owned())
            }
            WriteFault::Lost => WriteOutcome::Unknown("write lost".to_owned()),
            WriteFault::Late => {
                self.late.lock().expect("lock").push(writes);
                WriteOutcome::Unknown("write is late".to_owned())
            }
            WriteFault::NotSent => WriteOutcome::NotSent("not connected".to_owned()),
        }
    }
}
