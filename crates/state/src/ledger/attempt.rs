//! Life cycle of one attempt to run a call: [`Claimed`], then [`Dispatched`], then released or
//! settled.

use std::marker::PhantomData;

use tokio::time::Instant;
use verbenahead_core::{AttemptId, invariant};
use verbenahead_services::{Row, Version};

use crate::{
    ledger::{
        abandoned::AbandonedAttempt,
        begin::Ledger,
        key::LedgerKey,
        record::{LedgerRecord, RecordState, RecordedAnswer, RowStatus},
        wire,
    },
    retry::WriteResult,
};

/// `Claimed` is the stage of an attempt that holds the row and has sent nothing.
#[derive(Debug)]
pub enum Claimed {}

/// `Dispatched` is the stage of an attempt whose row is known to be in the state `dispatched`.
#[derive(Debug)]
pub enum Dispatched {}

/// State of an attempt: its row, and the version of the write that acquired the row.
#[derive(Debug, Clone)]
pub(crate) struct AttemptInner {
    pub(crate) ledger: Ledger,
    pub(crate) key: LedgerKey,
    pub(crate) record: LedgerRecord,
    pub(crate) version: Option<Version>,
    /// Time at which the attempt started, on the monotonic clock.
    pub(crate) started: Instant,
}

/// `Attempt` is one attempt to run a call. It cannot be copied, and each step consumes it.
///
/// The futures of its steps must run to completion: one that is dropped early leaves a write whose
/// outcome is unknown.
#[must_use = "an attempt must be dispatched, released or settled"]
#[derive(Debug)]
pub struct Attempt<Stage> {
    inner: Box<AttemptInner>,
    version: Version,
    stage: PhantomData<fn() -> Stage>,
}

/// `NotRunProof` shows that the call has not run and that no request received before the proof
/// expires can run it.
///
/// The row was written as released, and no attempt may claim a released row until the release
/// cooldown is over. The proof expires earlier, by a margin for the clock skew between two nodes.
#[must_use = "only a proof permits the answer `not_run`"]
#[derive(Debug)]
pub struct NotRunProof {
    valid_until: Instant,
}

impl NotRunProof {
    pub(crate) fn new(valid_until: Instant) -> Self {
        Self { valid_until }
    }

    /// Returns whether the proof has not expired at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}

/// `DispatchOutcome` is the result of [`Attempt::dispatch`].
#[must_use = "only a dispatched attempt may be sent"]
#[derive(Debug)]
pub enum DispatchOutcome {
    /// The call may be sent, once.
    Dispatched(Attempt<Dispatched>),
    /// Another attempt has taken over the row. The caller is answered from it.
    Fenced(RowStatus),
    /// The table did not respond in time. The call must not be sent.
    Unavailable(AbandonedAttempt),
}

/// `ReleaseOutcome` is the result of giving up an attempt that sent nothing, and of
/// [`Ledger::refuse`].
#[must_use = "only a proof permits the answer `not_run`"]
#[derive(Debug)]
pub enum ReleaseOutcome {
    /// The call did not run.
    NotRun(NotRunProof),
    /// Another attempt holds the row. The caller is answered from it.
    Occupied(RowStatus),
    /// The table did not respond in time.
    Unavailable(AbandonedAttempt),
}

/// `SettleOutcome` is the result of [`Attempt::settle`].
#[must_use = "an answer that is not recorded must be recorded later"]
#[derive(Debug)]
pub enum SettleOutcome {
    /// The row holds the answer.
    Recorded,
    /// The row holds an answer from another source, such as [`Ledger::resolve`], or has expired.
    Superseded,
    /// The table did not respond in time.
    Unrecorded(UnrecordedAnswer),
}

/// `UnrecordedAnswer` is an answer that the row may not hold yet.
#[must_use = "an unrecorded answer must be recorded when the table is available again"]
#[derive(Debug)]
pub struct UnrecordedAnswer {
    attempt: Attempt<Dispatched>,
    answer: RecordedAnswer,
}

impl UnrecordedAnswer {
    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        self.attempt.key()
    }

    /// Tries again to record the answer.
    pub async fn record(self) -> SettleOutcome {
        self.attempt.settle(self.answer).await
    }
}

impl<Stage> Attempt<Stage> {
    /// Returns the id of the attempt.
    pub fn id(&self) -> AttemptId {
        self.inner.record.attempt
    }

    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        &self.inner.key
    }

    /// Gives up an attempt that sent nothing.
    async fn give_up(mut self) -> ReleaseOutcome {
        let valid_until = self.inner.mark_released();
        let inner = self.inner;
        match inner.write(self.version).await {
            WriteResult::Done(_) => ReleaseOutcome::NotRun(NotRunProof::new(valid_until)),
            WriteResult::Refused(refusal) => match inner.after_refusal(refusal.actual) {
                AfterRefusal::Ours(_) => ReleaseOutcome::NotRun(NotRunProof::new(valid_until)),
                AfterRefusal::Occupied(status) => ReleaseOutcome::Occupied(status),
                AfterRefusal::Malformed => {
                    ReleaseOutcome::Unavailable(AbandonedAttempt::new(inner))
                }
            },
            WriteResult::Unavailable { .. } => {
                ReleaseOutcome::Unavailable(AbandonedAttempt::new(inner))
            }
        }
    }
}

