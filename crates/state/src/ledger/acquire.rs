//! The rules by which an attempt gets the row of its call.

use verbenahead_services::{Condition, Row, Version};

use crate::{
    errors::Result,
    ledger::{
        attempt::Held,
        begin::{BeginRequest, Ledger},
        record::{Claimant, RecordState, RowStatus},
        wire,
    },
    retry::WriteResult,
    time::UnixMillis,
};

/// Result of asking for a row.
pub(crate) enum Acquired {
    Held(Box<Held>),
    Occupied(RowStatus),
    Unavailable(Box<Held>),
}

/// What to do about a row that exists.
enum Judgement {
    /// An earlier repetition of our own write took effect.
    Ours,
    /// The row may be taken over with a write conditional on its version.
    Takeable {
        /// Time before which requests must have come to be shut out.
        claimable_from: UnixMillis,
    },
    /// The row is answered from.
    Occupied(RowStatus),
}

impl Ledger {
    /// Tries to write the record to an absent row, and after a refusal once more over the row that
    /// the refusal showed. An attempt reads the row once: when the row changes after that reading,
    /// the attempt has been passed and does not try again.
    pub(crate) async fn acquire(
        &self,
        req: &BeginRequest,
        mut held: Box<Held>,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> Acquired {
        let row = match held.enter(Condition::Absent).await {
            WriteResult::Done(versions) => return held.acquired(versions[0]),
            WriteResult::Refused(refusal) => refusal.actual,
            WriteResult::Unavailable { .. } => return Acquired::Unavailable(held),
        };
        let Some(row) = row else {
            return Acquired::Occupied(self.in_progress());
        };
        match self.judge(req, &held.record.state, &row, &is_gone) {
            Ok(Judgement::Ours) => return held.acquired(row.version),
            Ok(Judgement::Occupied(reading)) => return Acquired::Occupied(reading),
            Ok(Judgement::Takeable { claimable_from }) => held.shut_out_until(claimable_from),
            Err(_) => return Acquired::Unavailable(held),
        }
        match held.enter(Condition::VersionIs(row.version)).await {
            WriteResult::Done(versions) => held.acquired(versions[0]),
            WriteResult::Refused(refusal) => self.passed(req, held, refusal.actual),
            WriteResult::Unavailable { .. } => Acquired::Unavailable(held),
        }
    }

    /// Decides after the row changed between the reading and the write of an attempt.
    fn passed(&self, req: &BeginRequest, held: Box<Held>, row: Option<Row>) -> Acquired {
        let Some(row) = row else {
            return Acquired::Occupied(self.in_progress());
        };
        match self.judge(req, &held.record.state, &row, &|_| false) {
            Ok(Judgement::Ours) => held.acquired(row.version),
            Ok(Judgement::Occupied(reading)) => Acquired::Occupied(reading),
            Ok(Judgement::Takeable { .. }) => Acquired::Occupied(self.in_progress()),
            Err(_) => Acquired::Unavailable(held),
        }
    }

    fn judge(
        &self,
        req: &BeginRequest,
        wanted: &RecordState,
        row: &Row,
        is_gone: &(impl Fn(&Claimant) -> bool + Send),
    ) -> Result<Judgement> {
        let record = wire::decode(&row.value)?;
        if record.attempt == req.attempt {
            return Ok(Judgement::Ours);
        }
        let is_same_call = record.fingerprint == req.fingerprint;
        let is_free = match record.state {
            RecordState::Released => true,
            RecordState::Claimed => {
                let age = req.now.since(record.began_at);
                age >= self.options().claim_limit || is_gone(&record.claimant)
            }
            RecordState::Dispatched | RecordState::Answered(_) => false,
        };
        let may_enter = match wanted {
            RecordState::Released => true,
            _ => req.received_at >= record.claimable_from,
        };
        if is_same_call && is_free && may_enter {
            return Ok(Judgement::Takeable {
                claimable_from: record.claimable_from,
            });
        }
        Ok(Judgement::Occupied(self.reading(record, req.fingerprint)))
    }
}

impl Held {
    async fn enter(&self, condition: Condition) -> WriteResult {
        self.ledger
            .put_entry(&self.key, &self.record, condition)
            .await
    }

    fn acquired(mut self: Box<Self>, version: Version) -> Acquired {
        self.version = Some(version);
        Acquired::Held(self)
    }

    fn shut_out_until(&mut self, claimable_from: UnixMillis) {
        self.record.claimable_from = self.record.claimable_from.max(claimable_from);
    }
}
