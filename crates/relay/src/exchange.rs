//! The life of one request, from the checks to the answer.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body::Body as _;
use http_body_util::{BodyExt, Full};
use tokio::time::{Instant, timeout_at};
use verbenahead_core::{Generation, ServiceId, units::Tokens};
use verbenahead_manifest::{Route, RoutedWorkspace};
use verbenahead_policy::{PromptBlocks, UrgencyOptions, urgency};
use verbenahead_upstream::{Reuse, UpstreamBody};

use crate::{
    answer::AnswerBody,
    attempt::{Answered, Attempt, Unanswered},
    body_budget::BodyShare,
    dialect::{CallerRequest, Dispatch, EventId, KvSource, Urgency},
    follow,
    observe::{AttemptResult, RequestEnd, RequestResult},
    own_answer::{OwnAnswer, OwnAnswerReason},
    placement::Placement,
    relay::Relay,
    upstream::UpstreamEntry,
    usage_tracker::QuotaTaken,
};

/// `Exchange` is a request that the node has taken on.
pub(crate) struct Exchange {
    pub(crate) relay: Arc<Relay>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Memory that the body takes.
    pub(crate) _body_share: BodyShare,
    pub(crate) caller: CallerRequest,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<Arc<RoutedWorkspace>>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) progress: Progress,
    /// Generation of the routes that the request was taken on under.
    pub(crate) generation: Generation,
    /// Whether the replicas of the service hand a run over with its memory.
    pub(crate) has_moves: bool,
    /// Parts of the prompt, if the request has one.
    pub(crate) blocks: Option<PromptBlocks>,
}

/// `Progress` is what has become of a request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Replicas to which the request was sent, or that could not be reached.
    pub(crate) tried: Vec<Arc<UpstreamEntry>>,
    /// Attempts that may have run.
    pub(crate) possible_runs: u32,
    /// Attempts of any kind.
    pub(crate) attempts: u32,
    /// Time from the arrival to the first event.
    pub(crate) first_event: Option<Duration>,
    /// Last event that was passed on.
    pub(crate) last_event: Option<EventId>,
    /// What the request took from its workspace's quota.
    pub(crate) quota: Option<QuotaTaken>,
    /// Whether the request was counted among those that began to run.
    pub(crate) is_counted: bool,
}

/// Most attempts of one request, those included that were refused or never sent.
const MAX_ATTEMPTS: u32 = 6;

impl Exchange {
    /// Carries out the request.
    pub(crate) async fn run(mut self) -> Response<AnswerBody> {
        let result = if self.route.repetition.is_stream() {
            self.open_stream().await
        } else {
            self.whole_answer().await
        };
        match result {
            Ok(Opened::Whole(answer)) => {
                let status = answer.status();
                let result = match status.is_server_error() {
                    true => RequestResult::ReplicaFailed,
                    false => RequestResult::Answered,
                };
                self.end(result, status.as_str(), "answered");
                answer
            }
            Ok(Opened::Stream(stream)) => follow::respond(self, stream),
            Err(own) => {
                self.settle_quota();
                self.relay.observer.own_answer(own.ending);
                let outcome = own.ending.to_string();
                self.end(
                    RequestResult::OwnAnswer,
                    own.ending.status().as_str(),
                    &outcome,
                );
                self.own_response(own)
            }
        }
    }

    /// Sends the request until a replica begins to answer it.
    pub(crate) async fn next_answer(&mut self) -> Result<Attempt<Answered>, OwnAnswer> {
        loop {
            self.check_time()?;
            let placed = self
                .relay
                .replica_selector
                .place(self, &self.progress.tried);
            let Some(placement) = placed else {
                return Err(self.no_replica());
            };
            let upstream = Arc::clone(&placement.upstream);
            let uncached = placement.uncached;
            let kv_source = placement.prefix_at.map(KvSource::Prefix);
            let req = self.upstream_request(&placement, kv_source);
            let attempt = Attempt::reserve(Arc::clone(&upstream), uncached);
            self.relay
                .replica_selector
                .note_sent(self, &upstream, uncached);
            self.progress.tried.push(Arc::clone(&upstream));
            self.progress.attempts += 1;
            self.log_attempt(&placement);
            let reuse = match self.route.repetition.is_repeatable() {
                true => Reuse::Allowed,
                // A connection from the pool may have gone silent, and the request cannot be
                // sent a second time.
                false => Reuse::Forbidden,
            };
            let sent = attempt.send(
                &self.relay.connections,
                self.relay.dialect.as_ref(),
                &self.caller.id,
                req,
                reuse,
                self.remaining(),
            );
            match sent.await {
                Ok(answered) => {
                    self.note_attempt(AttemptResult::Answered);
                    self.note_possible_run();
                    return Ok(answered);
                }
                Err(unanswered) => self.after_failure(&upstream, &unanswered)?,
            }
        }
    }

