//! What a row of the ledger holds.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use verbenahead_core::{AttemptId, Digest, Incarnation, NodeId};

use crate::time::UnixMillis;

/// `Claimant` is the life of a node that made an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{node} incarnation {incarnation}")]
pub struct Claimant {
    /// Node that made the attempt.
    pub node: NodeId,
    /// Life of the node.
    pub incarnation: Incarnation,
}

/// `LedgerRecord` is the value of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// Digest of the call, so that another call with the same key is told apart.
    pub fingerprint: Digest,
    /// Attempt that wrote the row last.
    pub attempt: AttemptId,
    /// Node of that attempt.
    pub claimant: Claimant,
    /// Time at which that attempt began, by the clock of its node.
    pub began_at: UnixMillis,
    /// Requests that were received before this time may not claim the row, because a caller may
    /// have been told since that its call did not run.
    pub claimable_from: UnixMillis,
    /// Time from which the row may be removed.
    pub expires_at: UnixMillis,
    /// State of the call.
    pub state: RecordState,
}

/// `RecordState` is how far a call has come.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RecordState {
    /// An attempt has the row and has sent nothing.
    #[display("claimed")]
    Claimed,
    /// The call may have been sent. It is never sent again.
    #[display("dispatched")]
    Dispatched,
    /// The call ran and its answer is known.
    #[display("answered")]
    Answered(RecordedAnswer),
    /// The attempt ended without sending. Another attempt may claim the row.
    #[display("released")]
    Released,
}

/// `RecordedAnswer` is the answer of an upstream as it is given again to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that matter to callers.
    pub headers: Vec<RecordedHeader>,
    /// Body.
    pub body: RecordedBody,
}

impl RecordedAnswer {
    /// Leaves the body out when it is larger than `max_body` bytes.
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
    /// The body was larger than a row may hold. The call ran, but its body is not kept.
    TooLarge {
        /// Size of the body in bytes.
        size: u64,
    },
}

/// `RowStatus` is what an attempt that does not hold the row may answer from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowStatus {
    /// The call ran.
    Answered(RecordedAnswer),
    /// Another attempt has the row. Asking again later is safe.
    InProgress {
        /// Time after which to ask again.
        retry_after: Duration,
    },
    /// The call may have been sent and its outcome is not recorded.
    OutcomeUnknown {
        /// Attempt that may have sent the call.
        attempt: AttemptId,
        /// Node of that attempt. While it lives, the call may still be in progress.
        claimant: Claimant,
    },
    /// The key belongs to another call.
    KeyReused {
        /// Whether that other call is known to have run.
        has_run: bool,
    },
}
