//! Acquisition of a call's row by an attempt.

use verbenahead_services::{Condition, Row, Version};

use crate::{
    errors::Result,
    ledger::{
        attempt::AttemptInner,
        begin::{BeginRequest, Ledger},
        record::{Claimant, RecordState, RowStatus},
        wire,
    },
    retry::WriteResult,
    time::UnixMillis,
};

/// Result of [`Ledger::acquire`].
pub(crate) enum AcquireOutcome {
    Acquired(Box<AttemptInner>),
    Occupied(RowStatus),
    Unavailable(Box<AttemptInner>),
}

/// What an attempt may do with an existing row.
enum RowAccess {
    /// The row was written by an earlier try of this attempt's own write.
    AlreadyOurs,
    /// The row may be taken over with a write conditional on its version.
    Claimable {
        /// Requests received before this time must not claim the row.
        claimable_from: UnixMillis,
    },
    /// The row must not be written. The caller is answered from it.
    Occupied(RowStatus),
}

impl Ledger {
    /// Tries to write the record to an absent row. If that is refused, tries once more over the
    /// row that the refusal returned. If the row has changed again by then, another attempt has
    /// it, and this one does not try any further.
    pub(crate) async fn acquire(
        &self,
        req: &BeginRequest,
        mut inner: Box<AttemptInner>,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> AcquireOutcome {
        let row = match inner.put(Condition::Absent).await {
            WriteResult::Done(versions) => return inner.acquired(versions[0]),
            WriteResult::Refused(refusal) => refusal.actual,
            WriteResult::Unavailable { .. } => return AcquireOutcome::Unavailable(inner),
        };
        let Some(row) = row else {
            return AcquireOutcome::Occupied(self.in_progress());
        };
        match self.row_access(req, &inner.record.state, &row, &is_gone) {
            Ok(RowAccess::AlreadyOurs) => return inner.acquired(row.version),
            Ok(RowAccess::Occupied(status)) => return AcquireOutcome::Occupied(status),
            Ok(RowAccess::Claimable { claimable_from }) => {
                inner.raise_claimable_from(claimable_from);
            }
            Err(_) => return AcquireOutcome::Unavailable(inner),
        }
        match inner.put(Condition::VersionIs(row.version)).await {
            WriteResult::Done(versions) => inner.acquired(versions[0]),
            WriteResult::Refused(refusal) => self.after_conflict(req, inner, refusal.actual),
            WriteResult::Unavailable { .. } => AcquireOutcome::Unavailable(inner),
        }
    }

    /// Determines the outcome when the row changed between the attempt's read and its write.
    fn after_conflict(
        &self,
        req: &BeginRequest,
        inner: Box<AttemptInner>,
        row: Option<Row>,
    ) -> AcquireOutcome {
        let Some(row) = row else {
            return AcquireOutcome::Occupied(self.in_progress());
        };
        match self.row_access(req, &inner.record.state, &row, &|_| false) {
            Ok(RowAccess::AlreadyOurs) => inner.acquired(row.version),
            Ok(RowAccess::Occupied(status)) => AcquireOutcome::Occupied(status),
            Ok(RowAccess::Claimable { .. }) => AcquireOutcome::Occupied(self.in_progress()),
            Err(_) => AcquireOutcome::Unavailable(inner),
        }
    }

    fn row_access(
        &self,
        req: &BeginRequest,
        new_state: &RecordState,
        row: &Row,
        is_gone: &(impl Fn(&Claimant) -> bool + Send),
    ) -> Result<RowAccess> {
        let record = wire::decode(&row.value)?;
        if record.attempt == req.attempt {
            return Ok(RowAccess::AlreadyOurs);
        }
        let is_same_call = record.fingerprint == req.fingerprint;
        let is_free = match record.state {
            RecordState::Released => true,
            RecordState::Claimed => {
                let age = req.now.since(record.began_at);
                age >= self.options().claim_timeout || is_gone(&record.claimant)
            }
            RecordState::Dispatched | RecordState::Answered(_) => false,
        };
        let is_late_enough = match new_state {
            RecordState::Released => true,
            _ => req.received_at >= record.claimable_from,
        };
        if is_same_call && is_free && is_late_enough {
            return Ok(RowAccess::Claimable {
                claimable_from: record.claimable_from,
            });
        }
        Ok(RowAccess::Occupied(
            self.row_status(record, req.fingerprint),
        ))
    }
}

impl AttemptInner {
    async fn put(&self, condition: Condition) -> WriteResult {
        self.ledger
            .put_entry(&self.key, &self.record, condition)
            .await
    }

    fn acquired(mut self: Box<Self>, version: Version) -> AcquireOutcome {
        self.version = Some(version);
        AcquireOutcome::Acquired(self)
    }

    fn raise_claimable_from(&mut self, claimable_from: UnixMillis) {
        self.record.claimable_from = self.record.claimable_from.max(claimable_from);
    }
}
