//! One admitted request: its attempts at replicas and its response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use tokio::time::Instant;
use verbenahead_core::{Generation, ServiceId, SoftwareVersion, units::Tokens};
use verbenahead_manifest::{Route, RoutedWorkspace};
use verbenahead_membership::NameKey;
use verbenahead_policy::{PromptBlocks, UrgencyOptions, urgency};
use verbenahead_upstream::{Reuse, SegmentedBody};

use crate::{
    attempt::{Answered, Attempt, AttemptError, NotRunCause},
    dialect::{CallerRequest, Dispatch, EventId, KvSource, PartIds, Urgency},
    forwarded_ids::ForwardedIds,
    memory_budget::MemoryReservation,
    observe::{AttemptResult, RequestEnd, RequestResult},
    own_answer::{OwnAnswer, OwnAnswerReason},
    relay::Relay,
    replica_selector::Selection,
    request_content::RequestContent,
    response_body::ResponseBody,
    started_response::StartedResponse,
    stream,
    upstream::UpstreamEntry,
    workspace_quotas::QuotaCharge,
};

/// `Exchange` is a request that the node has admitted, with its state.
pub(crate) struct Exchange {
    pub(crate) relay: Arc<Relay>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: SegmentedBody,
    /// Memory of the request, released when the exchange is dropped.
    pub(crate) memory: MemoryReservation,
    pub(crate) caller: CallerRequest,
    /// What the request has in common with others.
    pub(crate) content: RequestContent,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<Arc<RoutedWorkspace>>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) progress: Progress,
    /// Generation of the routes under which the request was admitted.
    pub(crate) generation: Generation,
    /// Whether the replicas of the service can move a run with its KV cache.
    pub(crate) supports_move: bool,
    /// Shared blocks of the prompt, if the request has one.
    pub(crate) blocks: Option<PromptBlocks>,
}

/// `Progress` is the state of a request across its attempts.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Replicas that are not selected again: the request was sent to them, they could not be
    /// reached, or they had no room for its moved run.
    pub(crate) tried: Vec<Arc<UpstreamEntry>>,
    /// Addresses of the replicas that the request was sent to, including those that are selected again.
    pub(crate) sent_to: Vec<SocketAddr>,
    /// Number of attempts that may have run.
    pub(crate) possible_runs: u32,
    /// Number of all attempts.
    pub(crate) attempts: u32,
    /// Number of attempts that are held back for the time after the replica that serves the stream.
    pub(crate) spare_attempts: u32,
    /// Whether an attempt was sent whose outcome is not recorded yet.
    pub(crate) is_sending: bool,
    /// Time from the arrival of the request to the first event.
    pub(crate) first_event: Option<Duration>,
    /// Last event that was forwarded to the caller.
    pub(crate) last_event: Option<EventId>,
    /// Whether the ids of the forwarded events have gaps, so that a gap does not show a missing event.
    pub(crate) has_id_gaps: bool,
    /// Key of the software version to which the stream is bound, once it has begun.
    pub(crate) version: Option<NameKey>,
    /// Charge to the quota of the workspace.
    pub(crate) quota_charge: Option<QuotaCharge>,
    /// Whether the request was counted in the usage of its workspace.
    pub(crate) is_counted: bool,
}

/// Limit on the attempts of one request, including those that were refused or never sent.
const MAX_ATTEMPTS: u32 = 6;

/// Limit on the replicas that are asked for in vain because of their limits before a request is refused.
const MAX_SELECTIONS: u32 = 8;

/// Largest delay of a caller's retry after all replicas closed, as a multiple of the time until the
/// first one opens.
const MAX_REOPENING_SPREAD: f64 = 1.5;

impl Progress {
    pub(crate) fn forwarded_ids(&self) -> ForwardedIds {
        ForwardedIds {
            last: self.last_event,
            has_gaps: self.has_id_gaps,
        }
    }

    pub(crate) fn set_forwarded_ids(&mut self, ids: ForwardedIds) {
        self.last_event = ids.last;
        self.has_id_gaps = ids.has_gaps;
    }

