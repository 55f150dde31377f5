//! Journals of accepted requests, which a node keeps for another node.

use bytes::Bytes;
use derive_more::Display;
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
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
