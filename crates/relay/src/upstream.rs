//! State of one upstream as known to this node.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Deref;
use http::response;
use tokio::{
    sync::{Semaphore, watch},
    time::Instant,
};
use verbenahead_core::{
    AvailabilityZone, NodeId, ServiceId, SoftwareVersion,
    units::{RequestRate, TokenRate, Tokens},
};
use verbenahead_membership::NameKey;
use verbenahead_policy::{
    CandidateState, CircuitBreaker, CircuitOptions, LoadEstimate, LoadOptions, LoadView,
    MachineSpeed, PlainLoad, ReportedLoad, Timestamp,
};
use verbenahead_services::Market;
use verbenahead_upstream::{Error as UpstreamError, LoadReport, UpstreamAddress};

use crate::{
    attempt::reported_load,
    clock::policy_now,
    dialect::{Dialect, ReplicaNotice, StatedLimit},
    limit_state::{KnownLimit, LimitNews, LimitState},
    service_outcomes::ServiceOutcomes,
};

pub use crate::service_estimates::{SharedBrittleness, SharedCallTime, SharedPrefillRate};

/// Time for which an upstream gets no request after it refused one because it was full. A request
/// without a prompt takes about as long.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for which a replica is closed by one answer. A wrong value must not take it out of
/// use for long, and a replica that is still busy then says so again.
const MAX_CLOSED: Duration = Duration::from_secs(60);

/// Time for which a statement of a replica about rejections goes before earlier ones of others.
const STATEMENT_PERIOD: Duration = Duration::from_secs(5);

/// Time for which the queue that a replica reported is taken to be there.
const QUEUE_PERIOD: Duration = Duration::from_secs(1);

/// Assumed time until a leaving replica stops, if it does not state the time. The replica may stop
/// as soon as this and cut off longer work, so no more time may be assumed.
pub const DEFAULT_REMAINING: Duration = Duration::from_secs(2);

/// Limit on the runs that this node moves away from one replica at the same time.
const MAX_MOVES: usize = 4;

/// `UpstreamStatus` tells whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamStatus {
    /// The upstream accepts new requests.
    Live,
    /// The upstream gets no new requests and stops at the given time.
    Leaving {
        /// Time at which it stops.
        until: Instant,
    },
    /// The upstream is gone.
    Gone,
}

impl fmt::Display for UpstreamStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Live => f.write_str("live"),
            Self::Leaving { until } => {
                let left = until.saturating_duration_since(Instant::now());
                write!(f, "leaving in {} ms", left.as_millis())
            }
            Self::Gone => f.write_str("gone"),
        }
    }
}

/// `RoutingState` is the mutable state that decides whether the upstream is selected.
#[derive(Debug)]
struct RoutingState {
    load: LoadView,
    circuit: CircuitBreaker,
    full_until: Timestamp,
    closed_until: Timestamp,
    /// End of the pause after failures at several nodes.
    paused_until: Timestamp,
    limit: LimitState,
    /// Time at which an answer first said that the upstream leaves.
    announced_at: Option<Timestamp>,
    /// Time of the last answer to this node.
    answered_at: Option<Timestamp>,
    /// Last statement of the upstream about the rejections that it survives, with its time.
    max_rejections: Option<(Option<RequestRate>, Timestamp)>,
}

/// `UpstreamProfile` holds the registered properties of one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamProfile {
    /// Address of the upstream.
    pub address: UpstreamAddress,
    /// Service that the upstream runs.
    pub service: ServiceId,
    /// Version of the upstream's software, if it states one.
    pub software: Option<SoftwareVersion>,
    /// Availability zone of the upstream.
    pub zone: AvailabilityZone,
    /// Market of the VM: on-demand or reclaimable.
    pub market: Market,
    /// Class of the VM. Empty if VMs have no classes.
    pub class: String,
    /// Maximum number of concurrent requests, if the upstream states it.
    pub slots: Option<u32>,
}

