//! What callers, the operator and the injector have seen.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Display;
use tokio::time::Instant;
use verbenahead_standins::users::RunEnd;

use super::schedule::NodeSignal;

/// `RequestKind` is the kind of a request, which is also the first part of its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum RequestKind {
    /// A stream that may not be repeated.
    Draft,
    /// A stream that may be resumed at another replica.
    Notes,
    /// A plain request that may not be repeated.
    File,
    /// A plain request that may be repeated.
    Look,
}

impl RequestKind {
    /// Returns whether a request of this kind may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Notes | Self::Look)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Draft | Self::Notes)
    }
}

/// `RequestEnd` is the end of a request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer has arrived, with status 200.
    Complete,
    /// A whole answer with another status.
    Status(u16),
    /// The connection was closed before the end of the answer.
    Closed,
    /// The caller gave up at its deadline.
    GaveUp,
    /// The answer is wrong in this way.
    Wrong(String),
}

/// `RequestRecord` is a request that has ended.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// Slot of the node that it was sent to.
    pub node: usize,
    /// Time at which it was sent.
    pub started: Instant,
    /// Time at which it ended.
    pub ended: Instant,
    /// Time for which the caller would wait.
    pub patience: Duration,
    /// Number of events that the caller has.
    pub events: u64,
    /// Its end.
    pub end: RequestEnd,
}

/// `Run` is a run of a request at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the replica.
    pub replica: String,
    /// Time at which the replica received the request.
    pub at: Instant,
    /// Whether it continues a run that was moved.
    pub is_moved: bool,
    /// End of the run, or `None` while the replica works on it.
    pub end: Option<(RunEnd, Instant)>,
    /// Whether path, body, workspace and prompt are those that the caller sent.
    pub is_faithful: bool,
    /// Time at which the store knew that the replica leaves.
    pub notice: Option<Instant>,
    /// Time at which the replica exited.
    pub gone_at: Option<Instant>,
}

/// `SignalRecord` is a signal to a node. The node is undisturbed before `from` and after `until`.
#[derive(Debug, Clone, Copy)]
pub struct SignalRecord {
    /// Slot of the node.
    pub node: usize,
    /// The signal.
    pub signal: NodeSignal,
    /// Time of the signal.
    pub from: Instant,
    /// Time at which the process continued or its successor had started.
    pub until: Option<Instant>,
}

/// `ConfigurationRecord` is a configuration that the store has acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationRecord {
    /// Time of the acknowledgement.
    pub at: Instant,
    /// Timeout of the routes that stream.
    pub stream_timeout: Duration,
}

/// `StoreFaultRecord` is a fault of the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreFaultRecord {
    /// Time of its begin.
    pub from: Instant,
    /// Time of its end.
    pub until: Option<Instant>,
}

/// `Records` are all records of a run.
#[derive(Debug, Default)]
pub struct Records {
    requests: Mutex<Vec<RequestRecord>>,
    signals: Mutex<Vec<SignalRecord>>,
    configurations: Mutex<Vec<ConfigurationRecord>>,
    store_faults: Mutex<Vec<StoreFaultRecord>>,
}

impl Records {
    /// Returns the requests that have ended.
    pub fn requests(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        lock(&self.requests)
    }

    /// Returns the signals to nodes, in order.
    pub fn signals(&self) -> MutexGuard<'_, Vec<SignalRecord>> {
        lock(&self.signals)
    }

    /// Returns the acknowledged configurations, in order.
    pub fn configurations(&self) -> MutexGuard<'_, Vec<ConfigurationRecord>> {
        lock(&self.configurations)
    }

    /// Returns the faults of the store, in order of their begin.
    pub fn store_faults(&self) -> MutexGuard<'_, Vec<StoreFaultRecord>> {
        lock(&self.store_faults)
    }
}

/// Locks a mutex whose holders leave it valid even if they panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
