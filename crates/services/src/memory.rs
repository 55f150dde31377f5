//! A table in memory with injectable faults, for tests and simulated services.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;

use crate::{
    errors::{Error, Result},
    table::{
        Condition, Mutation, Refusal, Row, RowKey, Table, TableName, Version, Write, WriteOutcome,
    },
};

/// `TableFaults` are the faults injected into a [`MemoryTable`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableFaults {
    /// Reads fail, and writes do not take effect and have an unknown outcome.
    pub is_down: bool,
    /// Delay of each call.
    pub delay: Duration,
    /// Number of next writes that take effect but have an unknown outcome.
    pub lost_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, Row>,
    next_version: u64,
    faults: TableFaults,
    reads: u64,
    writes: u64,
}

/// `MemoryTable` is a [`Table`] in memory. All calls are linearizable.
#[derive(Debug, Default)]
pub struct MemoryTable {
    state: Mutex<State>,
}

impl MemoryTable {
    /// Sets the faults of later calls.
    pub fn set_faults(&self, faults: TableFaults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of reads and of writes so far.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay_call(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

impl State {
    fn begin_read(&mut self) -> Result<()> {
        self.reads += 1;
        if self.faults.is_down {
            return Err(Error::unavailable("table", "it is switched off"));
        }
        Ok(())
    }

    fn refusal(&self, writes: &[Write]) -> Option<Refusal> {
        writes.iter().enumerate().find_map(|(index, write)| {
            let actual = self.rows.get(&write.key);
            let holds = match write.condition {
                Condition::Always => true,
                Condition::Absent => actual.is_none(),
                Condition::VersionIs(version) => actual.is_some_and(|row| row.version == version),
            };
            (!holds).then(|| Refusal {
                index,
                actual: actual.cloned(),
            })
        })
    }

    fn apply(&mut self, write: Write) -> Version {
        self.next_version += 1;
        let version = Version(self.next_version);
        match write.mutation {
            Mutation::Put(value) => {
                self.rows.insert(write.key, Row { version, value });
                version
            }
            Mutation::Delete => {
                self.rows.remove(&write.key);
                version
            }
            Mutation::Check => self.rows.get(&write.key).map_or(version, |row| row.version),
        }
    }

    fn commit(&mut self, writes: Vec<Write>) -> WriteOutcome {
        self.writes += 1;
        if self.faults.is_down {
            return WriteOutcome::Unknown("the table is switched off".to_owned());
        }
        if let Some(refusal) = self.refusal(&writes) {
            return WriteOutcome::Refused(refusal);
        }
        let versions = writes.into_iter().map(|write| self.apply(write)).collect();
        if self.faults.lost_answers > 0 {
            self.faults.lost_answers -= 1;
            return WriteOutcome::Unknown("the answer was dropped by an injected fault".to_owned());
        }
        WriteOutcome::Done(versions)
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        self.delay_call().await;
        let mut state = self.lock();
        state.begin_read()?;
        Ok(state.rows.get(key).cloned())
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        self.delay_call().await;
        let mut state = self.lock();
        state.begin_read()?;
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(RowKey::new(table, after)),
            _ => Bound::Included(RowKey::new(table, prefix)),
        };
        let rows = state
            .rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.table == table && key.key.starts_with(prefix))
            .take(limit)
            .map(|(key, row)| (key.key.clone(), row.clone()))
            .collect();
        Ok(rows)
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        self.delay_call().await;
        self.lock().commit(writes)
    }
}