/// `UpstreamEntry` is the state of one incarnation of an upstream.
#[derive(Debug, Deref)]
pub struct UpstreamEntry {
    /// Registered properties.
    #[deref]
    profile: UpstreamProfile,
    incarnation_key: NameKey,
    version_key: Option<NameKey>,
    status: watch::Sender<UpstreamStatus>,
    routing: Mutex<RoutingState>,
    /// Estimate shared by all replicas of the service. Without it, the load keeps an estimate of
    /// its own.
    prefill_rate: Option<Arc<SharedPrefillRate>>,
    /// What replicas of the service stated of the rejections that they survive.
    brittleness: Arc<SharedBrittleness>,
    /// Usual time of the service's calls without prompts.
    call_time: Arc<SharedCallTime>,
    /// Outcomes of the requests to all replicas of the service.
    outcomes: Arc<ServiceOutcomes>,
    /// Turns of the runs that are moved away, in the order in which they are asked for.
    move_turns: Arc<Semaphore>,
}

impl UpstreamEntry {
    /// Builds the entry of a live upstream whose load is unknown.
    pub fn new(profile: UpstreamProfile) -> Self {
        Self::with_options(profile, LoadOptions::default(), None)
    }

    /// Builds the entry of a live upstream with load options and an optional shared prefill rate.
    pub fn with_options(
        profile: UpstreamProfile,
        options: LoadOptions,
        prefill_rate: Option<Arc<SharedPrefillRate>>,
    ) -> Self {
        let address = &profile.address;
        let name = format!("{}/{}", address.upstream, address.incarnation.0);
        Self {
            incarnation_key: NameKey::of(&name),
            version_key: profile.software.as_ref().map(|v| NameKey::of(v.as_str())),
            profile,
            status: watch::Sender::new(UpstreamStatus::Live),
            routing: Mutex::new(RoutingState {
                load: LoadView::new(options),
                circuit: CircuitBreaker::new(CircuitOptions::default()),
                full_until: Timestamp::default(),
                closed_until: Timestamp::default(),
                paused_until: Timestamp::default(),
                limit: LimitState::default(),
                announced_at: None,
                answered_at: None,
                max_rejections: None,
            }),
            prefill_rate,
            brittleness: Arc::default(),
            call_time: Arc::default(),
            outcomes: Arc::new(ServiceOutcomes::new(None)),
            move_turns: Arc::new(Semaphore::new(MAX_MOVES)),
        }
    }

    /// Returns the turns of the runs that are moved away from the upstream.
    pub(crate) fn move_turns(&self) -> Arc<Semaphore> {
        Arc::clone(&self.move_turns)
    }

    /// Shares what replicas of the service state of the rejections that they survive.
    #[must_use]
    pub fn with_brittleness(mut self, brittleness: Arc<SharedBrittleness>) -> Self {
        self.brittleness = brittleness;
        self
    }

    /// Shares the usual time of the service's calls without prompts.
    #[must_use]
    pub fn with_call_time(mut self, call_time: Arc<SharedCallTime>) -> Self {
        self.call_time = call_time;
        self
    }

    /// Shares the counts of the outcomes at all replicas of the service.
    #[must_use]
    pub fn with_outcomes(mut self, outcomes: Arc<ServiceOutcomes>) -> Self {
        self.outcomes = outcomes;
        self
    }

    /// Returns the answers per second that this node gets of all replicas of the service.
    pub fn own_answer_rate(&self) -> f64 {
        self.outcomes.answer_rate(policy_now())
    }

    /// Avoids the upstream for `duration`, since it failed requests of several nodes.
    pub fn pause(&self, duration: Duration) {
        let until = policy_now().plus(duration);
        let mut routing = self.routing();
        routing.paused_until = routing.paused_until.max(until);
    }

