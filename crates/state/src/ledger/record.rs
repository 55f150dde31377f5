//! Contents of a row of the ledger.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use verbenahead_core::{AttemptId, Digest, Incarnation, NodeId};

use crate::time::UnixMillis;

/// `Claimant` identifies the node, with its incarnation, that made an attempt or holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{node} incarnation {incarnation}")]
pub struct Claimant {
    /// Node that made the attempt.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// `LedgerRecord` is the value of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Digest of the call, which distinguishes it from another call with the same key.
    pub fingerprint: Digest,
    /// Attempt that last acquired the row.
    pub attempt: AttemptId,
    /// Node that made that attempt.
    pub claimant: Claimant,
    /// Wall-clock time at which that attempt began, on the clock of its node.
    pub began_at: UnixMillis,
    /// Requests received before this time must not claim the row, because a caller may have been
    /// told up to this time that its call did not run.
    pub claimable_from: UnixMillis,
    /// Time from which the row may be removed.
    pub expires_at: UnixMillis,
    /// State of the call.
    pub state: RecordState,
}

/// `RecordState` is the progress of a call.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RecordState {
    /// An attempt holds the row and has sent nothing.
    #[display("claimed")]
    Claimed,
    /// The call may have been sent and must not be sent again.
    #[display("dispatched")]
    Dispatched,
    /// The call ran and its answer is known.
    #[display("answered")]
    Answered(RecordedAnswer),
    /// The attempt ended without sending. Another attempt may claim the row.
    #[display("released")]
    Released,
}

/// `RecordedAnswer` is the answer of an upstream as it is replayed to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to replay.
    pub headers: Vec<RecordedHeader>,
    /// Body.
    pub body: RecordedBody,
}

impl RecordedAnswer {
    /// Drops the body if it is larger than `max_body` bytes.
    #[must_use]
    pub(crate) fn bounded(mut self, max_body: usize) -> Self {
        if let RecordedBody::Whole(body) = &self.body
            && body.len() > max_body
        {
            let size = body.len() as u64;
            self.body = RecordedBody::TooLarge { size };
        }
        self
    }
}

/// `RecordedHeader` is one header of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedHeader {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// `RecordedBody` is the body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedBody {
    /// The whole body.
    Whole(Bytes),
    /// The body was too large for a row. The call ran, but its body is not stored.
    TooLarge {
        /// Size of the body in bytes.
        size: u64,
    },
}

/// `RowStatus` is the status of a call as seen by an attempt that does not hold its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowStatus {
    /// The call ran.
    Answered(RecordedAnswer),
    /// Another attempt holds the row, or it was released too recently. A retry is safe.
    InProgress {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// The call may have been sent and its outcome is not recorded.
    OutcomeUnknown {
        /// Attempt that may have sent the call.
        attempt: AttemptId,
        /// Node that made that attempt. While it is alive, the call may still be in progress.
        claimant: Claimant,
    },
    /// The key was already used for another call.
    KeyReused {
        /// Whether that other call is known to have run.
        has_run: bool,
    },
}