impl Attempt<Claimed> {
    /// Records that the call is about to be sent.
    ///
    /// The write is retried with the same condition until its outcome is known. A retry that
    /// takes effect changes the version of the row, so an earlier write that is still in flight
    /// is refused when it arrives.
    pub async fn dispatch(mut self) -> DispatchOutcome {
        self.inner.record.state = RecordState::Dispatched;
        let inner = self.inner;
        match inner.write(self.version).await {
            WriteResult::Done(versions) => {
                DispatchOutcome::Dispatched(Attempt::new(inner, versions[0]))
            }
            WriteResult::Refused(refusal) => match inner.after_refusal(refusal.actual) {
                AfterRefusal::Ours(version) => {
                    DispatchOutcome::Dispatched(Attempt::new(inner, version))
                }
                AfterRefusal::Occupied(status) => DispatchOutcome::Fenced(status),
                AfterRefusal::Malformed => {
                    DispatchOutcome::Unavailable(AbandonedAttempt::new(inner))
                }
            },
            WriteResult::Unavailable { .. } => {
                DispatchOutcome::Unavailable(AbandonedAttempt::new(inner))
            }
        }
    }

    /// Gives up the claim. Other attempts may claim the row after the release cooldown.
    pub async fn release(self) -> ReleaseOutcome {
        self.give_up().await
    }
}

impl Attempt<Dispatched> {
    /// Records the upstream's answer.
    pub async fn settle(mut self, answer: RecordedAnswer) -> SettleOutcome {
        let answer = answer.bounded(self.inner.ledger.options().max_body);
        self.inner.record.state = RecordState::Answered(answer.clone());
        let written = self.inner.write(self.version).await;
        let actual = match written {
            WriteResult::Done(_) => return SettleOutcome::Recorded,
            WriteResult::Refused(refusal) => refusal.actual,
            WriteResult::Unavailable { .. } => {
                return SettleOutcome::Unrecorded(self.unrecorded(answer));
            }
        };
        let Some(row) = actual else {
            return SettleOutcome::Superseded;
        };
        match wire::decode(&row.value) {
            Ok(record) if record == self.inner.record => SettleOutcome::Recorded,
            Ok(record) => {
                self.inner.check_superseded(&record);
                SettleOutcome::Superseded
            }
            Err(_) => SettleOutcome::Unrecorded(self.unrecorded(answer)),
        }
    }

    fn unrecorded(self, answer: RecordedAnswer) -> UnrecordedAnswer {
        UnrecordedAnswer {
            attempt: self,
            answer,
        }
    }

    /// Gives up the attempt because none of its bytes were sent, for example when no connection
    /// to an upstream could be opened.
    ///
    /// The caller guarantees that nothing was sent. Once a byte has been sent, the outcome is
    /// unknown and the attempt must be dropped instead.
    pub async fn withdraw(self) -> ReleaseOutcome {
        self.give_up().await
    }
}

impl<Stage> Attempt<Stage> {
    /// Builds an attempt from a row that it has acquired.
    pub(crate) fn from_acquired(inner: Box<AttemptInner>) -> Self {
        let version = inner.version.expect("an acquired row has a version");
        Self::new(inner, version)
    }

    fn new(inner: Box<AttemptInner>, version: Version) -> Self {
        Self {
            inner,
            version,
            stage: PhantomData,
        }
    }
}

/// Meaning of a refused write of an attempt.
enum AfterRefusal {
    /// An earlier try of the same write took effect with this version.
    Ours(Version),
    /// The row no longer belongs to this attempt.
    Occupied(RowStatus),
    /// The row cannot be decoded.
    Malformed,
}

impl AttemptInner {
    /// Sets the state to released as of now. Returns the time at which the resulting
    /// [`NotRunProof`] expires.
    pub(crate) fn mark_released(&mut self) -> Instant {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started);
        let options = self.ledger.options();
        self.record.state = RecordState::Released;
        self.record.claimable_from = (self.record.began_at)
            .saturating_add(elapsed)
            .saturating_add(options.release_cooldown);
        now + options.proof_validity()
    }

    async fn write(&self, version: Version) -> WriteResult {
        self.ledger.put_row(&self.key, &self.record, version).await
    }

    fn after_refusal(&self, row: Option<Row>) -> AfterRefusal {
        let Some(row) = row else {
            return AfterRefusal::Occupied(self.ledger.in_progress());
        };
        let Ok(record) = wire::decode(&row.value) else {
            return AfterRefusal::Malformed;
        };
        if record == self.record {
            return AfterRefusal::Ours(row.version);
        }
        AfterRefusal::Occupied(self.ledger.row_status(record, self.record.fingerprint))
    }

    /// Checks that the dispatched row was changed only by an answer from another source or taken
    /// over only after it expired.
    fn check_superseded(&self, record: &LedgerRecord) {
        let is_answered = matches!(record.state, RecordState::Answered(_));
        let has_expired = record.began_at >= self.record.expires_at;
        invariant!(
            "dispatched_row_is_not_taken",
            is_answered || has_expired,
            "row {} of attempt {} is {} by attempt {}",
            self.key,
            self.record.attempt,
            record.state,
            record.attempt
        );
    }
}
