//! Life cycle of one attempt to run a call: `Claimed`, then `Dispatched`, then settled.

use std::marker::PhantomData;

use tokio::time::Instant;
use verbenahead_core::{AttemptId, invariant};
use verbenahead_services::{Row, Version};

use crate::{
    ledger::{
        abandoned::Abandoned,
        begin::Ledger,
        key::LedgerKey,
        record::{LedgerRecord, RecordState, RecordedAnswer, RowStatus},
        wire,
    },
    retry::WriteResult,
};

/// `Claimed` is the stage of an attempt that has the row and has sent nothing.
#[derive(Debug)]
pub enum Claimed {}

/// `Dispatched` is the stage of an attempt whose row is known to say `dispatched`.
#[derive(Debug)]
pub enum Dispatched {}

/// The row of an attempt, with the version that it wrote last if that is known.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) ledger: Ledger,
    pub(crate) key: LedgerKey,
    pub(crate) record: LedgerRecord,
    pub(crate) version: Option<Version>,
    /// Time at which the attempt began, on the monotonic clock.
    pub(crate) began: Instant,
}

/// `Attempt` is one attempt to run a call. It cannot be copied, and each step consumes it.
///
/// Its steps must not be cancelled: a step that is dropped half-way leaves its write unknown.
#[must_use = "an attempt is dispatched, released or settled"]
#[derive(Debug)]
pub struct Attempt<Stage> {
    held: Box<Held>,
    version: Version,
    stage: PhantomData<fn() -> Stage>,
}

/// `NotRunProof` shows that the call has not run and that no request which was received before
/// the proof ends can run it.
///
/// The row was written as released, and no attempt may claim a released row for a while. The proof
/// ends earlier than that while, by a margin for the difference between the clocks of two nodes.
#[must_use = "the proof is what allows the answer `not_run`"]
#[derive(Debug)]
pub struct NotRunProof {
    valid_until: Instant,
}

impl NotRunProof {
    pub(crate) fn new(valid_until: Instant) -> Self {
        Self { valid_until }
    }

    /// Returns whether the proof still holds.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}

/// `DispatchOutcome` is the answer to [`Attempt::dispatch`].
#[must_use = "only a dispatched attempt may be sent"]
#[derive(Debug)]
pub enum DispatchOutcome {
    /// The call may be sent, once.
    Dispatched(Attempt<Dispatched>),
    /// Another attempt has passed this one. The caller is answered from the row.
    Fenced(RowStatus),
    /// The table gave no answer in time. The call must not be sent.
    Unavailable(Abandoned),
}

/// `ReleaseOutcome` is the answer to giving up an attempt that sent nothing.
#[must_use = "only a proof allows the answer `not_run`"]
#[derive(Debug)]
pub enum ReleaseOutcome {
    /// The call did not run.
    NotRun(NotRunProof),
    /// Another attempt has passed this one. The caller is answered from the row.
    Occupied(RowStatus),
    /// The table gave no answer in time.
    Unavailable(Abandoned),
}

/// `SettleOutcome` is the answer to [`Attempt::settle`].
#[must_use = "an answer that is not recorded is to be recorded later"]
#[derive(Debug)]
pub enum SettleOutcome {
    /// The row holds the answer.
    Recorded,
    /// The row holds an answer that was found out in another way, or has expired.
    Superseded,
    /// The table gave no answer in time.
    Unrecorded(Unrecorded),
}

/// `Unrecorded` is an answer that the row does not hold yet, or not for sure.
#[must_use = "an unrecorded answer is to be recorded when the table answers again"]
#[derive(Debug)]
pub struct Unrecorded {
    attempt: Attempt<Dispatched>,
    answer: RecordedAnswer,
}

impl Unrecorded {
    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        self.attempt.key()
    }

    /// Records the answer again.
    pub async fn record(self) -> SettleOutcome {
        self.attempt.settle(self.answer).await
    }
}

impl<Stage> Attempt<Stage> {
    /// Returns the id of the attempt.
    pub fn id(&self) -> AttemptId {
        self.held.record.attempt
    }

    /// Returns the workspace and idempotency key.
    pub fn key(&self) -> &LedgerKey {
        &self.held.key
    }