    /// Returns whether the upstream is avoided because it failed requests of several nodes.
    pub fn is_paused(&self) -> bool {
        policy_now() < self.routing().paused_until
    }

    /// Returns whether two entries are of the same process, which may be registered anew.
    pub(crate) fn is_same_process(&self, other: &Self) -> bool {
        self.address == other.address
    }

    /// Returns the key by which nodes tell each other of this incarnation.
    pub fn incarnation_key(&self) -> NameKey {
        self.incarnation_key
    }

    /// Returns the key by which nodes tell each other of the version of the upstream's software, if it
    /// states one.
    pub fn version_key(&self) -> Option<NameKey> {
        self.version_key
    }

    /// Returns the registered properties of the upstream.
    pub fn profile(&self) -> &UpstreamProfile {
        &self.profile
    }

    /// Returns whether the upstream accepts new requests, is leaving or is gone.
    pub fn status(&self) -> UpstreamStatus {
        *self.status.borrow()
    }

    /// Returns a receiver of changes of the status.
    pub fn watch_status(&self) -> watch::Receiver<UpstreamStatus> {
        self.status.subscribe()
    }

    /// Marks the upstream as stopping after `remaining`. Returns whether it was live before. The
    /// first stated time is kept, since a later reading of the same notice is less exact.
    pub fn mark_leaving(&self, remaining: Duration) -> bool {
        self.status.send_if_modified(|status| {
            let is_live = *status == UpstreamStatus::Live;
            if is_live {
                let until = Instant::now() + remaining;
                *status = UpstreamStatus::Leaving { until };
            }
            is_live
        })
    }

    /// Marks the upstream as gone.
    pub fn mark_gone(&self) {
        self.status.send_replace(UpstreamStatus::Gone);
    }

    /// Returns the state of the upstream as a candidate for new requests.
    pub fn candidate_state(&self) -> CandidateState {
        if self.status() != UpstreamStatus::Live {
            return CandidateState::Leaving;
        }
        let now = policy_now();
        let routing = self.routing();
        if now < routing.full_until {
            return CandidateState::Full;
        }
        if now >= routing.paused_until && routing.circuit.allows(now) {
            CandidateState::Ready
        } else {
            CandidateState::CircuitOpen
        }
    }

    /// Records the load reported in the headers of a response.
    pub fn record_reported(&self, load: ReportedLoad) {
        self.routing().load.on_report(load, policy_now());
    }

    /// Records the load that the upstream reported to another node.
    pub fn record_passed_load(&self, load: ReportedLoad) {
        self.routing().load.on_passed_report(load, policy_now());
    }

    /// Returns the load that the upstream reported to this node within the last `period`, if it states the
    /// speed of its machine.
    pub fn direct_load(&self, period: Duration) -> Option<ReportedLoad> {
        self.routing().load.direct_report(period, policy_now())
    }

    /// Returns the load that the upstream reported to this node or another one within the last `period`, if
    /// it states the speed of its machine.
    pub(crate) fn stated_load(&self, period: Duration) -> Option<ReportedLoad> {
        self.routing().load.stated_report(period, policy_now())
    }

    /// Records the load that the response to a probe reports. Another replica may have the address by now,
    /// so only figures of the speed are taken for an answer of this one.
    pub(crate) fn record_probe(&self, dialect: &dyn Dialect, head: &response::Parts) {
        let slots = dialect.reported_slots(&head.headers);
        if let Some(slots) = slots.filter(|slots| slots.time_percent.is_some()) {
            self.record_reported(reported_load(slots));
        }
    }

    /// Records that the upstream refused a request because it was full.
    pub fn record_full(&self) {
        self.routing().full_until = policy_now().plus(FULL_PAUSE);
    }