    /// Logs where the request goes and what decided it.
    fn log_attempt(&self, placement: &Placement) {
        tracing::info!(
            request = %self.caller.id,
            attempt = self.progress.attempts,
            upstream = %placement.upstream.address.upstream,
            zone = %placement.upstream.zone,
            candidates = placement.candidates,
            predicted_ms = placement.predicted.map(|time| time.as_millis() as u64),
            uncached = placement.uncached.0,
            prefix_at = placement.prefix_at.map(tracing::field::display),
            outstanding = placement.upstream.outstanding(),
            load_age_ms = placement.upstream.load_age().map(|age| age.as_millis() as u64),
            remaining_ms = self.remaining().as_millis() as u64,
            resume_after = self.progress.last_event.map(|event| event.0),
            generation = self.generation.0,
            "request sent",
        );
    }

    /// Notes an attempt without an answer. Returns an error when no other may follow.
    fn after_failure(
        &mut self,
        upstream: &UpstreamEntry,
        unanswered: &Unanswered,
    ) -> Result<(), OwnAnswer> {
        tracing::info!(
            request = %self.caller.id,
            upstream = %upstream.address.upstream,
            attempt = self.progress.attempts,
            outcome = %unanswered,
            "attempt without an answer",
        );
        let has_not_run = matches!(unanswered, Unanswered::NotRun(_));
        if has_not_run {
            self.note_attempt(AttemptResult::NotRun);
        } else {
            self.note_attempt(AttemptResult::Unknown);
            self.note_possible_run();
        }
        self.check_repetition(has_not_run)
    }

    fn note_attempt(&self, result: AttemptResult) {
        let observer = &self.relay.observer;
        observer.attempt_ended(&self.service, result);
    }

    fn note_possible_run(&mut self) {
        self.progress.possible_runs += 1;
        // A request to a model begins to run with its first token, which a stream shows.
        if !self.route.repetition.is_stream() {
            self.count_run();
        }
    }

    /// Returns an error when the request may not be sent again.
    fn check_repetition(&self, has_not_run: bool) -> Result<(), OwnAnswer> {
        if !has_not_run && !self.route.repetition.is_repeatable() {
            return Err(self.failure());
        }
        if self.progress.possible_runs >= self.route.max_attempts {
            return Err(self.failure());
        }
        if self.progress.attempts >= MAX_ATTEMPTS {
            return Err(self.failure());
        }
        if !self.relay.usage_tracker.try_repeat(&self.service) {
            tracing::info!(request = %self.caller.id, "repeat budget used up");
            return Err(self.failure());
        }
        Ok(())
    }

    /// Returns the answer to a request that is given up.
    fn failure(&self) -> OwnAnswer {
        if self.remaining() < self.relay.options.min_remaining {
            return self.out_of_time();
        }
        if self.progress.possible_runs > 0 {
            return OwnAnswer::new(OwnAnswerReason::OutcomeUnknown);
        }
        OwnAnswer::retry_after(
            OwnAnswerReason::Refused,
            self.relay.options.no_replica_delay,
        )
    }

    fn no_replica(&self) -> OwnAnswer {
        if self.progress.possible_runs > 0 {
            return OwnAnswer::new(OwnAnswerReason::OutcomeUnknown);
        }
        OwnAnswer::retry_after(
            OwnAnswerReason::NoReplica,
            self.relay.options.no_replica_delay,
        )
    }

    fn check_time(&self) -> Result<(), OwnAnswer> {
        if self.remaining() >= self.relay.options.min_remaining {
            return Ok(());
        }
        Err(self.out_of_time())
    }

