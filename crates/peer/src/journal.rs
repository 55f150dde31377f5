//! Journals of accepted requests, which a node keeps for another node.

use bytes::Bytes;
use derive_more::{Display, Error};
use verbenahead_core::{NodeId, RequestId, ServiceId, WorkspaceId};

/// `JournalRecord` holds what another node needs to carry on an accepted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace of the caller. Only its keys may read the answer.
    pub workspace: WorkspaceId,
    /// Service that answers.
    pub service: ServiceId,
    /// Node that carries out the request.
    pub owner: NodeId,
    /// Rises with every change of the owner. Messages with an older epoch are refused.
    pub epoch: u64,
    /// Seed of the sampling.
    pub seed: u64,
    /// Body of the request as the caller sent it.
    pub body: Bytes,
    /// Tokens of the answer so far. May be behind what the caller has got.
    pub tokens: Vec<String>,
    /// Whether the answer is complete.
    pub is_finished: bool,
}

/// Bytes of a journal in a message, beside its names, body and tokens: tags, ids and numbers.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Bytes of a token in a message beside its text: tag and length.
const TOKEN_OVERHEAD_BYTES: usize = 6;

impl JournalRecord {
    /// Returns an upper bound of the bytes that the journal takes in a message.
    pub fn max_encoded_bytes(&self) -> usize {
        let names =
            self.workspace.as_str().len() + self.service.as_str().len() + self.owner.as_str().len();
        let token_bytes = |token: &String| TOKEN_OVERHEAD_BYTES + token.len();
        let tokens: usize = self.tokens.iter().map(token_bytes).sum();
        RECORD_OVERHEAD_BYTES + names + self.body.len() + tokens
    }
}

/// `JournalAppend` adds tokens to a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalAppend {
    /// Id of the request.
    pub request: RequestId,
    /// Epoch of the sender.
    pub epoch: u64,
    /// Position of the first of `tokens` in the answer, from 0.
    pub position: u64,
    /// Tokens to add.
    pub tokens: Vec<String>,
    /// Whether the answer is complete with these tokens.
    pub is_finished: bool,
}

/// `JournalRefusal` tells why a holder refused a message about a journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum JournalRefusal {
    /// The holder has no such journal.
    #[display("the journal is not known")]
    NotFound,
    /// Another node has taken the request over.
    #[display("the request was taken over in epoch {current}")]
    StaleEpoch {
        /// Epoch of the present owner.
        current: u64,
    },
    /// Tokens before the appended ones are missing.
    #[display("the journal ends at position {length}")]
    Gap {
        /// Number of tokens that the journal has.
        length: u64,
    },
    /// The holder has no room.
    #[display("the holder has no room")]
    Full,
}

/// `JournalDrop` ends a journal that is no longer needed.
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
    /// Epoch that the new owner has seen. If it is no longer the current one, another node was
    /// faster.
    pub epoch: u64,
    /// The new owner.
    pub owner: NodeId,
}

/// `JournalResult` is the outcome of one change of a journal.
pub type JournalResult<T> = Result<T, JournalRefusal>;