    /// Applies what an answer of the upstream says of itself.
    pub(crate) fn apply_notice(&self, notice: ReplicaNotice) {
        let upstream = &self.address.upstream;
        if notice.is_leaving {
            self.routing().announced_at.get_or_insert(policy_now());
            if self.mark_leaving(DEFAULT_REMAINING) {
                tracing::info!(%upstream, "replica leaves by its own answer");
            }
        }
        if let Some(closed_for) = notice.closed_for {
            let closed_for = closed_for.min(MAX_CLOSED);
            let until = policy_now().plus(closed_for);
            let mut routing = self.routing();
            routing.closed_until = routing.closed_until.max(until);
            drop(routing);
            let closed_ms = closed_for.as_millis() as u64;
            tracing::info!(%upstream, closed_ms, "replica wants no requests");
        }
        if let Some(stated) = stated_rate(notice.max_rejections) {
            self.apply_max_rejections(stated);
        }
        if let Some(stated) = stated_rate(notice.limit) {
            self.apply_statement(stated);
        }
    }

    /// Applies the rejections per second that the upstream survives by its own answer, or that it states no
    /// number.
    pub fn apply_max_rejections(&self, stated: Option<RequestRate>) {
        let now = policy_now();
        self.brittleness.record(stated, now);
        let before = self.routing().max_rejections.replace((stated, now));
        let before = before.and_then(|(rate, _)| rate);
        if before != stated {
            tracing::info!(
                upstream = %self.address.upstream,
                per_second = stated.map(|rate| rate.0),
                before = before.map(|rate| rate.0),
                "rejections that a replica survives changed",
            );
        }
    }

    /// Returns the rejections per second above which the upstream falls over, if it or another replica of
    /// its service has stated so lately.
    pub fn max_rejections(&self) -> Option<RequestRate> {
        let now = policy_now();
        let own = self.routing().max_rejections;
        match own.filter(|(_, at)| now.since(*at) < STATEMENT_PERIOD) {
            Some((Some(rate), _)) => Some(rate),
            Some((None, at)) => self.brittleness.known(now, at),
            None => self.brittleness.known(now, Timestamp::default()),
        }
    }

    /// Returns whether requests were waiting at the upstream by its last report.
    pub fn has_queue(&self) -> bool {
        let queued = self
            .routing()
            .load
            .reported_queue(QUEUE_PERIOD, policy_now());
        queued.is_some_and(|queued| queued > 0)
    }

    /// Applies the limit that an answer of the upstream states, or that it states none.
    pub fn apply_statement(&self, stated: Option<RequestRate>) {
        let before = self.routing().limit.on_stated(stated, policy_now());
        if let Some(before) = before {
            self.log_limit(stated, before, None);
        }
    }

    /// Applies what another node tells of the limit of the upstream.
    pub fn apply_limit_news(&self, news: LimitNews, told_by: &NodeId) {
        let before = self.routing().limit.on_news(news, policy_now());
        if let Some(before) = before {
            self.log_limit(news.rate, before, Some(told_by));
        }
    }

    fn log_limit(
        &self,
        limit: Option<RequestRate>,
        before: Option<RequestRate>,
        told_by: Option<&NodeId>,
    ) {
        tracing::info!(
            upstream = %self.address.upstream,
            per_second = limit.map(|rate| rate.0),
            before = before.map(|rate| rate.0),
            told_by = told_by.map(tracing::field::display),
            "limit of a replica changed",
        );
    }

    /// Returns the limit on the requests of all nodes together that the upstream stated last.
    pub fn limit(&self) -> Option<KnownLimit> {
        self.routing().limit.known(policy_now())
    }

    /// Returns what to tell other nodes of the limit, if the upstream stated it within the last `period`.
    pub fn limit_news(&self, period: Duration) -> Option<LimitNews> {
        self.routing().limit.news(period, policy_now())
    }

    /// Leaves the upstream alone for `period`, since its limit allows no request of this node.
    pub fn pause_limited(&self, period: Duration) {
        self.routing().limit.pause(period, policy_now());
    }

