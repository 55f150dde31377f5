//! Group commit: a table that sends the writes of several callers in one transaction.
//!
//! While fewer groups than the limit are in flight, a group is sent at once. Writes that arrive
//! while the limit is reached wait and form the next group. So groups grow with the load, and a
//! single write is not delayed.

use std::{collections::VecDeque, fmt, sync::Arc};

use async_trait::async_trait;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use verbenahead_core::HashSet;
use verbenahead_services::{
    Refusal, Result, Row, RowKey, Table, TableName, Version, Write, WriteOutcome,
};

/// `GroupOptions` limits the size and number of groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupOptions {
    /// Largest number of rows that one group writes. A larger transaction of a single caller forms
    /// a group of its own.
    pub max_rows: usize,
    /// Largest number of groups in flight.
    pub max_in_flight: usize,
    /// Largest number of callers that wait for a group.
    pub max_waiting: usize,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            max_rows: 64,
            max_in_flight: 2,
            max_waiting: 4_096,
        }
    }
}

/// Transaction of one caller that waits for its outcome.
#[derive(Debug)]
struct Pending {
    writes: Vec<Write>,
    reply: oneshot::Sender<WriteOutcome>,
}

/// `GroupedTable` is a [`Table`] that groups writes. Its background task ends when it is dropped;
/// groups in flight are still answered.
pub struct GroupedTable {
    inner: Arc<dyn Table>,
    tx: mpsc::Sender<Pending>,
}

impl fmt::Debug for GroupedTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GroupedTable").finish_non_exhaustive()
    }
}

impl GroupedTable {
    /// Starts the background task that groups the writes to `inner`.
    ///
    /// # Panics
    ///
    /// When called outside a `tokio` runtime.
    pub fn spawn(inner: Arc<dyn Table>, options: GroupOptions) -> Self {
        let (tx, rx) = mpsc::channel(options.max_waiting);
        tokio::spawn(run(Arc::clone(&inner), rx, options));
        Self { inner, tx }
    }
}

#[async_trait]
impl Table for GroupedTable {
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
        let (reply, outcome) = oneshot::channel();
        let pending = Pending { writes, reply };
        if self.tx.send(pending).await.is_err() {
            return WriteOutcome::NotSent("the group task has ended".to_owned());
        }
        outcome
            .await
            .unwrap_or_else(|_| WriteOutcome::Unknown("the group task has ended".to_owned()))
    }
}

async fn run(inner: Arc<dyn Table>, mut rx: mpsc::Receiver<Pending>, options: GroupOptions) {
    let permits = Arc::new(Semaphore::new(options.max_in_flight));
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            let Some(pending) = rx.recv().await else {
                return;
            };
            waiting.push_back(pending);
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        while waiting.len() < options.max_waiting {
            let Ok(pending) = rx.try_recv() else { break };
            waiting.push_back(pending);
        }
        let group = take_group(&mut waiting, options.max_rows);
        tokio::spawn(send_group(Arc::clone(&inner), group, permit));
    }
}

/// Takes transactions that write disjoint rows from the queue, in order of arrival. Transactions
/// that write a common row keep their order. Those whose caller no longer waits are dropped.
fn take_group(waiting: &mut VecDeque<Pending>, max_rows: usize) -> Vec<Pending> {
    let mut group = Vec::new();
    let mut rows = 0;
    let mut keys = HashSet::default();
    let mut remaining = VecDeque::new();
    for pending in waiting.drain(..) {
        if pending.reply.is_closed() {
            continue;
        }
        let has_room = group.is_empty() || rows + pending.writes.len() <= max_rows;
        let is_disjoint = pending
            .writes
            .iter()
            .all(|write| !keys.contains(&write.key));
        keys.extend(pending.writes.iter().map(|write| write.key.clone()));
        if has_room && is_disjoint {
            rows += pending.writes.len();
            group.push(pending);
        } else {
            remaining.push_back(pending);
        }
    }
    *waiting = remaining;
    group
}

/// Sends a group. A transaction whose condition does not hold is removed and answered as refused,
/// and the others are sent again.
async fn send_group(inner: Arc<dyn Table>, mut group: Vec<Pending>, permit: OwnedSemaphorePermit) {
    while !group.is_empty() {
        let writes = group.iter().flat_map(|pending| pending.writes.clone());
        match inner.write(writes.collect()).await {
            WriteOutcome::Done(versions) => {
                answer_done(group, versions);
                break;
            }
            WriteOutcome::Refused(refusal) => answer_refused(&mut group, refusal),
            WriteOutcome::Unknown(reason) => {
                answer_all(group, &WriteOutcome::Unknown(reason));
                break;
            }
            WriteOutcome::NotSent(reason) => {
                answer_all(group, &WriteOutcome::NotSent(reason));
                break;
            }
        }
    }
    drop(permit);
}

fn answer_done(group: Vec<Pending>, versions: Vec<Version>) {
    let mut versions = versions.into_iter();
    for pending in group {
        let own = versions.by_ref().take(pending.writes.len()).collect();
        answer(pending, WriteOutcome::Done(own));
    }
}

fn answer_refused(group: &mut Vec<Pending>, mut refusal: Refusal) {
    let owner = group.iter().position(|pending| {
        let is_owner = refusal.index < pending.writes.len();
        if !is_owner {
            refusal.index -= pending.writes.len();
        }
        is_owner
    });
    match owner {
        Some(owner) => answer(group.remove(owner), WriteOutcome::Refused(refusal)),
        None => {
            let reason = "the refusal names no write of the group".to_owned();
            answer_all(std::mem::take(group), &WriteOutcome::Unknown(reason));
        }
    }
}

fn answer_all(group: Vec<Pending>, outcome: &WriteOutcome) {
    for pending in group {
        answer(pending, outcome.clone());
    }
}

fn answer(pending: Pending, outcome: WriteOutcome) {
    // A caller that no longer waits treats its write as unknown.
    let _ = pending.reply.send(outcome);
}
