//! What a node knows about one upstream.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Deref;
use tokio::{sync::watch, time::Instant};
use verbenahead_core::{
    AvailabilityZone, ServiceId,
    units::{TokenRate, Tokens},
};
use verbenahead_policy::{
    CandidateState, CircuitBreaker, CircuitOptions, LoadEstimate, LoadOptions, LoadView,
    PrefillRateEstimator, ReportedLoad, Timestamp,
};
use verbenahead_services::Market;
use verbenahead_upstream::{LoadReport, UpstreamAddress};

use crate::clock::policy_now;

/// Time for which an upstream that refused a request for lack of room gets no further one. A
/// request of a plain service takes about as long.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// `UpstreamStatus` says whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamStatus {
    /// The upstream may get new work.
    Live,
    /// The upstream gets no new work and stops at the given time.
    Leaving {
        /// Time at which it stops.
        until: Instant,
    },
    /// The upstream is gone.
    Gone,
}

#[derive(Debug)]
struct Judgement {
    load: LoadView,
    circuit: CircuitBreaker,
    full_until: Timestamp,
}

/// `UpstreamProfile` is what is registered of one life of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamProfile {
    /// Where the upstream is reached.
    pub address: UpstreamAddress,
    /// Service that it runs.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// How its VM is paid for.
    pub market: Market,
    /// Class of its VM; empty where VMs have none.
    pub class: String,
    /// Requests that it works on at once, if it tells.
    pub slots: Option<u32>,
}

/// `UpstreamEntry` is what a node knows about one life of one upstream.
#[derive(Debug, Deref)]
pub struct UpstreamEntry {
    /// What is registered of the upstream.
    #[deref]
    profile: UpstreamProfile,
    status: watch::Sender<UpstreamStatus>,
    judgement: Mutex<Judgement>,
    /// What all replicas of the service have shown together.
    speed: Option<Arc<SharedSpeed>>,
}

/// `SharedSpeed` is the speed of the replicas of one service. One node sends few prompts to each
/// of them, so it learns from all.
#[derive(Debug)]
pub struct SharedSpeed(Mutex<PrefillRateEstimator>);

impl SharedSpeed {
    /// Starts with a first guess.
    pub fn new(speed: PrefillRateEstimator) -> Self {
        Self(Mutex::new(speed))
    }

    /// Returns the learned rate at which prompts are processed.
    pub fn rate(&self) -> TokenRate {
        self.lock().rate()
    }

    fn learn(&self, shown: TokenRate, processed: Tokens) {
        self.lock().add_sample(shown, processed);
    }

    fn lock(&self) -> MutexGuard<'_, PrefillRateEstimator> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UpstreamEntry {
    /// Builds the entry of an upstream that is live and about whose load nothing is known.
    pub fn new(profile: UpstreamProfile) -> Self {
        Self::with_options(profile, LoadOptions::default(), None)
    }

    /// Builds the entry of an upstream that shares what is learnt of its speed.
    pub fn with_options(
        profile: UpstreamProfile,
        options: LoadOptions,
        speed: Option<Arc<SharedSpeed>>,
    ) -> Self {
        Self {
            profile,
            status: watch::Sender::new(UpstreamStatus::Live),
            judgement: Mutex::new(Judgement {
                load: LoadView::new(options),
                circuit: CircuitBreaker::new(CircuitOptions::default()),
                full_until: Timestamp::default(),
            }),
            speed,
        }
    }

    /// Returns what is registered of the upstream.
    pub fn profile(&self) -> &UpstreamProfile {
        &self.profile
    }

    /// Returns whether the upstream may get new work.
    pub fn status(&self) -> UpstreamStatus {
        *self.status.borrow()
    }

    /// Follows the status.
    pub fn watch_status(&self) -> watch::Receiver<UpstreamStatus> {
        self.status.subscribe()
    }

    /// Says that the upstream stops after `remaining`. An earlier word is kept, since a later
    /// reading of the same notice is less exact.
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

    /// Says that the upstream is gone.
    pub fn mark_gone(&self) {
        self.status.send_replace(UpstreamStatus::Gone);
    }

