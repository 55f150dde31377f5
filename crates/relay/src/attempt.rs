//! One attempt to run a request at a replica. Its type parameter is its stage: [`Reserved`], then
//! [`Answered`].

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use derive_more::Display;
use http::{Request, Response, header, response};
use tokio::time::Instant;
use verbenahead_core::{NodeId, units::Tokens};
use verbenahead_policy::{ReportedLoad, StatedLoad};
use verbenahead_upstream::{Error as UpstreamError, Reuse, SegmentedBody, UpstreamBody};

use crate::{
    dialect::{CallerRequestId, NotRunReason, ReportedSlots, ResponseClass},
    peer_paths::PeerLease,
    placement::PlacedPrompt,
    relay::Relay,
    replica_limits::ReplicaLimits,
    replica_paths::SendError,
    rollout_tally::{RolloutSample, SampleOutcome},
    service_admission::SlotTimer,
    upstream::{DEFAULT_REMAINING, OutstandingRequest, UpstreamEntry},
};

/// Number of the next attempt, unique in this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// `Reserved` is the stage of an attempt that is counted at its replica but not sent yet.
#[derive(Debug)]
pub(crate) struct Reserved;

/// `Answered` is the stage of an attempt whose replica has begun to respond.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    pub(crate) body: UpstreamBody,
}

/// `Attempt` is one attempt to run a request at a replica. It counts as an outstanding request of
/// the replica until it is dropped. Dropping it before the end of the response cancels the request.
#[derive(Debug)]
pub(crate) struct Attempt<Stage> {
    pub(crate) upstream: Arc<UpstreamEntry>,
    outstanding: OutstandingRequest,
    room: RoomUse,
    /// Node that passes the request on, if this node does not reach the replica.
    lease: Option<PeerLease>,
    /// Counts the attempt for the evaluation of a rollout, if one is running.
    sample: Option<RolloutSample>,
    /// Prompt that the coordinator of the replica was told of.
    placed: Option<PlacedPrompt>,
    /// Measures for how long the request occupies a slot of a replica that states its speed.
    _slot: Option<SlotTimer>,
    stage: Stage,
}

/// `RoomUse` is the room that an attempt takes at its replica until it is dropped.
struct RoomUse {
    limits: Arc<ReplicaLimits>,
    upstream: Arc<UpstreamEntry>,
    /// Whether there was no room.
    was_rejected: bool,
}

impl fmt::Debug for RoomUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RoomUse")
            .field("was_rejected", &self.was_rejected)
            .finish_non_exhaustive()
    }
}

impl Drop for RoomUse {
    fn drop(&mut self) {
        if !self.was_rejected {
            self.limits.release_room(&self.upstream);
        }
    }
}

/// `AttemptError` is the reason why an attempt has no response to forward.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum AttemptError {
    /// The request did not run at the replica and will not run there.
    #[display("not run: {_0}")]
    NotRun(NotRunCause),
    /// The request may have run, or may still run.
    #[display("unknown: {_0}")]
    Unknown(String),
    /// The connection broke before the response, so the request may have run. The replica may have
    /// crashed.
    #[display("unknown: {_0}")]
    BrokenOff(String),
}

/// `NotRunCause` tells how it is known that a request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum NotRunCause {
    /// The request was not sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The replica stated it.
    #[display("{_0}")]
    Stated(NotRunReason),
}

impl Attempt<Reserved> {
    /// Counts an attempt at a replica, which probably has to process `uncached` tokens of the
    /// prompt.
    pub(crate) fn reserve(relay: &Relay, upstream: Arc<UpstreamEntry>, uncached: Tokens) -> Self {
        let room = RoomUse {
            limits: Arc::clone(&relay.replica_limits),
            upstream: Arc::clone(&upstream),
            was_rejected: false,
        };
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let outstanding = upstream.track_request(number, uncached);
        Self {
            upstream,
            outstanding,
            room,
            lease: None,
            sample: None,
            placed: None,
            _slot: None,
            stage: Reserved,
        }
    }