    pub(crate) fn out_of_time(&self) -> OwnAnswer {
        if self.progress.possible_runs > 0 {
            return OwnAnswer::new(OwnAnswerReason::TimedOut);
        }
        let delay = self.relay.options.not_ready_delay;
        OwnAnswer::retry_after(OwnAnswerReason::NotSentInTime, delay)
    }

    /// Returns the whole time that the request has.
    fn patience(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Builds the request as a replica gets it. `kv_source` is where it finds memory of the prompt.
    pub(crate) fn upstream_request(
        &self,
        placement: &Placement,
        kv_source: Option<KvSource>,
    ) -> Request<Full<Bytes>> {
        let dispatch = Dispatch {
            upstream: &placement.upstream.address.upstream,
            remaining: self.remaining(),
            workspace: self.workspace.as_ref().map(|workspace| &workspace.id),
            urgency: self.urgency(placement.uncached),
            resume_after: self.progress.last_event.or(self.caller.resume_after),
            kv_source,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.target.clone();
        *req.headers_mut() = self
            .relay
            .dialect
            .upstream_headers(&self.headers, &dispatch);
        req
    }

    /// Returns the urgency of a prompt at its replica.
    fn urgency(&self, uncached: Tokens) -> Option<Urgency> {
        self.blocks.as_ref()?;
        let rank = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        let rank = rank.unwrap_or(self.route.rank);
        Some(Urgency(urgency(rank, uncached, &UrgencyOptions::default())))
    }

    /// Reads a whole answer, from another replica if the first one breaks off and the request may
    /// be repeated.
    async fn whole_answer(&mut self) -> Result<Opened, OwnAnswer> {
        loop {
            let mut attempt = self.next_answer().await?;
            let read = read_whole(
                attempt.body_mut(),
                self.relay.options.max_whole_answer.0,
                self.deadline,
            );
            match read.await {
                Ok(body) => {
                    let is_failure = attempt.head().status.is_server_error();
                    if is_failure && self.check_repetition(false).is_ok() {
                        self.log_failed_answer(&attempt);
                        attempt.settle_whole();
                        continue;
                    }
                    return Ok(Opened::Whole(self.pass_on(attempt, body)));
                }
                Err(NotWhole::TooLarge(start)) => {
                    return Ok(Opened::Stream(follow::OpenStream::bytes(attempt, start)));
                }
                Err(NotWhole::Broken(reason)) => {
                    tracing::info!(
                        request = %self.caller.id,
                        upstream = %attempt.upstream.address.upstream,
                        reason,
                        "answer broke off",
                    );
                    attempt.settle_broken();
                    self.check_repetition(false)?;
                }
                Err(NotWhole::TimedOut) => {
                    attempt.settle_broken();
                    return Err(self.out_of_time());
                }
            }
        }
    }

    fn pass_on(&self, attempt: Attempt<Answered>, body: Bytes) -> Response<AnswerBody> {
        let mut response = self.answer_head(attempt.head().status, &attempt.head().headers);
        attempt.settle_whole();
        *response.body_mut() = AnswerBody::whole(body);
        response
    }

    /// Opens the stream: reads up to its first whole event.
    async fn open_stream(&mut self) -> Result<Opened, OwnAnswer> {
        loop {
            let attempt = self.next_answer().await?;
            if !attempt.head().status.is_success() {
                if let Some(answer) = self.failed_stream(attempt).await? {
                    return Ok(Opened::Whole(answer));
                }
                continue;
            }
            match follow::first_event(attempt, self.deadline).await {
                Ok(stream) => return Ok(Opened::Stream(stream)),
                Err(follow::NoEvent::TimedOut) => return Err(self.out_of_time()),
                Err(follow::NoEvent::Broken) => self.check_repetition(false)?,
            }
        }
    }

    /// Passes on a replica's answer that is a failure, unless another attempt may follow.
    async fn failed_stream(
        &mut self,
        mut attempt: Attempt<Answered>,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        let limit = self.relay.options.max_whole_answer.0;
        let body = read_whole(attempt.body_mut(), limit, self.deadline).await;
        let is_failure = attempt.head().status.is_server_error();
        if is_failure && self.check_repetition(false).is_ok() {
            self.log_failed_answer(&attempt);
            attempt.settle_whole();
            return Ok(None);
        }
        match body {
            Ok(body) => Ok(Some(self.pass_on(attempt, body))),
            Err(_) => {
                attempt.settle_broken();
                Err(self.failure())
            }
        }
    }

    fn log_failed_answer(&self, attempt: &Attempt<Answered>) {
        tracing::info!(
            request = %self.caller.id,
            upstream = %attempt.upstream.address.upstream,
            status = attempt.head().status.as_u16(),
            attempt = self.progress.attempts,
            "replica failed the request",
        );
    }

    /// Builds the head of an answer that passes on a replica's.
    pub(crate) fn answer_head(
        &self,
        status: http::StatusCode,
        headers: &HeaderMap,
    ) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(Bytes::new()));
        *response.status_mut() = status;
        *response.headers_mut() = self.relay.dialect.caller_headers(headers);
        self.relay.mark_connection(response.headers_mut());
        response
    }

