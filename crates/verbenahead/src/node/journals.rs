//! Journals of this node's requests at other nodes.

use async_trait::async_trait;
use verbenahead_core::{NodeId, RequestId};
use verbenahead_peer::{JournalAppend, JournalRecord, JournalRefusal};

/// `JournalTicket` names the node that holds a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalHandle {
    /// Request of the journal.
    pub request: RequestId,
    /// Epoch of this node as the owner.
    pub epoch: u64,
    /// Node that holds the journal; none when no other node was reachable.
    pub holder: Option<NodeId>,
}

/// `JournalFailure` tells why a message about a journal had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalFailure {
    /// The holder refused it.
    Refused(JournalRefusal),
    /// The holder did not answer.
    Unreachable(String),
}

/// `Journals` keeps journals at other nodes.
#[async_trait]
pub trait Journals: Send + Sync + 'static {
    /// Stores a journal, new or whole again, and waits until its holder has it.
    ///
    /// # Errors
    ///
    /// A [`JournalFailure`] when other nodes are there, but none took the journal.
    async fn put(&self, record: JournalRecord) -> Result<JournalHandle, JournalFailure>;

    /// Adds tokens to a journal.
    async fn append(
        &self,
        handle: &JournalHandle,
        append: JournalAppend,
    ) -> Result<(), JournalFailure>;

    /// Returns whether the holder of a journal lives. A journal without a holder counts as held as
    /// long as no other node is there.
    fn is_held(&self, handle: &JournalHandle) -> bool;

    /// Finds the journal of a request and makes this node its owner.
    async fn take_over(
        &self,
        request: RequestId,
    ) -> Result<(JournalRecord, JournalHandle), JournalFailure>;

    /// Reads the journal of a request.
    async fn read(&self, request: RequestId) -> Result<JournalRecord, JournalFailure>;
}