    /// Counts the attempt for the evaluation of a rollout, if one of its service is running.
    pub(crate) fn sampled(
        mut self,
        relay: &Relay,
        route: &str,
        predicted: Option<Duration>,
    ) -> Self {
        let rollouts = relay.replica_selector.rollouts();
        let key = rollouts.sample_key(route, &self.upstream);
        self.sample = key.map(|key| RolloutSample::begin(rollouts, key, predicted));
        self
    }

    /// Tells the coordinator of the replica that a prompt with `prompt` tokens is sent there.
    pub(crate) fn announce(&mut self, relay: &Relay, uncached: Tokens, prompt: Tokens) {
        self.placed = relay.placement.announce(&self.upstream, uncached, prompt);
    }

    /// Sends the request that `build` builds and waits until `deadline` for the head of the response.
    pub(crate) async fn send(
        mut self,
        relay: &Relay,
        id: &CallerRequestId,
        build: impl Fn() -> Request<SegmentedBody>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<Attempt<Answered>, AttemptError> {
        let sent = relay.send_to_replica(&self.upstream, build, reuse, deadline);
        match sent.await {
            Ok(sent) => {
                self.lease = sent.lease;
                self.classify(relay, id, sent.response)
            }
            Err(SendError::Replica(error)) => {
                self.upstream.record_error(&error);
                let error = attempt_error(error);
                self.record_sample_error(&error);
                Err(error)
            }
            Err(SendError::Path(error)) => Err(match attempt_error(error) {
                // The replica did not crash because of a fault of the path.
                AttemptError::BrokenOff(reason) => AttemptError::Unknown(reason),
                error => error,
            }),
        }
    }

    /// Begins to measure for how long a prompt occupies a slot, if the replica states its speed.
    fn slot_timer(&self, relay: &Relay, head: &response::Parts) -> Option<SlotTimer> {
        let stated = relay.dialect.reported_slots(&head.headers)?;
        stated.time_percent?;
        self.placed.as_ref()?;
        let admission = &relay.service_admission;
        Some(admission.record_answer(&self.upstream.service))
    }

    /// Passes the speed that the replica stated on to its coordinator.
    fn record_speed(&mut self, relay: &Relay, slots: ReportedSlots) {
        let Some(time_percent) = slots.time_percent else {
            return;
        };
        let service = &self.upstream.service;
        let requests = slots.running.saturating_add(slots.waiting);
        relay.placement.record_speed(service);
        relay.placement.record_slots(service, requests, slots.slots);
        if let Some(placed) = &mut self.placed {
            placed.record_stated(StatedLoad {
                running: slots.running,
                waiting: slots.waiting,
                time_percent: time_percent.get(),
            });
        }
    }

    fn classify(
        mut self,
        relay: &Relay,
        id: &CallerRequestId,
        response: Response<UpstreamBody>,
    ) -> Result<Attempt<Answered>, AttemptError> {
        if self.lease.is_none() {
            self.upstream.record_answer();
        }
        let dialect = relay.dialect.as_ref();
        let (head, body) = response.into_parts();
        let class = dialect.classify_response(id, &head);
        let notice = dialect.replica_notice(&head);
        self.upstream.apply_notice(match class {
            ResponseClass::Foreign => notice.without_limit_end(),
            ResponseClass::Answered | ResponseClass::NotRun(_) => notice,
        });
        if let Some(slots) = dialect.reported_slots(&head.headers) {
            self.upstream.record_reported(reported_load(slots));
            self.record_speed(relay, slots);
        }
        match class {
            ResponseClass::Answered => Ok(Attempt {
                _slot: self.slot_timer(relay, &head),
                upstream: self.upstream,
                outstanding: self.outstanding,
                room: self.room,
                lease: self.lease,
                sample: self.sample,
                placed: self.placed,
                stage: Answered { head, body },
            }),
            ResponseClass::NotRun(reason) => {
                self.discard_sample();
                match reason {
                    NotRunReason::Full => {
                        self.room.was_rejected = true;
                        self.room.limits.record_rejection(&self.upstream);
                        self.upstream.record_full();
                    }
                    // Runs that go on are still at the replica, if it is not gone.
                    NotRunReason::OtherReplica => {
                        self.upstream.mark_leaving(DEFAULT_REMAINING);
                    }
                    NotRunReason::Refused => self.upstream.record_failure(),
                }
                Err(AttemptError::NotRun(NotRunCause::Stated(reason)))
            }
            ResponseClass::Foreign => {
                self.upstream.record_failure();
                // The answer to this request may still arrive, where a later request expects its own.
                relay.connections.close_idle(self.upstream.address.address);
                let reason = format!("an answer to another request, status {}", head.status);
                self.record_sample(SampleOutcome::Lost);
                Err(AttemptError::Unknown(reason))
            }
        }
    }
}

impl Attempt<Answered> {
    /// Returns the head of the response.
    pub(crate) fn head(&self) -> &response::Parts {
        &self.stage.head
    }

