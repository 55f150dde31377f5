//! Attempts that were given up while the table was unavailable.

use verbenahead_services::Condition;

use crate::{
    ledger::{
        attempt::Held,
        key::LedgerKey,
        record::{LedgerRecord, RecordState},
        wire,
    },
    retry::WriteResult,
};

/// `Abandoned` is an attempt that sent nothing and never will, but whose row may not say so,
/// because the table gave no answer in time.
#[must_use = "an abandoned attempt is to be recorded when the table answers again"]
#[derive(Debug)]
pub struct Abandoned(Box<Held>);

impl Abandoned {
    pub(crate) fn new(held: Box<Held>) -> Self {
        Self(held)
    }

    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        &self.0.key
    }

    /// Releases the row if it belongs to this attempt, so that others need not wait.
    ///
    /// A write of this attempt that is still on its way is refused afterwards. A row of another
    /// attempt stays as it is.
    ///
    /// # Errors
    ///
    /// The attempt itself when the table gave no answer in time.
    pub async fn record(mut self) -> std::result::Result<(), Self> {
        self.0.mark_released();
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
        let held = &self.0;
        match held
            .ledger
            .put_entry(&held.key, &held.record, condition)
            .await
        {
            WriteResult::Done(_) => Ok(()),
            // The refusal may be due to a write of our own that was still on its way.
            WriteResult::Refused(_) | WriteResult::Unavailable { .. } => Err(self),
        }
    }

    fn may_release(&self, record: &LedgerRecord) -> bool {
        let is_ours = record.attempt == self.0.record.attempt;
        is_ours && matches!(record.state, RecordState::Claimed | RecordState::Dispatched)
    }
}