    /// Marks that a grant for a request to the upstream is being asked for, until the returned guard is
    /// dropped. Returns `None` if one already is.
    pub(crate) fn begin_grant_request(self: &Arc<Self>) -> Option<PendingGrant> {
        let is_begun = self.routing().limit.begin_request();
        is_begun.then(|| PendingGrant(Arc::clone(self)))
    }

    /// Returns whether an answer to this node said within the last `period` that the upstream leaves.
    pub fn has_announced_leaving(&self, period: Duration) -> bool {
        let announced_at = self.routing().announced_at;
        announced_at.is_some_and(|at| policy_now().since(at) < period)
    }

    /// Returns the time for which the upstream gets no requests from this node, because it wants none or
    /// is at its limit, or `None` if it accepts them.
    pub fn closed_for(&self) -> Option<Duration> {
        let now = policy_now();
        let routing = self.routing();
        let left = routing.closed_until.since(now);
        let closed_for = (!left.is_zero()).then_some(left);
        closed_for.max(routing.limit.paused_for(now))
    }

    /// Returns whether the upstream accepts new requests of this node.
    pub fn is_open(&self) -> bool {
        self.status() == UpstreamStatus::Live && self.closed_for().is_none()
    }

    /// Records a load report.
    pub fn record_load(&self, report: &LoadReport) {
        let load = ReportedLoad {
            running: report.running,
            queued: report.queued,
            batch_limit: report.batch_limit,
            queued_tokens: Some(Tokens(report.queued_tokens)),
            time_percent: None,
            age: Duration::from_millis(report.age_ms),
        };
        self.routing().load.on_report(load, policy_now());
    }

    /// Records that the upstream answered this node.
    pub(crate) fn record_answer(&self) {
        self.routing().answered_at = Some(policy_now());
    }

    /// Returns the time since the upstream last answered this node, if it ever did.
    pub fn last_answer_age(&self) -> Option<Duration> {
        let answered_at = self.routing().answered_at;
        answered_at.map(|at| policy_now().since(at))
    }

    /// Returns the number of requests that other nodes recently reported to have at the upstream.
    pub fn other_requests(&self) -> Option<u32> {
        self.routing().load.other_requests(policy_now())
    }

    /// Returns whether a load report has been recorded.
    pub fn has_report(&self) -> bool {
        self.load_age().is_some()
    }

    /// Returns the age of the last load report, if there is one.
    pub fn load_age(&self) -> Option<Duration> {
        self.routing().load.report_age(policy_now())
    }

    /// Returns the estimated load.
    pub fn load(&self) -> LoadEstimate {
        let mut routing = self.routing();
        if let Some(shared) = &self.prefill_rate {
            routing.load.set_prefill_rate(shared.rate());
        }
        routing.load.estimate(policy_now())
    }

    /// Returns the speed of the machine, if the upstream states it.
    pub fn speed(&self) -> Option<MachineSpeed> {
        self.routing().load.speed(policy_now())
    }

    /// Returns the expected load of a replica that gets calls without prompts, if it states the speed of
    /// its machine.
    pub fn plain_load(&self) -> Option<PlainLoad> {
        let call_time = self.call_time.get();
        self.routing().load.plain_load(call_time, policy_now())
    }

    /// Returns the estimated rate at which the upstream processes prompts.
    pub fn prefill_rate(&self) -> TokenRate {
        match &self.prefill_rate {
            Some(shared) => shared.rate(),
            None => self.routing().load.prefill_rate(),
        }
    }

    /// Records the requests and queued prompt tokens that all other nodes together have at the
    /// upstream.
    pub fn record_other_nodes(&self, requests: u32, queued: Tokens) {
        self.routing()
            .load
            .on_other_nodes(requests, queued, policy_now());
    }

    /// Returns the prompt tokens of this node's requests that have not produced a first token.
    pub fn own_queued(&self) -> Tokens {
        self.routing().load.own_queued()
    }

