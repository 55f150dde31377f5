//! Background recording of attempts and answers that could not be written while the table was
//! unavailable.

use std::{collections::VecDeque, time::Duration};

use derive_more::From;
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::ledger::{
    abandoned::AbandonedAttempt,
    attempt::{SettleOutcome, UnrecordedAnswer},
    key::LedgerKey,
};

/// `RecorderOptions` limits the queue and the retries of a [`Recorder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecorderOptions {
    /// Largest number of queued items.
    pub capacity: usize,
    /// Pause after a failure to record an item.
    pub pause: Duration,
    /// Age at which an item is discarded.
    pub max_age: Duration,
    /// Time limit for the remaining items after the last [`Recorder`] is dropped.
    pub drain_time: Duration,
}

impl Default for RecorderOptions {
    fn default() -> Self {
        Self {
            capacity: 4_096,
            pause: Duration::from_millis(250),
            max_age: Duration::from_secs(900),
            drain_time: Duration::from_secs(10),
        }
    }
}

/// `PendingRecord` is an attempt or answer that its row may not show yet.
#[derive(Debug, From)]
pub enum PendingRecord {
    /// An attempt that sent nothing.
    AbandonedAttempt(AbandonedAttempt),
    /// An answer of an upstream.
    UnrecordedAnswer(UnrecordedAnswer),
}

impl PendingRecord {
    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        match self {
            Self::AbandonedAttempt(abandoned) => abandoned.key(),
            Self::UnrecordedAnswer(unrecorded) => unrecorded.key(),
        }
    }

    async fn record(self) -> Result<(), Self> {
        match self {
            Self::AbandonedAttempt(abandoned) => {
                abandoned.record().await.map_err(Self::AbandonedAttempt)
            }
            Self::UnrecordedAnswer(unrecorded) => match unrecorded.record().await {
                SettleOutcome::Recorded | SettleOutcome::Superseded => Ok(()),
                SettleOutcome::Unrecorded(unrecorded) => Err(Self::UnrecordedAnswer(unrecorded)),
            },
        }
    }
}

/// `RecorderSummary` counts the items that a recorder handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecorderSummary {
    /// Items that were recorded.
    pub recorded: u64,
    /// Items that were discarded because of their age or because the drain time was over.
    pub given_up: u64,
}

/// `Recorder` queues items for a background task that records them. When the last clone is dropped,
/// the task records the remaining items and ends.
#[derive(Debug, Clone)]
pub struct Recorder {
    tx: mpsc::Sender<PendingRecord>,
}

impl Recorder {
    /// Starts the background task.
    ///
    /// # Panics
    ///
    /// When called outside a `tokio` runtime.
    pub fn spawn(options: RecorderOptions) -> (Self, JoinHandle<RecorderSummary>) {
        let (tx, rx) = mpsc::channel(options.capacity);
        let task = tokio::spawn(run(rx, options));
        (Self { tx }, task)
    }

    /// Queues an item.
    ///
    /// # Errors
    ///
    /// The item itself when the queue is full. Its row then stays unchanged: a claim can be taken
    /// over after the claim timeout, and a dispatched row is answered as unknown.
    pub fn submit(&self, item: impl Into<PendingRecord>) -> Result<(), PendingRecord> {
        self.tx.try_send(item.into()).map_err(|err| match err {
            mpsc::error::TrySendError::Full(item) | mpsc::error::TrySendError::Closed(item) => item,
        })
    }
}

/// An item with the time at which it is discarded.
struct QueuedItem {
    item: PendingRecord,
    give_up_at: Instant,
}

async fn run(mut rx: mpsc::Receiver<PendingRecord>, options: RecorderOptions) -> RecorderSummary {
    let mut summary = RecorderSummary::default();
    let mut queue = VecDeque::new();
    let mut drain_deadline = None;
    loop {
        if receive_items(&mut rx, &mut queue, options).await {
            drain_deadline.get_or_insert_with(|| Instant::now() + options.drain_time);
        }
        let Some(next) = queue.pop_front() else {
            return summary;
        };
        let give_up_at = drain_deadline
            .unwrap_or(next.give_up_at)
            .min(next.give_up_at);
        let Err(item) = next.item.record().await else {
            summary.recorded += 1;
            continue;
        };
        if Instant::now() >= give_up_at {
            tracing::warn!(key = %item.key(), "gave up recording in the ledger");
            summary.given_up += 1;
            continue;
        }
        queue.push_back(QueuedItem {
            item,
            give_up_at: next.give_up_at,
        });
        sleep(options.pause).await;
    }
}

/// Moves new items to the queue. Waits for one if the queue is empty. Returns whether the channel
/// is closed.
async fn receive_items(
    rx: &mut mpsc::Receiver<PendingRecord>,
    queue: &mut VecDeque<QueuedItem>,
    options: RecorderOptions,
) -> bool {
    let queued = |item| QueuedItem {
        item,
        give_up_at: Instant::now() + options.max_age,
    };
    if queue.is_empty() {
        match rx.recv().await {
            Some(item) => queue.push_back(queued(item)),
            None => return true,
        }
    }
    while queue.len() < options.capacity {
        match rx.try_recv() {
            Ok(item) => queue.push_back(queued(item)),
            Err(mpsc::error::TryRecvError::Empty) => return false,
            Err(mpsc::error::TryRecvError::Disconnected) => return true,
        }
    }
    false
}
