//! Recording of an outcome that was found out without the attempt that sent the call.

use verbenahead_core::AttemptId;

use crate::{
    errors::Result,
    ledger::{
        begin::Ledger,
        key::LedgerKey,
        record::{RecordState, RecordedAnswer},
        wire,
    },
    retry::WriteResult,
};

/// `ResolveOutcome` is the answer to [`Ledger::resolve`].
#[must_use = "the answer may not have been recorded"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResolveOutcome {
    /// The row holds the answer.
    Recorded,
    /// The row is no longer dispatched by this attempt, or its owner wrote it meanwhile.
    Changed,
    /// The table gave no answer in time.
    Unavailable,
}

impl Ledger {
    /// Records the answer of a dispatched call as the upstream tells it when asked.
    ///
    /// There is no way to record that a dispatched call did not run: a request on its way may
    /// reach the upstream after it was asked.
    ///
    /// # Errors
    ///
    /// When the row cannot be read.
    pub async fn resolve(
        &self,
        key: &LedgerKey,
        attempt: AttemptId,
        answer: RecordedAnswer,
    ) -> Result<ResolveOutcome> {
        let Some(row) = self.read(key).await? else {
            return Ok(ResolveOutcome::Changed);
        };
        let mut record = wire::decode(&row.value)?;
        if record.attempt != attempt || record.state != RecordState::Dispatched {
            return Ok(ResolveOutcome::Changed);
        }
        record.state = RecordState::Answered(answer.bounded(self.options().max_body));
        let outcome = match self.put_row(key, &record, row.version).await {
            WriteResult::Done(_) => ResolveOutcome::Recorded,
            WriteResult::Refused(refusal) => {
                match refusal.actual.map(|row| wire::decode(&row.value)) {
                    Some(Ok(actual)) if actual == record => ResolveOutcome::Recorded,
                    _ => ResolveOutcome::Changed,
                }
            }
            WriteResult::Unavailable { .. } => ResolveOutcome::Unavailable,
        };
        Ok(outcome)
    }
}
