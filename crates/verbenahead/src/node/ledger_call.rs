//! Non-idempotent calls to plain services, sent at most once with the help of the ledger.

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
        Attempt, BeginDispatchedOutcome, BeginRequest, Claimant, Dispatched, Evidence, LedgerKey,
        ReleaseOutcome, RowStatus, RunReport, SettleOutcome, recorder::PendingRecord,
    },
};
use verbenahead_upstream::{Error as UpstreamError, PlainCall, PlainReply};

use crate::node::{recorded_answer::record_reply, serving::ServingContext};

/// Maximum number of upstreams to connect to. Nothing is sent before a connection is established.
const MAX_CONNECT_TRIES: u32 = 3;

/// Multiple of the request timeout of the service for which a reply is awaited, so that a reply
/// that arrives after the caller was answered can still be recorded.
const LATE_ANSWER_FACTOR: u32 = 3;

/// `LedgerCall` is one non-idempotent call of a caller.
#[derive(Debug, Clone)]
pub struct LedgerCall {
    /// Workspace and idempotency key.
    pub key: LedgerKey,
    /// Digest of method, service, path and body, which detects reuse of a key for another call.
    pub fingerprint: Digest,
    /// Service that is called.
    pub service: ServiceId,
    /// Time for which the ledger keeps the answer.
    pub retention: Duration,
    /// Time within which the caller gets an answer.
    pub limit: Duration,
    /// Wall-clock time at which the request was received.
    pub received_at: UnixMillis,
    /// Call to send.
    pub call: PlainCall,
}

/// `LedgerCallResult` is the result of a non-idempotent call for its caller.
#[derive(Debug)]
pub enum LedgerCallResult {
    /// The upstream answered this request.
    Answered(PlainReply),
    /// The ledger row of another request with the same key decides the answer.
    FromRow(RowStatus),
    /// This request did not send the call.
    GivenUp {
        /// What is known about whether the call ran.
        report: RunReport,
        /// Why it was not sent.
        reason: String,
    },
    /// The call was sent and no complete answer arrived in time, so its outcome is `unknown`.
    Lost {
        /// Error of the call.
        reason: String,
    },
}

impl LedgerCall {
    /// Performs the call. It continues when the caller has disconnected or was answered, so that
    /// the outcome is still recorded in the ledger.
    pub async fn run(self, serving: Arc<ServingContext>) -> LedgerCallResult {
        let limit = self.limit;
        let (tx, rx) = oneshot::channel();
        let tracker = serving.work.clone();
        tracker.spawn(async move { self.execute(&serving, tx).await });
        match timeout(limit, rx).await {
            Ok(Ok(end)) => end,
            Ok(Err(_)) => LedgerCallResult::lost("the call broke off"),
            Err(_) => LedgerCallResult::lost("no whole answer within the time limit"),
        }
    }

    async fn execute(self, serving: &ServingContext, tx: oneshot::Sender<LedgerCallResult>) {
        let req = self.begin_request(serving);
        let is_gone = |claimant: &Claimant| serving.liveness.is_gone(claimant);
        if !serving.routing.has_ready(&self.service) {
            let outcome = serving.ledger.refuse(req, is_gone).await;
            give_up(serving, tx, outcome, "no upstream is available");
            return;
        }
        // An upstream is ready, so nothing has to be awaited between the claim of the row and the
        // send: a single write records both.
        match serving.ledger.begin_dispatched(req, is_gone).await {
            BeginDispatchedOutcome::Dispatched(attempt) => self.send(serving, attempt, tx).await,
            BeginDispatchedOutcome::Occupied(reading) => {
                notify(tx, LedgerCallResult::FromRow(reading));
            }
            BeginDispatchedOutcome::Unavailable(pending) => {
                let reason = "the ledger is not reachable";
                notify(tx, LedgerCallResult::row_not_read(reason));
                record_in_background(serving, pending);
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

    /// Sends the call. Another upstream is tried only when no connection to the last one was
    /// established.
    async fn send(
        self,
        serving: &ServingContext,
        attempt: Attempt<Dispatched>,
        tx: oneshot::Sender<LedgerCallResult>,
    ) {
        let mut tried: Vec<Arc<UpstreamEntry>> = Vec::new();
        let mut reason = "no upstream is available".to_owned();
        for _ in 0..MAX_CONNECT_TRIES {
            let Some(upstream) = self.choose_untried(serving, &tried) else {
                break;
            };
            match self.call_upstream(serving, &attempt, &upstream).await {
                Ok(reply) => {
                    settle(serving, attempt, reply, tx).await;
                    return;
                }
                Err(
                    UpstreamError::NotSent { reason: cause }
                    | UpstreamError::ConnectionRefused { reason: cause },
                ) => reason = cause,
                Err(error) => {
                    notify(tx, LedgerCallResult::lost(error));
                    return;
                }
            }
            tried.push(upstream);
        }
        give_up(serving, tx, attempt.withdraw().await, reason);
    }

    fn choose_untried(
        &self,
        serving: &ServingContext,
        tried: &[Arc<UpstreamEntry>],
    ) -> Option<Arc<UpstreamEntry>> {
        let chosen = serving.routing.choose_plain(&self.service, tried)?;
        let is_tried = tried.iter().any(|known| Arc::ptr_eq(known, &chosen));
        (!is_tried).then_some(chosen)
    }

    async fn call_upstream(
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

    fn row_not_read(reason: impl Into<String>) -> Self {
        Self::GivenUp {
            report: RunReport::decide(Evidence::RowNotRead, Instant::now()),
            reason: reason.into(),
        }
    }
}

/// Sends the result to the caller, unless it has disconnected.
fn notify(tx: oneshot::Sender<LedgerCallResult>, end: LedgerCallResult) {
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
        ReleaseOutcome::NotRun(_) => notify(tx, LedgerCallResult::GivenUp { report, reason }),
        ReleaseOutcome::Occupied(reading) => notify(tx, LedgerCallResult::FromRow(reading)),
        ReleaseOutcome::Unavailable(pending) => {
            notify(tx, LedgerCallResult::GivenUp { report, reason });
            record_in_background(serving, pending);
        }
    }
}

/// Records the answer, then returns it to the caller. When the table does not accept it in time,
/// the caller gets it without waiting any longer, and it is recorded in the background.
async fn settle(
    serving: &ServingContext,
    attempt: Attempt<Dispatched>,
    reply: PlainReply,
    tx: oneshot::Sender<LedgerCallResult>,
) {
    let outcome = attempt.settle(record_reply(&reply)).await;
    notify(tx, LedgerCallResult::Answered(reply));
    if let SettleOutcome::Unrecorded(pending_answer) = outcome {
        record_in_background(serving, pending_answer);
    }
}

/// Queues a record that the table did not accept in time, to be written when it answers again.
fn record_in_background(serving: &ServingContext, record: impl Into<PendingRecord>) {
    if let Err(record) = serving.recorder.submit(record) {
        tracing::error!(key = %record.key(), "recorder queue is full; ledger record dropped");
    }
}