    /// Returns the state as policies see it.
    pub fn candidate_state(&self) -> CandidateState {
        if self.status() != UpstreamStatus::Live {
            return CandidateState::Leaving;
        }
        let now = policy_now();
        let judgement = self.judgement();
        if now < judgement.full_until {
            return CandidateState::Full;
        }
        if judgement.circuit.allows(now) {
            CandidateState::Ready
        } else {
            CandidateState::CircuitOpen
        }
    }

    /// Takes in a load that came with an answer.
    pub fn record_reported(&self, load: ReportedLoad) {
        self.judgement().load.on_report(load, policy_now());
    }

    /// Notes that the upstream refused a request for lack of room.
    pub fn record_full(&self) {
        self.judgement().full_until = policy_now().plus(FULL_PAUSE);
    }

    /// Takes in a load report.
    pub fn record_load(&self, report: &LoadReport) {
        let load = ReportedLoad {
            running: report.running,
            queued: report.queued,
            batch_limit: report.batch_limit,
            queued_tokens: Some(Tokens(report.queued_tokens)),
            age: Duration::from_millis(report.age_ms),
        };
        self.judgement().load.on_report(load, policy_now());
    }

    /// Returns whether a load report was taken in.
    pub fn has_report(&self) -> bool {
        self.load_age().is_some()
    }

    /// Returns the age of the last load report.
    pub fn load_age(&self) -> Option<Duration> {
        self.judgement().load.report_age(policy_now())
    }

    /// Returns the estimated load.
    pub fn load(&self) -> LoadEstimate {
        let mut judgement = self.judgement();
        if let Some(speed) = &self.speed {
            judgement.load.set_prefill_rate(speed.rate());
        }
        judgement.load.estimate(policy_now())
    }

    /// Returns the learned rate at which the upstream processes prompts.
    pub fn prefill_rate(&self) -> TokenRate {
        match &self.speed {
            Some(speed) => speed.rate(),
            None => self.judgement().load.prefill_rate(),
        }
    }

    /// Takes in what the other nodes together have at the upstream.
    pub fn record_other_nodes(&self, requests: u32, queued: Tokens) {
        self.judgement()
            .load
            .on_other_nodes(requests, queued, policy_now());
    }

    /// Returns the tokens of this node's prompts whose first token has not come.
    pub fn own_queued(&self) -> Tokens {
        self.judgement().load.own_queued()
    }

    /// Returns the number of requests that this node has running there.
    pub fn outstanding(&self) -> u32 {
        self.judgement().load.outstanding()
    }

    /// Counts a request as running until the returned guard is dropped. `number` is unique among
    /// the node's requests to the upstream, and `uncached` is the part of the prompt that the
    /// upstream should have to process.
    pub fn track_request(self: &Arc<Self>, number: u64, uncached: Tokens) -> OutstandingRequest {
        let now = policy_now();
        let mut judgement = self.judgement();
        judgement.load.on_sent(number, uncached, now);
        judgement.circuit.on_sent(now);
        drop(judgement);
        OutstandingRequest {
            entry: Arc::clone(self),
            number,
            started: Instant::now(),
        }
    }

    /// Records that an attempt at the upstream succeeded.
    pub fn record_success(&self) {
        self.judgement().circuit.on_success(policy_now());
    }

    /// Records that an attempt at the upstream failed through a fault of the upstream.
    pub fn record_failure(&self) {
        self.judgement()
            .circuit
            .on_failure(policy_now(), &mut rand::rng());
    }

    fn judgement(&self) -> MutexGuard<'_, Judgement> {
        self.judgement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// `OutstandingWork` counts one request at an upstream for as long as it lives.
#[derive(Debug)]
pub struct OutstandingRequest {
    entry: Arc<UpstreamEntry>,
    number: u64,
    started: Instant,
}

impl OutstandingRequest {
    /// Notes the first token. `processed` is the part of the prompt that the upstream had to
    /// process in any case.
    pub fn note_first_token(&self, processed: Tokens) {
        let mut judgement = self.entry.judgement();
        let now = policy_now();
        let shown = judgement
            .load
            .on_first_token(self.number, Some(processed), now);
        drop(judgement);
        if let (Some(shown), Some(speed)) = (shown, &self.entry.speed) {
            speed.learn(shown, processed);
        }
    }
}

impl Drop for OutstandingRequest {
    fn drop(&mut self) {
        let mut judgement = self.entry.judgement();
        judgement
            .load
            .on_finished(self.number, self.started.elapsed(), policy_now());
    }
}
