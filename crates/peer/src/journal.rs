//! Journals of accepted requests, which a node keeps for another node, and the messages that
//! change them.

use bytes::Bytes;
use derive_more::{Display, Error};
use verbenahead_core::{NodeId, RequestId, ServiceId, WorkspaceId};

/// `JournalRecord` holds the state that another node needs to continue an accepted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace of the caller. Only its API keys may read the answer.
    pub workspace: WorkspaceId,
    /// Service that the request is addressed to.
    pub service: ServiceId,
    /// Node that serves the request.
    pub owner: NodeId,
    /// Number that increases with each change of the owner. Messages with an older epoch are
    /// refused.
    pub epoch: u64,
    /// Sampling seed.
    pub seed: u64,
    /// Body of the request as the caller sent it.
    pub body: Bytes,
    /// Tokens of the answer so far. The caller may already have received more.
    pub tokens: Vec<String>,
    /// Whether the answer is complete.
    pub is_finished: bool,
}

/// Upper bound of the encoded size of a journal without its names, body and tokens: field tags, ids
/// and numbers.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Upper bound of the encoded size of a token without its text: field tag and length.
const TOKEN_OVERHEAD_BYTES: usize = 6;

impl JournalRecord {
    /// Returns an upper bound of the encoded size of the journal, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        let names =
            self.workspace.as_str().len() + self.service.as_str().len() + self.owner.as_str().len();
        let token_bytes = |token: &String| TOKEN_OVERHEAD_BYTES + token.len();
        let tokens: usize = self.tokens.iter().map(token_bytes).sum();
        RECORD_OVERHEAD_BYTES + names + self.body.len() + tokens
    }
}

/// `JournalAppend` appends tokens to a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalAppend {
    /// Id of the request.
    pub request: RequestId,
    /// Epoch of the sender.
    pub epoch: u64,
    /// Zero-based position of the first of `tokens` in the answer.
    pub position: u64,
    /// Tokens to append.
    pub tokens: Vec<String>,
    /// Whether the answer is complete with these tokens.
    pub is_finished: bool,
}

/// `JournalRefusal` is the reason for which a holder refused to read or change a journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum JournalRefusal {
    /// The holder has no such journal.
    #[display("the journal is not known")]
    NotFound,
    /// Another node has taken the request over.
    #[display("the request was taken over in epoch {current}")]
    StaleEpoch {
        /// Epoch of the current owner.
        current: u64,
    },
    /// Tokens before the appended ones are missing.
    #[display("the journal ends at position {length}")]
    Gap {
        /// Number of tokens that the journal has.
        length: u64,
    },
    /// The holder has reached its limit of journals or bytes.
    #[display("the holder has no room")]
    Full,
}

/// `JournalDrop` removes a journal that is no longer needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JournalDrop {
    /// Id of the request.
    pub request: RequestId,
    /// Epoch of the sender.
    pub epoch: u64,
}

/// `JournalTakeOver` makes another node the owner of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalTakeOver {
    /// Id of the request.
    pub request: RequestId,
    /// Epoch of the journal when the new owner read it. If it is no longer the current one,
    /// another node has taken the request over first.
    pub epoch: u64,
    /// The new owner.
    pub owner: NodeId,
}

/// `JournalResult` is the result of reading or changing one journal.
pub type JournalResult<T> = Result<T, JournalRefusal>;