    /// Records an event that is forwarded to the caller.
    pub(crate) fn record_event(&mut self, id: Option<EventId>) {
        let mut ids = self.forwarded_ids();
        ids.record(id);
        self.set_forwarded_ids(ids);
    }

    /// Records that the request is sent to the replica at `address`. Returns whether it was sent there before.
    fn record_sent(&mut self, address: SocketAddr) -> bool {
        let was_sent = self.sent_to.contains(&address);
        self.sent_to.push(address);
        was_sent
    }
}

impl Exchange {
    /// Sends the request to replicas and returns the response to the caller.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        let relay = Arc::clone(&self.relay);
        let started = tokio::select! {
            biased;
            started = self.start() => Some(started),
            () = relay.drain.wait_over() => None,
        };
        match started.unwrap_or_else(|| Err(self.cut_short())) {
            Ok(StartedResponse::Whole(response)) => {
                let status = response.status();
                if status.is_success() {
                    self.record_complete();
                }
                let result = match status.is_server_error() {
                    true => RequestResult::ReplicaFailed,
                    false => RequestResult::Answered,
                };
                self.end(result, status.as_str(), "answered");
                response
            }
            Ok(StartedResponse::Stream(stream)) => stream::respond(self, *stream),
            Err(own) => {
                self.refund_if_not_run();
                self.relay.observer.own_answer(own.reason);
                let outcome = own.reason.to_string();
                self.end(
                    RequestResult::OwnAnswer,
                    own.reason.status().as_str(),
                    &outcome,
                );
                self.own_response(own)
            }
        }
    }

    async fn start(&mut self) -> Result<StartedResponse, OwnAnswer> {
        match self.route.retry_safety.is_stream() {
            true => self.open_stream().await,
            false => self.buffer_response().await,
        }
    }

    /// Returns the response to a request that is in progress when the node stops.
    fn cut_short(&mut self) -> OwnAnswer {
        self.record_abandoned();
        match self.progress.possible_runs {
            0 => self.relay.stopping(),
            _ => OwnAnswer::new(OwnAnswerReason::OutcomeUnknown),
        }
    }

    /// Makes attempts until a replica begins to respond or no further attempt is allowed.
    pub(crate) async fn next_attempt(&mut self) -> Result<Attempt<Answered>, OwnAnswer> {
        loop {
            self.check_time()?;
            self.check_service().await?;
            let Some(selection) = self.select_replica().await else {
                return Err(self.no_replica());
            };
            // The grant for a request to a replica with a limit may have taken some time.
            self.check_time()?;
            self.check_drain()?;
            self.check_quarantine()?;
            self.check_servable(&selection)?;
            let upstream = Arc::clone(&selection.upstream);
            let uncached = selection.uncached;
            let kv_source = selection.prefix_at.map(KvSource::Prefix);
            let mut attempt = Attempt::reserve(&self.relay, Arc::clone(&upstream), uncached)
                .sampled(&self.relay, &self.route.name, selection.predicted);
            if let Some(blocks) = &self.blocks {
                attempt.announce(&self.relay, uncached, blocks.prompt());
            }
            self.relay
                .replica_selector
                .record_sent(self, &upstream, uncached);
            self.progress.tried.push(Arc::clone(&upstream));
            self.progress.attempts += 1;
            self.progress.is_sending = true;
            self.log_attempt(&selection);
            let comes_back = self.progress.record_sent(upstream.address.address);
            let reuse = match self.route.retry_safety.is_repeatable() {
                // A replica may write its refusal once more, with the id of this request.
                true if comes_back => Reuse::Forbidden,
                true => Reuse::Allowed,
                // A pooled connection may be dead without notice, and the request cannot be sent a
                // second time.
                false => Reuse::Forbidden,
            };
            let sent = attempt.send(
                &self.relay,
                &self.caller.id,
                || self.upstream_request(&selection, kv_source.clone()),
                reuse,
                self.deadline,
            );
            let sent = tokio::select! {
                biased;
                sent = sent => Some(sent),
                () = self.wait_quarantined() => None,
            };
            self.progress.is_sending = false;
            let Some(sent) = sent else {
                self.record_attempt(AttemptResult::Unknown);
                self.record_possible_run();
                return Err(self.cancelled());
            };
            match sent {
                Ok(answered) => {
                    self.log_passed_on(&answered);
                    self.record_attempt(AttemptResult::Answered);
                    self.record_possible_run();
                    return Ok(answered);
                }
                Err(error) => self.after_failure(&upstream, &error)?,
            }
        }
    }

    /// Selects a replica that was not tried yet and whose limit, if it has one, allows the request.
    pub(crate) async fn select_replica(&self) -> Option<Selection> {
        self.select_replica_except(&[]).await
    }

    /// Selects a replica like [`select_replica`](Self::select_replica), but none of `others`.
    pub(crate) async fn select_replica_except(
        &self,
        others: &[Arc<UpstreamEntry>],
    ) -> Option<Selection> {
        let excluded = [self.progress.tried.as_slice(), others].concat();
        for n in 0..MAX_SELECTIONS {
            // Coordinators are asked once, so that the request is not held back for longer.
            let selection = self.place(&excluded, n == 0).await?;
            let upstream = &selection.upstream;
            let limits = &self.relay.replica_limits;
            if limits.acquire(&self.caller.id, upstream).await {
                if upstream.is_open() {
                    return Some(selection);
                }
                limits.release_room(upstream);
            }
        }
        None
    }

    /// Logs the selected replica and the values that decided the selection.
    fn log_attempt(&self, selection: &Selection) {
        tracing::info!(
            request = %self.caller.id,
            attempt = self.progress.attempts,
            upstream = %selection.upstream.address.upstream,
            zone = %selection.upstream.zone,
            software = selection.upstream.software.as_ref().map(SoftwareVersion::as_str),
            candidates = selection.candidates,
            predicted_ms = selection.predicted.map(|time| time.as_millis() as u64),
            uncached = selection.uncached.0,
            prefix_at = selection.prefix_at.map(tracing::field::display),
            outstanding = selection.upstream.outstanding(),
            load_age_ms = selection.upstream.load_age().map(|age| age.as_millis() as u64),
            load_source = selection.load_source(),
            placement = selection.placement.map(tracing::field::display),
            limit_per_second = selection.upstream.limit().map(|limit| limit.rate.0),
            remaining_ms = self.remaining().as_millis() as u64,
            resume_after = self.resume_after().map(|event| event.0),
            resumes = self.caller.resumes.as_ref().map(|id| &*id.0),
            generation = self.generation.0,
            "request sent",
        );
    }

    /// Logs the node that passes the response on, if one does.
    fn log_passed_on(&self, attempt: &Attempt<Answered>) {
        if let Some(node) = attempt.passed_on_by() {
            self.relay.observer.answer_passed_on(&self.service);
            tracing::info!(
                request = %self.caller.id,
                upstream = %attempt.upstream.address.upstream,
                %node,
                "answer passed on by another node",
            );
        }
    }

    /// Records an attempt without a response. Returns an error if no further attempt is allowed.
    fn after_failure(
        &mut self,
        upstream: &Arc<UpstreamEntry>,
        error: &AttemptError,
    ) -> Result<(), OwnAnswer> {
        tracing::info!(
            request = %self.caller.id,
            upstream = %upstream.address.upstream,
            attempt = self.progress.attempts,
            fingerprint = %self.content.fingerprint(),
            parts = self.part_ids(),
            last_answer_ms = upstream.last_answer_age().map(|age| age.as_millis() as u64),
            other_requests = upstream.other_requests(),
            outcome = %error,
            "attempt without an answer",
        );
        if let AttemptError::BrokenOff(_) = error {
            self.record_break(upstream);
        }
        let has_not_run = matches!(error, AttemptError::NotRun(_));
        if has_not_run {
            self.record_attempt(AttemptResult::NotRun);
        } else {
            self.record_attempt(AttemptResult::Unknown);
            self.record_possible_run();
        }
        // Nothing has arrived at a replica, so the next attempt repeats nothing.
        if let AttemptError::NotRun(NotRunCause::NotSent(_)) = error {
            return self.check_attempts();
        }
        self.check_retry(has_not_run)
    }

    fn record_attempt(&self, result: AttemptResult) {
        let observer = &self.relay.observer;
        observer.attempt_ended(&self.service, result);
    }

    fn record_possible_run(&mut self) {
        self.progress.possible_runs += 1;
        if self.progress.possible_runs > 1
            && let Some(charge) = &self.progress.quota_charge
        {
            self.relay.quotas.charge_repeat(charge);
        }
        // A stream counts as running from its first event, which carries the first token.
        if !self.route.retry_safety.is_stream() {
            self.count_run();
        }
    }

    /// Records an attempt that was given up before its outcome was known, if there is one.
    pub(crate) fn record_abandoned(&mut self) {
        if std::mem::take(&mut self.progress.is_sending) {
            self.record_attempt(AttemptResult::Unknown);
            self.record_possible_run();
        }
    }

    /// Checks whether the request may be sent again, and if so takes one retry from the budget.
    /// Returns the response to the caller as an error otherwise.
    pub(crate) fn check_retry(&self, has_not_run: bool) -> Result<(), OwnAnswer> {
        if !has_not_run && !self.route.retry_safety.is_repeatable() {
            return Err(self.given_up());
        }
        if self.progress.possible_runs >= self.route.max_attempts {
            return Err(self.given_up());
        }
        self.check_repeat()
    }

    /// Checks like [`check_retry`](Self::check_retry) whether a request that may be repeated may be sent
    /// again, whatever the limit of its route on replicas that run it.
    pub(crate) fn check_repeat(&self) -> Result<(), OwnAnswer> {
        self.check_attempts()?;
        if !self.relay.usage_tracker.try_retry(&self.service) {
            tracing::info!(request = %self.caller.id, "repeat budget used up");
            return Err(self.given_up());
        }
        Ok(())
    }

    /// Checks whether another attempt may be made, whatever became of the earlier ones.
    fn check_attempts(&self) -> Result<(), OwnAnswer> {
        match self.progress.attempts + self.progress.spare_attempts < MAX_ATTEMPTS {
            true => Ok(()),
            false => Err(self.given_up()),
        }
    }

    /// Returns the response to a request that is given up.
    pub(crate) fn given_up(&self) -> OwnAnswer {
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
        self.log_unavailable();
        if self.progress.possible_runs > 0 {
            return OwnAnswer::new(OwnAnswerReason::OutcomeUnknown);
        }
        let opens_after = self.relay.replica_selector.opens_after(&self.service);
        let delay = match opens_after {
            // Callers that are refused together do not come back together.
            Some(delay) => delay.mul_f64(rand::random_range(1.0..=MAX_REOPENING_SPREAD)),
            None => self.relay.options.no_replica_delay,
        };
        OwnAnswer::retry_after(OwnAnswerReason::NoReplica, delay)
    }

    /// Logs why none of the registered replicas was selected.
    fn log_unavailable(&self) {
        let selector = &self.relay.replica_selector;
        let excluded = selector.count_excluded(self, &self.progress.tried);
        tracing::info!(
            request = %self.caller.id,
            service = %self.service,
            registered = excluded.registered,
            leaving = excluded.leaving,
            tried = excluded.tried,
            closed = excluded.closed,
            circuit_open = excluded.circuit_open,
            last_answer_ms = excluded.last_answer_age.map(|age| age.as_millis() as u64),
            other_requests = excluded.other_requests,
            "no replica available",
        );
    }

    /// Checks that a request which has not run is only sent if it ends before the node does.
    fn check_drain(&self) -> Result<(), OwnAnswer> {
        match self.progress.possible_runs > 0 || self.relay.drain.admits(self.deadline) {
            true => Ok(()),
            false => Err(self.relay.stopping()),
        }
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

    /// Returns the total time limit of the request.
    fn total_timeout(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the last event that the caller has, if there is one.
    pub(crate) fn resume_after(&self) -> Option<EventId> {
        self.progress.last_event.or(self.caller.resume_after)
    }

    /// Builds the request for a replica. `kv_source` is the source of KV cache that it lacks.
    pub(crate) fn upstream_request(
        &self,
        selection: &Selection,
        kv_source: Option<KvSource>,
    ) -> Request<SegmentedBody> {
        let dispatch = Dispatch {
            upstream: &selection.upstream.address.upstream,
            remaining: self.remaining(),
            workspace: self.workspace.as_ref().map(|workspace| &workspace.id),
            urgency: self.urgency(selection.uncached),
            resume_after: self.resume_after(),
            kv_source,
        };
        let mut req = Request::new(self.body.clone());
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self
            .relay
            .dialect
            .upstream_headers(&self.headers, &dispatch);
        req
    }

    /// Returns the priority of a prompt in the queue of its replica, or `None` without a prompt.
    fn urgency(&self, uncached: Tokens) -> Option<Urgency> {
        self.blocks.as_ref()?;
        let rank = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        let rank = rank.unwrap_or(self.route.rank);
        Some(Urgency(urgency(rank, uncached, &UrgencyOptions::default())))
    }

    /// Returns the ids of the shared parts of the prompt for a log line.
    pub(crate) fn part_ids(&self) -> Option<impl tracing::Value> {
        self.caller.prompt.as_ref()?;
        let parts = PartIds(self.caller.shared_parts());
        Some(tracing::field::display(parts))
    }

    /// Builds a response to the caller with an empty body from the head of a replica's response.
    pub(crate) fn response_head(
        &self,
        status: http::StatusCode,
        headers: &HeaderMap,
    ) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::whole(Bytes::new()));
        *response.status_mut() = status;
        *response.headers_mut() = self.relay.dialect.caller_headers(headers);
        self.relay.set_connection_header(response.headers_mut());
        response
    }

    /// Refunds the quota of a request that did not run.
    fn refund_if_not_run(&mut self) {
        if self.progress.possible_runs == 0
            && let Some(charge) = self.progress.quota_charge.take()
        {
            self.relay.quotas.refund(&charge);
        }
    }

    /// Counts the request in the usage of its workspace, at most once.
    pub(crate) fn count_run(&mut self) {
        if std::mem::replace(&mut self.progress.is_counted, true) {
            return;
        }
        if let Some(workspace) = &self.workspace {
            self.relay.usage_tracker.count_run(&workspace.id);
        }
    }

    fn own_response(&self, own: OwnAnswer) -> Response<ResponseBody> {
        self.relay.own_response(&self.caller.id, own)
    }

    /// Returns the number of prompt tokens that no other request shares.
    pub(crate) fn unshared_prompt(&self) -> Tokens {
        let Some(prompt) = &self.caller.prompt else {
            return Tokens(0);
        };
        // The last part is specific to the request or its session.
        prompt
            .parts
            .last()
            .map_or(prompt.prompt, |part| part.tokens)
    }

    /// Makes the replica that serves the stream the last one that was tried.
    pub(crate) fn set_last_tried(&mut self, upstream: &Arc<UpstreamEntry>) {
        let tried = &mut self.progress.tried;
        tried.retain(|other| !Arc::ptr_eq(other, upstream));
        tried.push(Arc::clone(upstream));
    }

    /// Allows all tried replicas but the last one again, since a stream that made progress may be
    /// resumed at any other replica.
    pub(crate) fn keep_only_last_tried(&mut self) {
        let last = self.progress.tried.pop();
        self.progress.tried.clear();
        self.progress.tried.extend(last);
    }

    /// Returns the number of the generation of the routes in force, if there are any.
    pub(crate) fn generation_in_force(&self) -> Option<u64> {
        self.relay.routes().map(|routes| routes.generation().0)
    }

    /// Reports and logs the end of the request.
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
            patience_ms = self.total_timeout().as_millis() as u64,
            route_timeout_ms = self.route.timeout.as_millis() as u64,
            generation = self.generation.0,
            generation_in_force = self.generation_in_force(),
            fingerprint = %self.content.fingerprint(),
            parts = self.part_ids(),
            %result,
            status,
            outcome,
            "request ended",
        );
    }
}
