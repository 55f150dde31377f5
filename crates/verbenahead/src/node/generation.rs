//! The task that carries out one model request, over as many attempts as it takes.

use std::{sync::Arc, time::Duration};

use futures_util::StreamExt;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};
use verbenahead_core::{AttemptId, RequestId, ServiceId, WorkspaceId, invariant, units::Tokens};
use verbenahead_manifest::{Manifest, ServiceKind};
use verbenahead_policy::{
    Attempted, Choice, GiveUpReason, RetryCause, RetryDecision, RetryRequest,
};
use verbenahead_upstream::{
    Error as UpstreamError, FinishReason, Frame, FrameEvent, FrameStream, GenerateRequest,
};

use crate::{
    callers::problem::{Problem, ProblemKind},
    node::{
        answer::AnswerEvent,
        answer_times::AnswerTimes,
        journal_writer::{JournalWriter, TakenOver},
        policy_clock::policy_time,
        routing::RoutedPrompt,
        serving::Serving,
        silence_probe::{Silence, StreamWatch},
        upstream_entry::{OutstandingWork, UpstreamEntry, UpstreamStatus},
    },
};

/// Time to tell callers to wait before the next try.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Margin before the stop of an upstream within which its answers have moved.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);

/// `GenerationRequest` is one admitted model request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Service that answers.
    pub service: ServiceId,
    /// Manifest under which the request was admitted.
    pub manifest: Arc<Manifest>,
    /// Name of the model.
    pub model: String,
    /// Prompt as one text.
    pub prompt: String,
    /// Seed of the sampling.
    pub seed: u64,
    /// Most tokens of the answer.
    pub max_tokens: Tokens,
    /// Priority from 0 to 255.
    pub priority: u8,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
    /// Longest time without progress of an attempt.
    pub progress_timeout: Duration,
}

/// `Generation` carries out one request and sends its events to the caller.
pub struct Generation {
    serving: Arc<Serving>,
    req: GenerationRequest,
    journal: JournalWriter,
    events: mpsc::Sender<AnswerEvent>,
    /// Tokens of the answer so far.
    tokens: Vec<String>,
    /// Number of tokens that the caller has already, or has in this answer.
    delivered: u64,
    routed: RoutedPrompt,
    times: AnswerTimes,
    /// Attempts since the answer last made progress.
    fruitless_attempts: u32,
    avoided: Vec<Arc<UpstreamEntry>>,
}

/// How a generation ended.
#[derive(Debug)]
enum Ending {
    Finished(FinishReason),
    CallerGone,
    NodeLeaving,
    TakenOver,
    Failed(Problem),
}

/// How one attempt ended, when the answer goes on.
#[derive(Debug)]
enum Interruption {
    /// The upstream answers on new connections, so the answer may go on there.
    ConnectionLost,
    UpstreamFailed(UpstreamError),
    UpstreamLeaving,
}

/// One attempt at an upstream.
struct Attempt {
    id: AttemptId,
    upstream: Arc<UpstreamEntry>,
    frames: FrameStream,
    started: Instant,
    start_position: u64,
    _work: OutstandingWork,
}

impl Generation {
    /// Builds a generation that continues after `tokens`. The caller gets events from position
    /// `delivered` on, which may be before or after the end of `tokens`.
    pub fn new(
        serving: Arc<Serving>,
        req: GenerationRequest,
        journal: JournalWriter,
        events: mpsc::Sender<AnswerEvent>,
        tokens: Vec<String>,
        delivered: u64,
    ) -> Self {
        let routed = serving
            .routing
            .read_prompt(&req.service, &req.model, &req.prompt);
        Self {
            serving,
            req,
            journal,
            events,
            tokens,
            delivered,
            routed,
            times: AnswerTimes::start(),
            fruitless_attempts: 0,
            avoided: Vec::new(),
        }
    }

    /// Runs until the answer has ended or the caller has gone. Returns the length of the answer.
    pub async fn run(mut self) -> Tokens {
        let ending = match self.replay().await {
            Ok(()) => self.attempt_until_end().await,
            Err(ending) => ending,
        };
        self.finish(ending).await
    }

