//! Admission of prompts to services that lack places.
//!
//! It is in use for services whose replicas stated the speed of their machines and whose callers differ in
//! rank. All other requests are sent as they come.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep};
use verbenahead_core::{HashMap, ServiceId, units::Tokens};
use verbenahead_manifest::RouteTable;
use verbenahead_policy::{
    AdmittedShare, PrefillModel, PressureEstimate, PressureSample, PriorityAdmission,
    PriorityAdmissionOptions, PriorityDecision, PriorityRequest, PromptBlocks, ServicePressure,
    ServicePressureOptions, Timestamp, hash,
};

use crate::{
    clock::policy_now,
    exchange::Exchange,
    own_answer::{OwnAnswer, OwnAnswerReason},
    registry::UpstreamRegistry,
};

/// `ServiceAdmissionOptions` configures the admission to services that lack places.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceAdmissionOptions {
    /// Whether requests may be refused or held.
    pub is_enabled: bool,
    /// Which reports of replicas are used.
    pub pressure: ServicePressureOptions,
    /// When requests are refused.
    pub admission: PriorityAdmissionOptions,
    /// Predicted times of requests.
    pub model: PrefillModel,
    /// Time for which an estimate is used.
    pub refresh: Duration,
    /// Time for which replicas of a service are taken to state their speed after one did.
    pub speed_memory: Duration,
    /// Largest number of requests that are held at the same time.
    pub max_held: u64,
}

impl Default for ServiceAdmissionOptions {
    fn default() -> Self {
        Self {
            is_enabled: true,
            pressure: ServicePressureOptions::default(),
            admission: PriorityAdmissionOptions::default(),
            model: PrefillModel::default(),
            refresh: Duration::from_millis(100),
            speed_memory: Duration::from_secs(60),
            max_held: 64,
        }
    }
}

/// `ServiceAdmissionCounts` are counters since the start of the node.
#[derive(Debug, Default)]
pub struct ServiceAdmissionCounts {
    /// Requests that were admitted while a part of the demand was refused.
    pub admitted: AtomicU64,
    /// Requests that were held for a place.
    pub held: AtomicU64,
    /// Requests that were refused.
    pub refused: AtomicU64,
}

/// `ServiceAdmission` is the state of a node's admission to services.
#[derive(Debug)]
pub struct ServiceAdmission {
    options: ServiceAdmissionOptions,
    registry: Arc<UpstreamRegistry>,
    services: Mutex<HashMap<ServiceId, ServiceState>>,
    held_now: AtomicU64,
    counts: ServiceAdmissionCounts,
}

#[derive(Debug)]
struct ServiceState {
    /// Time at which a replica last stated its speed.
    stated_at: Timestamp,
    pressure: ServicePressure,
    estimate: Option<PressureEstimate>,
    estimated_at: Option<Timestamp>,
    admission: PriorityAdmission,
}

/// `Decided` is a decision with what it was based on.
#[derive(Debug, Clone, Copy)]
struct Decided {
    decision: PriorityDecision,
    share: Option<AdmittedShare>,
    estimate: Option<PressureEstimate>,
}

impl ServiceAdmission {
    /// Builds the admission of a node that knows of no load.
    pub fn new(options: ServiceAdmissionOptions, registry: Arc<UpstreamRegistry>) -> Self {
        Self {
            options,
            registry,
            services: Mutex::default(),
            held_now: AtomicU64::new(0),
            counts: ServiceAdmissionCounts::default(),
        }
    }

    /// Returns counters since the start of the node.
    pub fn counts(&self) -> &ServiceAdmissionCounts {
        &self.counts
    }

    /// Returns the admitted fraction of the demand by service, as last decided.
    pub fn admitted(&self) -> Vec<(ServiceId, f64)> {
        let services = self.lock();
        let admitted =
            |(id, state): (&ServiceId, &ServiceState)| (id.clone(), state.admission.admitted());
        services.iter().map(admitted).collect()
    }

    /// Records that a replica of a service began to answer a request and stated its speed. The returned
    /// guard is dropped when the request leaves the replica.
    pub(crate) fn record_answer(self: &Arc<Self>, service: &ServiceId) -> SlotTimer {
        let now = policy_now();
        let mut services = self.lock();
        match services.get_mut(service) {
            Some(state) => state.stated_at = now,
            None => {
                let state = ServiceState {
                    stated_at: now,
                    pressure: ServicePressure::new(self.options.pressure),
                    estimate: None,
                    estimated_at: None,
                    admission: PriorityAdmission::new(self.options.admission),
                };
                services.insert(service.clone(), state);
            }
        }
        drop(services);
        SlotTimer {
            admission: Arc::clone(self),
            service: service.clone(),
            since: Instant::now(),
        }
    }

    /// Decides on a request, or returns `None` if the service is not subject to admission.
    fn decide(&self, service: &ServiceId, req: &PriorityRequest) -> Option<Decided> {
        let now = policy_now();
        let mut services = self.lock();
        let state = services.get_mut(service)?;
        if now.since(state.stated_at) >= self.options.speed_memory {
            services.remove(service);
            return None;
        }
        let is_due = |at| now.since(at) >= self.options.refresh;
        if state.estimated_at.is_none_or(is_due) {
            let (samples, live) = self.samples(service);
            state.estimate = state.pressure.estimate(&samples, live, now);
            state.estimated_at = Some(now);
        }
        let estimate = state.estimate;
        let draw = rand::random();
        let (decision, share) = state.admission.decide(req, estimate.as_ref(), draw, now);
        Some(Decided {
            decision,
            share,
            estimate,
        })
    }

