//! Fake dependencies of a node without peers.

use async_trait::async_trait;
use verbenahead::node::{
    journals::{JournalFailure, JournalHandle, Journals},
    liveness::Liveness,
};
use verbenahead_core::RequestId;
use verbenahead_peer::{JournalAppend, JournalRecord, JournalRefusal};
use verbenahead_state::ledger::Claimant;

/// `NoJournals` stores no journals. Requests are lost with their node.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoJournals;

#[async_trait]
impl Journals for NoJournals {
    async fn put(&self, record: JournalRecord) -> Result<JournalHandle, JournalFailure> {
        Ok(JournalHandle {
            request: record.request,
            epoch: record.epoch,
            holder: None,
        })
    }

    async fn append(&self, _: &JournalHandle, _: JournalAppend) -> Result<(), JournalFailure> {
        Ok(())
    }

    fn is_held(&self, _: &JournalHandle) -> bool {
        true
    }

    async fn take_over(
        &self,
        _: RequestId,
    ) -> Result<(JournalRecord, JournalHandle), JournalFailure> {
        Err(JournalFailure::Refused(JournalRefusal::NotFound))
    }

    async fn read(&self, _: RequestId) -> Result<JournalRecord, JournalFailure> {
        Err(JournalFailure::Refused(JournalRefusal::NotFound))
    }
}

/// `NoNodeGone` reports every node as alive.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoNodeGone;

impl Liveness for NoNodeGone {
    fn is_gone(&self, _: &Claimant) -> bool {
        false
    }
}