    /// Sends the tokens that are known already and that the caller does not have.
    async fn replay(&mut self) -> Result<(), Ending> {
        while self.delivered < self.tokens.len() as u64 {
            let text = self.tokens[self.delivered as usize].clone();
            self.send_token(text).await?;
        }
        Ok(())
    }

    async fn attempt_until_end(&mut self) -> Ending {
        loop {
            let mut attempt = match self.start_attempt().await {
                Ok(attempt) => attempt,
                Err(ending) => return ending,
            };
            let interruption = match self.follow(&mut attempt).await {
                Ok(reason) => {
                    attempt.upstream.record_success();
                    self.serving.observer.attempt(&self.req.service, "answered");
                    self.serving.routing.on_success(&self.req.service);
                    return Ending::Finished(reason);
                }
                Err(Stop::Ended(ending)) => return ending,
                Err(Stop::Interrupted(interruption)) => interruption,
            };
            if let Err(ending) = self.after_interruption(attempt, interruption).await {
                return ending;
            }
        }
    }

    async fn start_attempt(&mut self) -> Result<Attempt, Ending> {
        loop {
            let Some((upstream, choice)) = self.choose_upstream() else {
                self.retry(RetryCause::Refused, &no_upstream()).await?;
                continue;
            };
            match self.open(&upstream, choice.uncached).await {
                Ok(attempt) => return Ok(attempt),
                Err(error) => self.after_failed_start(upstream, &error).await?,
            }
        }
    }

    fn choose_upstream(&self) -> Option<(Arc<UpstreamEntry>, Choice)> {
        let service = self.req.manifest.service(&self.req.service)?;
        let ServiceKind::Model(kind) = &service.kind else {
            return None;
        };
        let routing = &self.serving.routing;
        routing.choose_engine(service, kind, &self.routed, &self.avoided)
    }

    async fn open(
        &mut self,
        upstream: &Arc<UpstreamEntry>,
        uncached: Tokens,
    ) -> Result<Attempt, UpstreamError> {
        let id = AttemptId::random(&mut rand::rng());
        let work = upstream.begin_work(id, uncached);
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
        routing.on_sent(&self.req.service, &upstream.address.upstream, &self.routed);
        Ok(Attempt {
            id,
            upstream: Arc::clone(upstream),
            frames: started.frames,
            started: Instant::now(),
            start_position: self.tokens.len() as u64,
            _work: work,
        })
    }

