//! Journals of this node's requests, held by other nodes.

use async_trait::async_trait;
use verbenahead_core::{NodeId, RequestId};
use verbenahead_peer::{JournalAppend, JournalRecord, JournalRefusal};

/// `JournalHandle` names the journal of a request and the node that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalHandle {
    /// Request of the journal.
    pub request: RequestId,
    /// Ownership epoch of this node; an owner with a higher epoch has taken the request over.
    pub epoch: u64,
    /// Node that holds the journal; none when no other node was reachable.
    pub holder: Option<NodeId>,
}

/// `JournalFailure` is the reason why an operation on a journal failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalFailure {
    /// The holder refused the operation.
    Refused(JournalRefusal),
    /// The holder did not answer.
    Unreachable(String),
}

/// `Journals` stores and reads journals at other nodes.
#[async_trait]
pub trait Journals: Send + Sync + 'static {
    /// Stores a complete journal, new or in place of a lost one, and waits until its holder has it.
    ///
    /// # Errors
    ///
    /// A [`JournalFailure`] when there are other nodes, but none accepted the journal.
    async fn put(&self, record: JournalRecord) -> Result<JournalHandle, JournalFailure>;

    /// Appends tokens to a journal.
    ///
    /// # Errors
    ///
    /// A [`JournalFailure`] when the holder refuses the tokens or does not answer.
    async fn append(
        &self,
        handle: &JournalHandle,
        append: JournalAppend,
    ) -> Result<(), JournalFailure>;

    /// Returns whether the holder of a journal is alive. A journal without a holder counts as held
    /// while there is no other node.
    fn is_held(&self, handle: &JournalHandle) -> bool;

    /// Finds the journal of a request and makes this node its owner.
    ///
    /// # Errors
    ///
    /// A [`JournalFailure`] when no reachable node has the journal, or its holder refuses.
    async fn take_over(
        &self,
        request: RequestId,
    ) -> Result<(JournalRecord, JournalHandle), JournalFailure>;

    /// Reads the journal of a request.
    ///
    /// # Errors
    ///
    /// A [`JournalFailure`] when no reachable node has the journal.
    async fn read(&self, request: RequestId) -> Result<JournalRecord, JournalFailure>;
}
