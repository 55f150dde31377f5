//! A non-idempotent call, sent at most once under the ledger.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{Instant, timeout},
};
use verbenahead_core::{AttemptId, Digest, ServiceId, invariant, units::Tokens};
use verbenahead_relay::upstream::UpstreamEntry;
use verbenahead_state::{
    UnixMillis,
    ledger::{
        Attempt, BeginRequest, Claimant, DirectOutcome, Dispatched, Evidence, LedgerKey,
        ReleaseOutcome, RowReading, RunReport, SettleOutcome, recorder::Unfinished,
    },
};
use verbenahead_upstream::{Error as UpstreamError, PlainCall, PlainReply};

use crate::node::{recorded_answer::record_reply, serving::ServingContext};

/// Most upstreams to which a connection is tried. Nothing is sent before one is made.
const MAX_CONNECT_TRIES: u32 = 3;

/// How many times the time limit of the service an answer is waited for, so that it can be
/// recorded although its caller was answered already.
const LATE_ANSWER_FACTOR: u32 = 3;

/// `LedgerCall` is one non-idempotent call of a caller.
#[derive(Debug, Clone)]
pub struct LedgerCall {
    /// Workspace and idempotency key.
    pub key: LedgerKey,
    /// Digest of the call.
    pub fingerprint: Digest,
    /// Service that is called.
    pub service: ServiceId,
    /// Time for which the ledger keeps the answer.
    pub retention: Duration,
    /// Time within which the caller is answered.
    pub limit: Duration,
    /// Wall-clock time at which the request was received.
    pub received_at: UnixMillis,
    /// The call.
    pub call: PlainCall,
}

/// `LedgerCallEnd` is how a non-idempotent call ended for its caller.
#[derive(Debug)]
pub enum LedgerCallResult {
    /// The upstream answered this request.
    Answered(PlainReply),
    /// The row told what to answer.
    FromRow(RowReading),
    /// The call was given up before it was sent.
    GivenUp {
        /// What is known about the run.
        report: RunReport,
        /// Why it was given up.
        reason: String,
    },
    /// The call was sent and no whole answer came in time.
    Lost {
        /// What went wrong.
        reason: String,
    },
}

impl LedgerCall {
    /// Carries out the call. Its steps go on when the caller has gone or was answered, so that the
    /// ledger learns the outcome.
    pub async fn run(self, serving: Arc<ServingContext>) -> LedgerCallResult {
        let limit = self.limit;
        let (tx, rx) = oneshot::channel();
        let tracker = serving.work.clone();
        tracker.spawn(async move { self.carry_out(&serving, tx).await });
        match timeout(limit, rx).await {
            Ok(Ok(end)) => end,
            Ok(Err(_)) => LedgerCallResult::lost("the call broke off"),
            Err(_) => LedgerCallResult::lost("no whole answer within the time limit"),
        }
    }

    async fn carry_out(self, serving: &ServingContext, tx: oneshot::Sender<LedgerCallResult>) {
        let req = self.begin_request(serving);
        let is_gone = |claimant: &Claimant| serving.liveness.is_gone(claimant);
        if !serving.routing.has_ready(&self.service) {
            let outcome = serving.ledger.refuse(req, is_gone).await;
            give_up(serving, tx, outcome, "no upstream is available");
            return;
        }
        // One write claims the row and says that the call is about to be sent, since an upstream
        // is there and nothing is waited for.
        match serving.ledger.begin_dispatched(req, is_gone).await {
            DirectOutcome::Dispatched(attempt) => self.send(serving, attempt, tx).await,
            DirectOutcome::Occupied(reading) => answer(tx, LedgerCallResult::FromRow(reading)),
            DirectOutcome::Unavailable(abandoned) => {
                let reason = "the ledger is not reachable";
                answer(tx, LedgerCallResult::without_reading(reason));
                record_later(serving, abandoned);
            }
        }
    }

    fn begin_request(&self, serving: &ServingContext) -> BeginRequest {
        BeginRequest {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            attempt: AttemptId::random(&mut rand::rng()),
            claimant: serving.claimant.clone(),
            retention: self.retention,
            received_at: self.received_at,
            now: UnixMillis::now(),
        }
    }

