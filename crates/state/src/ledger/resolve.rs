//! Recording of an outcome that was learned by asking the upstream.

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

/// `ResolveOutcome` is the result of [`Ledger::resolve`].
#[must_use = "the answer may not have been recorded"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResolveOutcome {
    /// The row holds the answer.
    Recorded,
    /// The row is absent, is no longer dispatched by the given attempt, or was written by another
    /// writer in the meantime.
    Changed,
    /// The table did not respond in time.
    Unavailable,
}

impl Ledger {
    /// Records the answer of a dispatched call that the upstream reported when it was asked.
    ///
    /// It is not possible to record that a dispatched call did not run: a request in flight may
    /// reach the upstream after it was asked.
    ///
    /// # Errors
    ///
    /// When the row cannot be read or is malformed.
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
