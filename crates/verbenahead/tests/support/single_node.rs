//! Fakes of what a node without peers has.

use async_trait::async_trait;
use verbenahead::node::{
    journals::{JournalFailure, JournalHandle, Journals},
    liveness::Liveness,
};
use verbenahead_core::RequestId;
use verbenahead_peer::{JournalAppend, JournalRecord, JournalRefusal};
use verbenahead_state::ledger::Claimant;

/// `NoJournals` is used where a node has no peers. Its requests do not survive it.
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

/// `NobodyGone` is used where a node has no peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoNodeGone;

impl Liveness for NoNodeGone {
    fn is_gone(&self, _: &Claimant) -> bool {
        false
    }
}
