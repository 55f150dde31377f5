//! Attempts that were given up while the table was unavailable.

use verbenahead_services::Condition;

use crate::{
    ledger::{
        attempt::AttemptInner,
        key::LedgerKey,
        record::{LedgerRecord, RecordState},
        wire,
    },
    retry::WriteResult,
};

/// `AbandonedAttempt` is an attempt that sent nothing and never will. Its row may not show this
/// yet because the table did not respond in time.
#[must_use = "an abandoned attempt must be recorded when the table is available again"]
#[derive(Debug)]
pub struct AbandonedAttempt(Box<AttemptInner>);

impl AbandonedAttempt {
    pub(crate) fn new(inner: Box<AttemptInner>) -> Self {
        Self(inner)
    }

    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        &self.0.key
    }

    /// Releases the row if it belongs to this attempt, so that other attempts need not wait for
    /// the claim to time out.
    ///
    /// A delayed write of this attempt that arrives afterwards is refused. A row that belongs to
    /// another attempt stays unchanged.
    ///
    /// # Errors
    ///
    /// The attempt itself when the table did not respond in time or the row changed during the
    /// release.
    pub async fn record(mut self) -> std::result::Result<(), Self> {
        // Its caller was not told `not_run`, so no cooldown is needed before the next claim.
        self.0.record.state = RecordState::Released;
        let Ok(row) = self.0.ledger.read(&self.0.key).await else {
            return Err(self);
        };
        let condition = match row {
            None => Condition::Absent,
            Some(row) => match wire::decode(&row.value) {
                Ok(record) if self.may_release(&record) => Condition::VersionIs(row.version),
                _ => return Ok(()),
            },
        };
        let inner = &self.0;
        match inner
            .ledger
            .put_entry(&inner.key, &inner.record, condition)
            .await
        {
            WriteResult::Done(_) => Ok(()),
            // A delayed write of this attempt may have caused the refusal, so the row may still
            // belong to it.
            WriteResult::Refused(_) | WriteResult::Unavailable { .. } => Err(self),
        }
    }

    fn may_release(&self, record: &LedgerRecord) -> bool {
        let is_ours = record.attempt == self.0.record.attempt;
        is_ours && matches!(record.state, RecordState::Claimed | RecordState::Dispatched)
    }
}
