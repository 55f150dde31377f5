//! Table as one node sees it while it may come back from an older copy.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use tokio::{sync::watch, time::Instant};
use verbenahead_services::{
    Condition, EraView, MemoryTable, Mutation, Result, Row, RowKey, SeenEra, StoreEra, Table,
    TableName, Write, WriteOutcome,
};

/// `Restores` counts how often a table came back from a copy. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Restores(Arc<AtomicU64>);

impl Restores {
    /// Lets a row come back from a copy that has `copied` of it.
    pub async fn restore(&self, table: &MemoryTable, key: RowKey, copied: Option<Row>) {
        let restored = Write {
            key,
            condition: Condition::Always,
            mutation: copied.map_or(Mutation::Delete, |row| Mutation::Put(row.value)),
        };
        let outcome = table.write(vec![restored]).await;
        assert!(matches!(outcome, WriteOutcome::Done(_)), "{outcome:?}");
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// `NodeTable` is a table whose answers tell one node of restores.
#[derive(Debug)]
pub struct NodeTable<T> {
    table: Arc<T>,
    restores: Restores,
    noticed: watch::Sender<Option<SeenEra>>,
}

impl<T: Table> NodeTable<T> {
    pub fn new(table: &Arc<T>, restores: &Restores) -> Self {
        Self {
            table: Arc::clone(table),
            restores: restores.clone(),
            noticed: watch::Sender::new(None),
        }
    }

    /// Returns the era as the node has noticed it.
    pub fn noticed(&self) -> EraView {
        EraView::new(self.noticed.subscribe())
    }

    fn notice(&self) {
        let era = StoreEra(self.restores.0.load(Ordering::Relaxed));
        self.noticed.send_if_modified(|noticed| {
            let is_new = noticed.is_none_or(|noticed| noticed.era < era);
            if is_new {
                let since = Instant::now();
                *noticed = Some(SeenEra { era, since });
            }
            is_new
        });
    }
}

#[async_trait]
impl<T: Table> Table for NodeTable<T> {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        let row = self.table.read(key).await?;
        self.notice();
        Ok(row)
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        let rows = self.table.list(table, prefix, after, limit).await?;
        self.notice();
        Ok(rows)
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        let outcome = self.table.write(writes).await;
        if matches!(outcome, WriteOutcome::Done(_) | WriteOutcome::Refused(_)) {
            self.notice();
        }
        outcome
    }
}
