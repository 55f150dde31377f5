//! Start of attempts, and handling of failed and interrupted ones.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep, timeout};
use verbenahead_core::{AttemptId, units::Tokens};
use verbenahead_manifest::ServiceKind;
use verbenahead_policy::{
    Choice, FailedAttempt, GiveUpReason, RetryCause, RetryDecision, RetryRequest,
};
use verbenahead_relay::{
    clock::policy_time,
    upstream::{OutstandingRequest, UpstreamEntry},
};
use verbenahead_upstream::{Error as UpstreamError, FrameStream, GenerateRequest};

use crate::callers::problem::ProblemKind;

use super::{GenerationTask, end::TaskEnd};

/// Why an attempt ended before the answer did.
#[derive(Debug)]
pub(super) enum Interruption {
    /// The connection stalled, but the upstream answers on new ones, so it may be used again.
    ConnectionLost,
    UpstreamFailed(UpstreamError),
    UpstreamLeaving,
}

/// One attempt at an upstream.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) upstream: Arc<UpstreamEntry>,
    pub(super) frames: FrameStream,
    pub(super) started: Instant,
    /// Length of the answer when the attempt started.
    pub(super) start_position: u64,
    pub(super) _work: OutstandingRequest,
}

impl GenerationTask {
    /// Starts an attempt, with retries, until an upstream accepts it.
    pub(super) async fn start_attempt(&mut self) -> Result<Attempt, TaskEnd> {
        loop {
            let Some((upstream, choice)) = self.choose_upstream() else {
                self.retry(RetryCause::Refused, &no_upstream()).await?;
                continue;
            };
            match self.open(&upstream, choice.uncached).await {
                Ok(attempt) => return Ok(attempt),
                Err(error) => self.handle_failed_start(upstream, &error).await?,
            }
        }
    }

    pub(super) fn choose_upstream(&self) -> Option<(Arc<UpstreamEntry>, Choice)> {
        let service = self.req.manifest.service(&self.req.service)?;
        let ServiceKind::Model(kind) = &service.kind else {
            return None;
        };
        let routing = &self.serving.routing;
        routing.choose_engine(service, kind, &self.routed_prompt, &self.avoided)
    }

    pub(super) async fn open(
        &mut self,
        upstream: &Arc<UpstreamEntry>,
        uncached: Tokens,
    ) -> Result<Attempt, UpstreamError> {
        let id = AttemptId::random(&mut rand::rng());
        let work = upstream.track_request(id.0 as u64, uncached);
        tracing::debug!(
            request = %self.req.id,
            attempt = %id,
            upstream = %upstream.address.upstream,
            position = self.tokens.len(),
            "attempt starts",
        );
        let req = GenerateRequest {
            attempt: id,
            model: self.req.model.clone(),
            prompt: self.req.prompt.clone(),
            generated: self.tokens.clone(),
            seed: self.req.seed,
            max_tokens: self.req.max_tokens,
            priority: self.req.priority,
        };
        let starting = self.serving.engine.generate(&upstream.address, req);
        let started = match timeout(self.req.progress_timeout, starting).await {
            Ok(started) => started?,
            Err(_) => {
                return Err(UpstreamError::interrupted(
                    "no answer within the progress timeout",
                ));
            }
        };
        if let Some(load) = started.load {
            upstream.record_load(&load);
        }
        let routing = &self.serving.routing;
        routing.on_sent(
            &self.req.service,
            &upstream.address.upstream,
            &self.routed_prompt,
        );
        Ok(Attempt {
            id,
            upstream: Arc::clone(upstream),
            frames: started.frames,
            started: Instant::now(),
            start_position: self.tokens.len() as u64,
            _work: work,
        })
    }

    pub(super) async fn handle_failed_start(
        &mut self,
        upstream: Arc<UpstreamEntry>,
        error: &UpstreamError,
    ) -> Result<(), TaskEnd> {
        tracing::info!(
            request = %self.req.id,
            upstream = %upstream.address.upstream,
            %error,
            "attempt did not start",
        );
        let cause = match error {
            UpstreamError::Refused { .. } => RetryCause::Refused,
            _ => RetryCause::Failure,
        };
        if cause == RetryCause::Failure {
            upstream.record_error(error);
        }
        self.avoided.push(upstream);
        self.retry(cause, error).await
    }

    /// Waits before the next attempt, or ends the request when the retry policy gives up. Attempts
    /// after progress do not come here and use no retry budget: `max_tokens` bounds their number.
    pub(super) async fn retry(
        &mut self,
        cause: RetryCause,
        error: &UpstreamError,
    ) -> Result<(), TaskEnd> {
        self.attempts_without_progress += 1;
        let req = RetryRequest {
            failed_attempt: FailedAttempt::Repeatable,
            cause,
            attempts: self.attempts_without_progress,
            deadline: policy_time(self.req.deadline),
            expected_time: Duration::ZERO,
            retry_after: None,
        };
        match self.serving.routing.decide_retry(&self.req.service, &req) {
            RetryDecision::RetryAfter(delay) => {
                sleep(delay).await;
                Ok(())
            }
            RetryDecision::GiveUp(reason) => Err(self.give_up(cause, reason, error)),
        }
    }

    pub(super) fn give_up(
        &self,
        cause: RetryCause,
        reason: GiveUpReason,
        error: &UpstreamError,
    ) -> TaskEnd {
        let kind = match (cause, reason) {
            (_, GiveUpReason::DeadlineUnreachable) => ProblemKind::DeadlineExceeded,
            (RetryCause::Refused, _) => ProblemKind::Overloaded,
            _ => ProblemKind::Unavailable,
        };
        let detail = format!("given up since {reason}; the last attempt failed: {error}");
        TaskEnd::Failed(self.problem(kind, &detail))
    }

    /// Drops the attempt, which cancels it at the upstream, and decides whether the answer is
    /// continued at once, after a delay or not at all.
    pub(super) async fn handle_interruption(
        &mut self,
        attempt: Attempt,
        interruption: Interruption,
    ) -> Result<(), TaskEnd> {
        tracing::info!(
            request = %self.req.id,
            attempt = %attempt.id,
            upstream = %attempt.upstream.address.upstream,
            position = self.tokens.len(),
            ?interruption,
            "attempt interrupted",
        );
        let has_progress = self.tokens.len() as u64 > attempt.start_position;
        let upstream = Arc::clone(&attempt.upstream);
        drop(attempt);
        if has_progress {
            self.attempts_without_progress = 0;
        }
        match interruption {
            Interruption::UpstreamLeaving => {
                let observer = &self.serving.observer;
                observer.stream_moved(&self.req.service, "recompute");
                Ok(())
            }
            Interruption::ConnectionLost if has_progress => Ok(()),
            Interruption::ConnectionLost => {
                let error = UpstreamError::interrupted("the connection went silent");
                self.retry(RetryCause::Failure, &error).await
            }
            Interruption::UpstreamFailed(error) => {
                self.serving.observer.attempt(&self.req.service, "failed");
                upstream.record_failure();
                self.avoided.push(upstream);
                if has_progress {
                    return Ok(());
                }
                self.retry(RetryCause::Failure, &error).await
            }
        }
    }
}

fn no_upstream() -> UpstreamError {
    UpstreamError::not_sent("no upstream is available")
}