    /// Gives up the attempt, of which nothing was sent.
    async fn give_up(mut self) -> ReleaseOutcome {
        let valid_until = self.held.mark_released();
        let held = self.held;
        match held.write(self.version).await {
            WriteResult::Done(_) => ReleaseOutcome::NotRun(NotRunProof::new(valid_until)),
            WriteResult::Refused(refusal) => match held.after_refusal(refusal.actual) {
                AfterRefusal::Ours(_) => ReleaseOutcome::NotRun(NotRunProof::new(valid_until)),
                AfterRefusal::Passed(reading) => ReleaseOutcome::Occupied(reading),
                AfterRefusal::Unreadable => ReleaseOutcome::Unavailable(Abandoned::new(held)),
            },
            WriteResult::Unavailable { .. } => ReleaseOutcome::Unavailable(Abandoned::new(held)),
        }
    }
}

impl Attempt<Claimed> {
    /// Writes that the call is about to be sent.
    ///
    /// The write is repeated with the same condition until its outcome is known. A repetition
    /// that takes effect changes the version, so an earlier one that is still on its way is
    /// refused when it arrives.
    pub async fn dispatch(mut self) -> DispatchOutcome {
        self.held.record.state = RecordState::Dispatched;
        let held = self.held;
        match held.write(self.version).await {
            WriteResult::Done(versions) => {
                DispatchOutcome::Dispatched(Attempt::new(held, versions[0]))
            }
            WriteResult::Refused(refusal) => match held.after_refusal(refusal.actual) {
                AfterRefusal::Ours(version) => {
                    DispatchOutcome::Dispatched(Attempt::new(held, version))
                }
                AfterRefusal::Passed(reading) => DispatchOutcome::Fenced(reading),
                AfterRefusal::Unreadable => DispatchOutcome::Unavailable(Abandoned::new(held)),
            },
            WriteResult::Unavailable { .. } => DispatchOutcome::Unavailable(Abandoned::new(held)),
        }
    }

    /// Gives up the claim. Other attempts may then claim the row.
    pub async fn release(self) -> ReleaseOutcome {
        self.give_up().await
    }
}

impl Attempt<Dispatched> {
    /// Records the answer of the upstream.
    pub async fn settle(mut self, answer: RecordedAnswer) -> SettleOutcome {
        let answer = answer.bounded(self.held.ledger.options().max_body);
        self.held.record.state = RecordState::Answered(answer.clone());
        let written = self.held.write(self.version).await;
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
            Ok(record) if record == self.held.record => SettleOutcome::Recorded,
            Ok(record) => {
                self.held.check_superseded(&record);
                SettleOutcome::Superseded
            }
            Err(_) => SettleOutcome::Unrecorded(self.unrecorded(answer)),
        }
    }

    fn unrecorded(self, answer: RecordedAnswer) -> Unrecorded {
        Unrecorded {
            attempt: self,
            answer,
        }
    }

    /// Gives up the attempt because not a byte of it was sent, for example when no connection to
    /// an upstream could be made.
    ///
    /// The caller vouches that nothing was sent. After a byte was sent, the outcome is unknown
    /// and the attempt is dropped instead.
    pub async fn withdraw(self) -> ReleaseOutcome {
        self.give_up().await
    }
}

impl<Stage> Attempt<Stage> {
    /// Builds an attempt whose row was written when it began.
    pub(crate) fn entered(held: Box<Held>) -> Self {
        let version = held.version.expect("a row that was written has a version");
        Self::new(held, version)
    }

    fn new(held: Box<Held>, version: Version) -> Self {
        Self {
            held,
            version,
            stage: PhantomData,
        }
    }
}

/// What a refused write of an attempt means.
enum AfterRefusal {
    /// An earlier repetition of the same write took effect with this version.
    Ours(Version),
    /// The row is not ours any more.
    Passed(RowStatus),
    /// The row cannot be read.
    Unreadable,
}

impl Held {
    /// Sets the state to released as of now. Returns the end of the proof that this gives.
    pub(crate) fn mark_released(&mut self) -> Instant {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.began);
        let options = self.ledger.options();
        self.record.state = RecordState::Released;
        self.record.claimable_from = (self.record.began_at)
            .saturating_add(elapsed)
            .saturating_add(options.quiet_period);
        now + options.proof_time()
    }

    async fn write(&self, version: Version) -> WriteResult {
        self.ledger.put_row(&self.key, &self.record, version).await
    }

    fn after_refusal(&self, row: Option<Row>) -> AfterRefusal {
        let Some(row) = row else {
            return AfterRefusal::Passed(self.ledger.in_progress());
        };
        let Ok(record) = wire::decode(&row.value) else {
            return AfterRefusal::Unreadable;
        };
        if record == self.record {
            return AfterRefusal::Ours(row.version);
        }
        AfterRefusal::Passed(self.ledger.reading(record, self.record.fingerprint))
    }

    /// Checks that a dispatched row was only answered in another way, or taken after it expired.
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