    /// Sends the call. Further upstreams are tried only as long as no connection was made.
    async fn send(
        self,
        serving: &ServingContext,
        attempt: Attempt<Dispatched>,
        tx: oneshot::Sender<LedgerCallResult>,
    ) {
        let mut tried: Vec<Arc<UpstreamEntry>> = Vec::new();
        let mut reason = "no upstream is available".to_owned();
        for _ in 0..MAX_CONNECT_TRIES {
            let Some(upstream) = self.choose(serving, &tried) else {
                break;
            };
            match self.call_once(serving, &attempt, &upstream).await {
                Ok(reply) => {
                    settle(serving, attempt, reply, tx).await;
                    return;
                }
                Err(UpstreamError::NotSent { reason: cause }) => reason = cause,
                Err(error) => {
                    answer(tx, LedgerCallResult::lost(error));
                    return;
                }
            }
            tried.push(upstream);
        }
        give_up(serving, tx, attempt.withdraw().await, reason);
    }

    fn choose(
        &self,
        serving: &ServingContext,
        tried: &[Arc<UpstreamEntry>],
    ) -> Option<Arc<UpstreamEntry>> {
        let chosen = serving.routing.choose_plain(&self.service, tried)?;
        let is_tried = tried.iter().any(|known| Arc::ptr_eq(known, &chosen));
        (!is_tried).then_some(chosen)
    }

    async fn call_once(
        &self,
        serving: &ServingContext,
        attempt: &Attempt<Dispatched>,
        upstream: &Arc<UpstreamEntry>,
    ) -> Result<PlainReply, UpstreamError> {
        invariant!(
            "no_repetition_of_a_non_idempotent_call",
            !self.call.is_idempotent,
            "{} is marked idempotent",
            self.key
        );
        let _work = upstream.track_request(attempt.id().0 as u64, Tokens::default());
        tracing::info!(
            key = %self.key,
            attempt = %attempt.id(),
            upstream = %upstream.address.upstream,
            "non-idempotent call sent",
        );
        let limit = self.limit * LATE_ANSWER_FACTOR;
        serving
            .plain
            .call(&upstream.address, &self.call, limit)
            .await
    }
}

impl LedgerCallResult {
    fn lost(reason: impl ToString) -> Self {
        Self::Lost {
            reason: reason.to_string(),
        }
    }

    fn without_reading(reason: impl Into<String>) -> Self {
        Self::GivenUp {
            report: RunReport::decide(Evidence::NoReading, Instant::now()),
            reason: reason.into(),
        }
    }
}

/// Tells the caller, unless it has gone.
fn answer(tx: oneshot::Sender<LedgerCallResult>, end: LedgerCallResult) {
    let _ = tx.send(end);
}

fn give_up(
    serving: &ServingContext,
    tx: oneshot::Sender<LedgerCallResult>,
    outcome: ReleaseOutcome,
    reason: impl Into<String>,
) {
    let report = outcome.report(Instant::now());
    let reason = reason.into();
    match outcome {
        ReleaseOutcome::NotRun(_) => answer(tx, LedgerCallResult::GivenUp { report, reason }),
        ReleaseOutcome::Passed(reading) => answer(tx, LedgerCallResult::FromRow(reading)),
        ReleaseOutcome::Unavailable(abandoned) => {
            answer(tx, LedgerCallResult::GivenUp { report, reason });
            record_later(serving, abandoned);
        }
    }
}

/// Records the answer, then tells the caller. An answer that the table does not take in time is
/// told at once and recorded later.
async fn settle(
    serving: &ServingContext,
    attempt: Attempt<Dispatched>,
    reply: PlainReply,
    tx: oneshot::Sender<LedgerCallResult>,
) {
    let outcome = attempt.settle(record_reply(&reply)).await;
    answer(tx, LedgerCallResult::Answered(reply));
    if let SettleOutcome::Unrecorded(unrecorded) = outcome {
        record_later(serving, unrecorded);
    }
}

/// Records what the table did not take in time once it answers again.
fn record_later(serving: &ServingContext, unfinished: impl Into<Unfinished>) {
    if let Err(unfinished) = serving.recorder.submit(unfinished) {
        tracing::error!(key = %unfinished.key(), "too much waits to be recorded");
    }
}