    /// Returns the node that passes the response on, unless it comes directly.
    pub(crate) fn passed_on_by(&self) -> Option<&NodeId> {
        self.lease.as_ref().map(PeerLease::node)
    }

    /// Returns the body of the response.
    pub(crate) fn body(&self) -> &UpstreamBody {
        &self.stage.body
    }

    /// Returns whether the end of the body is the end of its connection, so that a stopped run looks like
    /// one that is complete.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let headers = &self.stage.head.headers;
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the body of the response to read from it.
    pub(crate) fn body_mut(&mut self) -> &mut UpstreamBody {
        &mut self.stage.body
    }

    /// Records the arrival of the first token as a sample of the prefill rate. `processed` is the
    /// number of prompt tokens that the replica cannot have had in its cache.
    pub(crate) fn record_first_token(&mut self, processed: Tokens) {
        if let Some(sample) = &mut self.sample {
            sample.record_time();
        }
        if let Some(placed) = &mut self.placed {
            placed.record_first_event();
        }
        self.outstanding.record_first_token(processed);
    }

    /// Ends an attempt whose response is complete. A server error counts as a failure of the
    /// replica.
    pub(crate) fn finish(mut self) {
        let is_failure = self.stage.head.status.is_server_error();
        self.record_sample(match is_failure {
            true => SampleOutcome::Failed,
            false => SampleOutcome::Answered,
        });
        if is_failure {
            self.upstream.record_failure();
        } else {
            self.outstanding.record_call();
            self.upstream.record_success();
        }
    }

    /// Ends an attempt whose response is incomplete due to a fault of the replica.
    pub(crate) fn fail(mut self) {
        self.record_sample(SampleOutcome::Lost);
        self.record_fault();
    }

    /// Records a fault of the replica, or of the node that passes the response on. The attempt continues.
    pub(crate) fn record_fault(&self) {
        self.upstream.record_failure();
        if let Some(lease) = &self.lease {
            lease.record_break();
        }
    }
}

impl<Stage> Attempt<Stage> {
    fn record_sample(&mut self, outcome: SampleOutcome) {
        if let Some(sample) = &mut self.sample {
            sample.record(outcome);
        }
    }

    fn discard_sample(&mut self) {
        if let Some(sample) = &mut self.sample {
            sample.discard();
        }
    }

    fn record_sample_error(&mut self, error: &AttemptError) {
        match error {
            AttemptError::NotRun(_) => self.discard_sample(),
            AttemptError::Unknown(_) | AttemptError::BrokenOff(_) => {
                self.record_sample(SampleOutcome::Lost);
            }
        }
    }
}

fn attempt_error(error: UpstreamError) -> AttemptError {
    match error {
        UpstreamError::NotSent { reason } | UpstreamError::ConnectionRefused { reason } => {
            AttemptError::NotRun(NotRunCause::NotSent(reason))
        }
        error @ UpstreamError::Interrupted { .. } => AttemptError::BrokenOff(error.to_string()),
        error => AttemptError::Unknown(error.to_string()),
    }
}

/// Returns the load that a replica reports in the headers of a response.
pub(crate) fn reported_load(slots: ReportedSlots) -> ReportedLoad {
    ReportedLoad {
        running: slots.running,
        queued: slots.waiting,
        batch_limit: slots.slots,
        queued_tokens: None,
        time_percent: slots.time_percent,
        age: Duration::ZERO,
    }
}
