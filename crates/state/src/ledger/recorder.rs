//! Background recording of what could not be written while the table was unavailable.

use std::{collections::VecDeque, time::Duration};

use derive_more::From;
use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::ledger::{
    abandoned::Abandoned,
    attempt::{SettleOutcome, Unrecorded},
    key::LedgerKey,
};

/// `RecorderOptions` bounds the background recording.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecorderOptions {
    /// Most items that wait.
    pub capacity: usize,
    /// Pause after an item that could not be recorded.
    pub pause: Duration,
    /// Time after which an item is given up.
    pub max_age: Duration,
    /// Time that is left for the remaining items after the last [`Recorder`] was dropped.
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

/// `PendingRecord` is something that a row does not say yet, or not for sure.
#[derive(Debug, From)]
pub enum PendingRecord {
    /// An attempt that sent nothing.
    Abandoned(Abandoned),
    /// An answer.
    Unrecorded(Unrecorded),
}

impl PendingRecord {
    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        match self {
            Self::Abandoned(abandoned) => abandoned.key(),
            Self::Unrecorded(unrecorded) => unrecorded.key(),
        }
    }

    async fn record(self) -> Result<(), Self> {
        match self {
            Self::Abandoned(abandoned) => abandoned.record().await.map_err(Self::Abandoned),
            Self::Unrecorded(unrecorded) => match unrecorded.record().await {
                SettleOutcome::Recorded | SettleOutcome::Superseded => Ok(()),
                SettleOutcome::Unrecorded(unrecorded) => Err(Self::Unrecorded(unrecorded)),
            },
        }
    }
}

/// `RecorderSummary` counts what a recorder did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecorderSummary {
    /// Items recorded.
    pub recorded: u64,
    /// Items given up for their age or because the recorder ended.
    pub given_up: u64,
}

/// `Recorder` takes items to record in the background. When the last clone is dropped, the task
/// records what is left and ends.
#[derive(Debug, Clone)]
pub struct Recorder {
    tx: mpsc::Sender<PendingRecord>,
}

impl Recorder {
    /// Starts the task.
    ///
    /// # Panics
    ///
    /// When called outside a `tokio` runtime.
    pub fn spawn(options: RecorderOptions) -> (Self, JoinHandle<RecorderSummary>) {
        let (tx, rx) = mpsc::channel(options.capacity);
        let task = tokio::spawn(run(rx, options));
        (Self { tx }, task)
    }

    /// Hands over an item.
    ///
    /// # Errors
    ///
    /// The item itself when too many wait. Its row is then left as it is: a claim becomes free at
    /// the claim limit, and a dispatched row is answered as unknown.
    pub fn submit(&self, item: impl Into<PendingRecord>) -> Result<(), PendingRecord> {
        self.tx.try_send(item.into()).map_err(|err| match err {
            mpsc::error::TrySendError::Full(item) | mpsc::error::TrySendError::Closed(item) => item,
        })
    }
}

/// An item with the time from which it is given up.
struct Waiting {
    item: PendingRecord,
    give_up_at: Instant,
}

async fn run(mut rx: mpsc::Receiver<PendingRecord>, options: RecorderOptions) -> RecorderSummary {
    let mut summary = RecorderSummary::default();
    let mut waiting = VecDeque::new();
    let mut end = None;
    loop {
        if take_new(&mut rx, &mut waiting, options).await {
            end.get_or_insert_with(|| Instant::now() + options.drain_time);
        }
        let Some(next) = waiting.pop_front() else {
            return summary;
        };
        let give_up_at = end.unwrap_or(next.give_up_at).min(next.give_up_at);
        let Err(item) = next.item.record().await else {
            summary.recorded += 1;
            continue;
        };
        if Instant::now() >= give_up_at {
            tracing::warn!(key = %item.key(), "gave up recording in the ledger");
            summary.given_up += 1;
            continue;
        }
        waiting.push_back(Waiting {
            item,
            give_up_at: next.give_up_at,
        });
        sleep(options.pause).await;
    }
}

/// Takes the new items. Waits for one when there is nothing else to do. Returns whether no more
/// will come.
async fn take_new(
    rx: &mut mpsc::Receiver<PendingRecord>,
    waiting: &mut VecDeque<Waiting>,
    options: RecorderOptions,
) -> bool {
    let wait = |item| Waiting {
        item,
        give_up_at: Instant::now() + options.max_age,
    };
    if waiting.is_empty() {
        match rx.recv().await {
            Some(item) => waiting.push_back(wait(item)),
            None => return true,
        }
    }
    while waiting.len() < options.capacity {
        match rx.try_recv() {
            Ok(item) => waiting.push_back(wait(item)),
            Err(mpsc::error::TryRecvError::Empty) => return false,
            Err(mpsc::error::TryRecvError::Disconnected) => return true,
        }
    }
    false
}