    /// Returns the number of requests that this node has outstanding at the upstream.
    pub fn outstanding(&self) -> u32 {
        self.routing().load.outstanding()
    }

    /// Counts a request as outstanding until the returned guard is dropped. `number` is unique
    /// among the node's requests to the upstream, and `uncached` is the number of prompt tokens
    /// that the upstream probably has to process.
    pub fn track_request(self: &Arc<Self>, number: u64, uncached: Tokens) -> OutstandingRequest {
        let now = policy_now();
        let mut routing = self.routing();
        routing.load.on_sent(number, uncached, now);
        routing.circuit.on_sent(now);
        drop(routing);
        OutstandingRequest {
            entry: Arc::clone(self),
            number,
            started: Instant::now(),
        }
    }

    /// Records that an attempt at the upstream succeeded.
    pub fn record_success(&self) {
        let now = policy_now();
        self.outcomes.record_answer(now);
        self.routing().circuit.on_success(now);
    }

    /// Records that an attempt at the upstream failed due to a fault of the upstream.
    pub fn record_failure(&self) {
        let now = policy_now();
        let mut routing = self.routing();
        routing.circuit.on_failure(now, &mut rand::rng());
        let states_speed = routing.load.speed(now).is_some();
        drop(routing);
        self.outcomes.record_answer(now);
        if states_speed {
            self.outcomes.pass_on_failure(self.incarnation_key);
        }
    }

    /// Forgets the attempts that failed.
    pub(crate) fn reset_circuit(&self) {
        self.routing().circuit = CircuitBreaker::new(CircuitOptions::default());
    }

    /// Records that an attempt at the upstream failed with this error. A refused connection leaves no
    /// doubt that the upstream is down.
    pub fn record_error(&self, error: &UpstreamError) {
        match error {
            UpstreamError::ConnectionRefused { .. } => {
                self.routing().circuit.trip(policy_now(), &mut rand::rng());
            }
            _ => self.record_failure(),
        }
    }

    fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what a statement says, or `None` if it says nothing.
fn stated_rate(stated: StatedLimit) -> Option<Option<RequestRate>> {
    match stated {
        StatedLimit::Unknown => None,
        StatedLimit::None => Some(None),
        StatedLimit::Rate(rate) => Some(Some(rate)),
    }
}

/// `PendingGrant` marks that a grant for a request to an upstream is being asked for, until it is dropped.
#[derive(Debug)]
pub(crate) struct PendingGrant(Arc<UpstreamEntry>);

impl Drop for PendingGrant {
    fn drop(&mut self) {
        self.0.routing().limit.end_request();
    }
}

/// `OutstandingRequest` is a guard that counts one request at an upstream until it is dropped.
#[derive(Debug)]
pub struct OutstandingRequest {
    entry: Arc<UpstreamEntry>,
    number: u64,
    started: Instant,
}

impl OutstandingRequest {
    /// Records the arrival of the first token. `processed` is the number of prompt tokens that the
    /// upstream had to process whatever it had cached.
    pub fn record_first_token(&self, processed: Tokens) {
        let mut routing = self.entry.routing();
        let now = policy_now();
        let rate = routing
            .load
            .on_first_token(self.number, Some(processed), now);
        drop(routing);
        if let (Some(rate), Some(shared)) = (rate, &self.entry.prefill_rate) {
            shared.add_sample(rate, processed);
        }
    }
}

impl OutstandingRequest {
    /// Records that a call without a prompt was answered completely.
    pub fn record_call(&self) {
        let elapsed = self.started.elapsed();
        let call_time = &self.entry.call_time;
        let usual = call_time.get();
        let mut routing = self.entry.routing();
        let time = routing.load.on_call(self.number, usual, elapsed);
        drop(routing);
        if let Some(time) = time {
            call_time.add_sample(time);
        }
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let mut routing = self.entry.routing();
        routing
            .load
            .on_finished(self.number, self.started.elapsed(), policy_now());
    }
}