    /// Gives the quota of a request back that did not run.
    fn settle_quota(&mut self) {
        if self.progress.possible_runs == 0
            && let Some(taken) = self.progress.quota.take()
        {
            self.relay.usage_tracker.give_back(&taken);
        }
    }

    /// Counts the request among those that began to run, once.
    pub(crate) fn count_run(&mut self) {
        if std::mem::replace(&mut self.progress.is_counted, true) {
            return;
        }
        if let Some(workspace) = &self.workspace {
            self.relay.usage_tracker.count_run(&workspace.id);
        }
    }

    fn own_response(&self, own: OwnAnswer) -> Response<AnswerBody> {
        self.relay.own_response(&self.caller.id, own)
    }

    /// Returns the part of the prompt that no other request has.
    pub(crate) fn own_prompt(&self) -> Tokens {
        let Some(prompt) = &self.caller.prompt else {
            return Tokens(0);
        };
        // The last part belongs to the request or its session.
        prompt
            .parts
            .last()
            .map_or(prompt.prompt, |part| part.tokens)
    }

    /// Allows the replicas again that were tried before the last one. A stream that made progress
    /// goes on wherever it can.
    pub(crate) fn forget_tried(&mut self) {
        let last = self.progress.tried.pop();
        self.progress.tried.clear();
        self.progress.tried.extend(last);
    }

    /// Notes the end of the request.
    pub(crate) fn end(&self, result: RequestResult, status: &str, outcome: &str) {
        self.relay.observer.request_ended(&RequestEnd {
            route: &self.route.name,
            workspace: self.workspace.as_ref().map(|workspace| &workspace.id),
            result,
            elapsed: self.arrived.elapsed(),
            first_event: self.progress.first_event,
        });
        tracing::info!(
            request = %self.caller.id,
            route = %self.route.name,
            service = %self.service,
            workspace = self.workspace.as_ref().map(|w| w.id.as_str()),
            upstream = self.progress.tried.last().map(|u| u.address.upstream.as_str()),
            attempts = self.progress.attempts,
            elapsed_ms = self.arrived.elapsed().as_millis() as u64,
            first_event_ms = self.progress.first_event.map(|time| time.as_millis() as u64),
            patience_ms = self.patience().as_millis() as u64,
            %result,
            status,
            outcome,
            "request ended",
        );
    }
}

/// `Opened` is an answer that has begun.
pub(crate) enum Opened {
    /// The whole answer is there.
    Whole(Response<AnswerBody>),
    /// The answer goes on.
    Stream(follow::OpenStream),
}

/// `NotWhole` is why an answer was not read whole.
enum NotWhole {
    /// It is larger than the limit. Holds what was read.
    TooLarge(Bytes),
    Broken(String),
    TimedOut,
}

async fn read_whole(
    body: &mut UpstreamBody,
    limit: u64,
    deadline: Instant,
) -> Result<Bytes, NotWhole> {
    let mut collected = BytesMut::new();
    while !body.is_end_stream() {
        let Ok(frame) = timeout_at(deadline, body.frame()).await else {
            return Err(NotWhole::TimedOut);
        };
        match frame {
            None => break,
            Some(Err(error)) => return Err(NotWhole::Broken(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    collected.extend_from_slice(&data);
                }
            }
        }
        if collected.len() as u64 > limit {
            return Err(NotWhole::TooLarge(collected.freeze()));
        }
    }
    Ok(collected.freeze())
}