    /// Returns the last reports of the replicas of a service that serve, and their number.
    fn samples(&self, service: &ServiceId) -> (Vec<PressureSample>, usize) {
        let live = self.registry.live(service);
        let period = self.options.pressure.max_age;
        let reports = live.iter().filter_map(|entry| entry.stated_load(period));
        let samples = reports.map(|report| PressureSample {
            running: report.running,
            waiting: report.queued,
            slots: report.batch_limit,
            age: report.age,
        });
        (samples.collect(), live.len())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `SlotTimer` measures for how long a request occupies a slot of a replica, until it is dropped.
#[derive(Debug)]
pub(crate) struct SlotTimer {
    admission: Arc<ServiceAdmission>,
    service: ServiceId,
    since: Instant,
}

impl Drop for SlotTimer {
    fn drop(&mut self) {
        let mut services = self.admission.lock();
        if let Some(state) = services.get_mut(&self.service) {
            state.admission.on_finished(self.since.elapsed());
        }
    }
}

/// `HeldRequest` counts a request as held until it is dropped.
struct HeldRequest<'a>(&'a AtomicU64);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Exchange {
    /// Holds or refuses a prompt for whose rank the service lacks places. Only the first attempt is subject
    /// to it: a request that was sent already, or a stream that is taken up, holds its place.
    pub(crate) async fn check_service(&self) -> Result<(), OwnAnswer> {
        let admission = &self.relay.service_admission;
        let is_first = self.progress.attempts == 0 && self.resume_after().is_none();
        if !is_first || self.blocks.is_none() || !admission.options.is_enabled {
            return Ok(());
        }
        let Some(routes) = self.relay.routes() else {
            return Ok(());
        };
        if !has_ranks(&routes, &self.service) {
            return Ok(());
        }
        let req = self.priority_request(&admission.options.model);
        let Some(decided) = admission.decide(&self.service, &req) else {
            return Ok(());
        };
        let counts = &admission.counts;
        match decided.decision {
            PriorityDecision::Admit => {
                if decided.share.is_some() {
                    counts.admitted.fetch_add(1, Ordering::Relaxed);
                }
                Ok(())
            }
            PriorityDecision::Hold(time) => {
                let held = admission.held_now.fetch_add(1, Ordering::Relaxed);
                let _held = HeldRequest(&admission.held_now);
                if held < admission.options.max_held {
                    counts.held.fetch_add(1, Ordering::Relaxed);
                    self.log_service(&req, &decided, time, "held for a place at the service");
                    sleep(time).await;
                }
                Ok(())
            }
            PriorityDecision::Refuse(delay) => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                self.log_service(&req, &decided, delay, "service lacks places");
                Err(OwnAnswer::retry_after(OwnAnswerReason::Overloaded, delay))
            }
        }
    }

    fn priority_request(&self, model: &PrefillModel) -> PriorityRequest {
        let rank = self.workspace.as_ref().and_then(|workspace| workspace.rank);
        let workspace = self.workspace.as_ref();
        let workspace = workspace.map_or(0, |w| key(w.id.as_str().as_bytes()));
        let prompt = self.blocks.as_ref().map_or(Tokens(0), PromptBlocks::prompt);
        PriorityRequest {
            caller: self.content.fingerprint().0 as u32,
            workspace,
            rank: rank.unwrap_or(self.route.rank),
            service: model.prefill(prompt, prompt) + model.step(0) * model.steps_per_event,
            objective: self.route.objective,
            left: self.route.objective.saturating_sub(self.arrived.elapsed()),
        }
    }

    fn log_service(
        &self,
        req: &PriorityRequest,
        decided: &Decided,
        delay: Duration,
        message: &'static str,
    ) {
        let estimate = decided.estimate;
        let share = decided.share;
        tracing::info!(
            request = %self.caller.id,
            service = %self.service,
            workspace = self.workspace.as_ref().map(|w| w.id.as_str()),
            rank = req.rank,
            delay_ms = delay.as_millis() as u64,
            taken = estimate.map(|e| rounded(e.taken)),
            waiting = estimate.map(|e| rounded(e.waiting)),
            trend = estimate.and_then(|e| e.trend).map(rounded),
            samples = estimate.map(|e| e.samples),
            samples_age_ms = estimate.map(|e| e.mean_age.as_millis() as u64),
            wait_ms = share.map(|s| s.wait.as_millis() as u64),
            admitted = share.map(|s| rounded(s.all)),
            admitted_of_rank = share.map(|s| rounded(s.rank)),
            admitted_of_workspace = share.map(|s| rounded(s.workspace)),
            predicted_ms = req.service.as_millis() as u64,
            left_ms = req.left.as_millis() as u64,
            "{message}",
        );
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

fn key(bytes: &[u8]) -> u32 {
    hash::hash_bytes(0, bytes) as u32
}

/// Returns whether requests to a service differ in rank.
fn has_ranks(routes: &RouteTable, service: &ServiceId) -> bool {
    let of_service = |targets: &[verbenahead_manifest::RouteTarget]| {
        targets.iter().any(|target| target.service == *service)
    };
    let of_routes = routes
        .routes()
        .filter(|route| of_service(&route.targets))
        .map(|route| route.rank);
    let ranks: BTreeSet<u8> = of_routes.collect();
    let of_workspaces = routes.workspaces().filter_map(|workspace| workspace.rank);
    ranks.len() > 1 || of_workspaces.into_iter().any(|rank| !ranks.contains(&rank))
}