    async fn after_failed_start(
        &mut self,
        upstream: Arc<UpstreamEntry>,
        error: &UpstreamError,
    ) -> Result<(), Ending> {
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
            upstream.record_failure();
        }
        self.avoided.push(upstream);
        self.retry(cause, error).await
    }

    /// Waits before the next attempt, or ends the request. An attempt after progress needs no
    /// budget, since progress bounds the number of such attempts.
    async fn retry(&mut self, cause: RetryCause, error: &UpstreamError) -> Result<(), Ending> {
        self.fruitless_attempts += 1;
        let req = RetryRequest {
            attempted: Attempted::Repeatable,
            cause,
            attempts: self.fruitless_attempts,
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

    fn give_up(&self, cause: RetryCause, reason: GiveUpReason, error: &UpstreamError) -> Ending {
        let kind = match (cause, reason) {
            (_, GiveUpReason::DeadlineUnreachable) => ProblemKind::DeadlineExceeded,
            (RetryCause::Refused, _) => ProblemKind::Overloaded,
            _ => ProblemKind::Unavailable,
        };
        let detail = format!("given up since {reason}; the last attempt failed: {error}");
        Ending::Failed(self.problem(kind, &detail))
    }

    /// Passes on the frames of an attempt until it ends.
    async fn follow(&mut self, attempt: &mut Attempt) -> Result<FinishReason, Stop> {
        let mut status = attempt.upstream.watch_status();
        let mut drain = self.serving.drain.clone();
        let mut watch = StreamWatch::start(self.req.progress_timeout);
        loop {
            let leave_at = self.leave_time(attempt, *status.borrow_and_update());
            let frame = tokio::select! {
                biased;
                frame = attempt.frames.next() => frame,
                () = sleep_until(watch.deadline().min(self.req.deadline)) => {
                    let upstream = Arc::clone(&attempt.upstream);
                    return Err(self.after_silence(&upstream, &mut watch).await);
                }
                () = sleep_until_some(leave_at) => {
                    return Err(Stop::Interrupted(Interruption::UpstreamLeaving));
                }
                Ok(()) = status.changed() => continue,
                () = drain.deadline() => return Err(Stop::Ended(Ending::NodeLeaving)),
                () = self.events.closed() => return Err(Stop::Ended(Ending::CallerGone)),
                TakenOver = self.journal.drive(&self.tokens) => {
                    return Err(Stop::Ended(Ending::TakenOver));
                }
            };
            let Some(frame) = frame else {
                let error = UpstreamError::interrupted("the stream ended before the answer");
                return Err(Stop::Interrupted(Interruption::UpstreamFailed(error)));
            };
            if let Some(reason) = self.take_frame(attempt.id, frame).await? {
                return Ok(reason);
            }
            watch.on_frame();
        }
    }

    /// Returns the time at which the answer has to move away from a leaving upstream, or none when
    /// it may stay. An answer stays when its measured rate ends it in time.
    fn leave_time(&self, attempt: &Attempt, status: UpstreamStatus) -> Option<Instant> {
        let until = match status {
            UpstreamStatus::Live => return None,
            UpstreamStatus::Gone => return Some(Instant::now()),
            UpstreamStatus::Leaving { until } => until,
        };
        let last = until.checked_sub(LEAVE_MARGIN).unwrap_or(until);
        let produced = self.tokens.len() as u64 - attempt.start_position;
        let remaining = self
            .req
            .max_tokens
            .0
            .saturating_sub(self.tokens.len() as u64);
        if produced == 0 {
            return Some(Instant::now());
        }
        let time_per_token = attempt.started.elapsed().as_secs_f64() / produced as f64;
        let needed = Duration::from_secs_f64(time_per_token * remaining as f64);
        if Instant::now() + needed <= last {
            // The rate may fall, so the last moment stays a bound.
            return Some(last);
        }
        Some(Instant::now())
    }

    async fn after_silence(&mut self, upstream: &UpstreamEntry, watch: &mut StreamWatch) -> Stop {
        if Instant::now() >= self.req.deadline {
            let detail = "the answer did not end before the deadline";
            let problem = self.problem(ProblemKind::DeadlineExceeded, detail);
            return Stop::Ended(Ending::Failed(problem));
        }
        let engine = Arc::clone(&self.serving.engine);
        match watch.probe(engine.as_ref(), &upstream.address).await {
            Silence::ConnectionLost => Stop::Interrupted(Interruption::ConnectionLost),
            Silence::UpstreamDead => {
                let error = UpstreamError::interrupted("no progress and no answer to a probe");
                Stop::Interrupted(Interruption::UpstreamFailed(error))
            }
        }
    }

    /// Takes in one frame. Frames of other attempts and repeated frames are dropped.
    async fn take_frame(
        &mut self,
        attempt: AttemptId,
        frame: Result<Frame, UpstreamError>,
    ) -> Result<Option<FinishReason>, Stop> {
        let frame =
            frame.map_err(|error| Stop::Interrupted(Interruption::UpstreamFailed(error)))?;
        let expected = self.tokens.len() as u64;
        if frame.attempt != attempt || frame.position < expected {
            tracing::warn!(request = %self.req.id, attempt = %frame.attempt, "late frame dropped");
            self.serving.observer.late_frame();
            return Ok(None);
        }
        if frame.position > expected {
            let error = UpstreamError::malformed("a frame is missing");
            return Err(Stop::Interrupted(Interruption::UpstreamFailed(error)));
        }
        match frame.event {
            FrameEvent::Token(text) => {
                self.tokens.push(text.clone());
                self.times.on_token();
                if self.delivered < self.tokens.len() as u64 {
                    self.send_token(text).await.map_err(Stop::Ended)?;
                }
                Ok(None)
            }
            FrameEvent::End(reason) => Ok(Some(reason)),
        }
    }

    async fn send_token(&mut self, text: String) -> Result<(), Ending> {
        let position = self.delivered;
        invariant!(
            "delivered_in_order",
            position < self.tokens.len() as u64,
            "position {position} of {} tokens",
            self.tokens.len()
        );
        self.delivered += 1;
        self.send(AnswerEvent::Token { position, text }).await
    }

    /// Sends an event to the caller. A caller that leaves it unread for too long counts as gone.
    async fn send(&mut self, event: AnswerEvent) -> Result<(), Ending> {
        let limit = self.serving.limits.write_stall_timeout;
        match timeout(limit, self.events.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Ending::CallerGone),
        }
    }

    /// Ends the attempt, which cancels it at the upstream, and decides how to go on.
    async fn after_interruption(
        &mut self,
        attempt: Attempt,
        interruption: Interruption,
    ) -> Result<(), Ending> {
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
            self.fruitless_attempts = 0;
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

    async fn finish(mut self, ending: Ending) -> Tokens {
        self.observe(&ending);
        tracing::info!(
            request = %self.req.id,
            tokens = self.tokens.len(),
            ending = ending.name(),
            "request ended",
        );
        let length = self.tokens.len() as u64;
        match ending {
            Ending::Finished(reason) => {
                // The caller has every token, so the journal may learn of the end later.
                let _ = self.send(AnswerEvent::End { length, reason }).await;
                let _ = self.journal.flush(&self.tokens, true).await;
            }
            Ending::CallerGone => {
                let _ = self.journal.flush(&self.tokens, false).await;
            }
            Ending::NodeLeaving => self.move_away().await,
            Ending::TakenOver => self.send_taken_over().await,
            Ending::Failed(problem) => {
                let _ = self.send(AnswerEvent::Failed(Box::new(problem))).await;
            }
        }
        Tokens(length)
    }

    /// Sends the caller to another node, once the journal has what the caller may have.
    async fn move_away(&mut self) {
        if self.journal.flush(&self.tokens, false).await.is_err() {
            self.send_taken_over().await;
            return;
        }
        let request = self.req.id;
        let _ = self.send(AnswerEvent::Moved { request }).await;
    }

    async fn send_taken_over(&mut self) {
        let detail = "another node carries out the request now";
        let problem = self.problem(ProblemKind::TakenOver, detail);
        let _ = self.send(AnswerEvent::Failed(Box::new(problem))).await;
    }

    fn observe(&self, ending: &Ending) {
        let observer = &self.serving.observer;
        let GenerationRequest {
            workspace, service, ..
        } = &self.req;
        match ending {
            Ending::Finished(_) => observer.answered(workspace, service, self.times.report()),
            Ending::Failed(_) => observer.given_up(workspace, service),
            other => observer.left(workspace, service, other.name()),
        }
        observer.tokens(service, "answer", Tokens(self.times.tokens));
    }

    /// Builds the problem of this request. A model request has no effect beyond its answer, so
    /// one without a whole answer counts as not run.
    fn problem(&self, kind: ProblemKind, detail: &str) -> Problem {
        Problem::not_run(kind, detail)
            .with_retry_after(RETRY_AFTER)
            .with_request(self.req.id)
    }
}

/// Why following an attempt stopped.
#[derive(Debug)]
enum Stop {
    Ended(Ending),
    Interrupted(Interruption),
}

impl Ending {
    fn name(&self) -> &'static str {
        match self {
            Self::Finished(_) => "finished",
            Self::CallerGone => "caller_gone",
            Self::NodeLeaving => "node_leaving",
            Self::TakenOver => "taken_over",
            Self::Failed(_) => "failed",
        }
    }
}

fn no_upstream() -> UpstreamError {
    UpstreamError::not_sent("no upstream is available")
}

async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
