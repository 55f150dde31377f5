//! The listener for metrics. Gauges are updated when the metrics are requested.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use axum::{Router, extract::State, http::StatusCode, response::IntoResponse, routing::get};
use tokio::time::Instant;
use verbenahead_core::{ContentKind, Generation};
use verbenahead_membership::{Share, SharedRoster};
use verbenahead_relay::{
    ContentQuarantine, DirectPaths, MemoryBudget, PromptPlacement, Rollouts, RouteView,
    ServiceAdmission, SharedQuotas, UpstreamRegistry, upstream::UpstreamStatus,
};
use verbenahead_services::EraView;

use crate::{
    relay_node::reporter::NodeStatus,
    telemetry::{line_writer::LineWriter, relay_metrics::RelayMetrics},
};

/// `MetricsSource` holds the metrics and the state from which their gauges are updated.
#[derive(Clone)]
pub struct MetricsSource {
    /// Metrics of the process.
    pub metrics: RelayMetrics,
    /// Era of the store.
    pub eras: EraView,
    /// Number of usage windows that this node left out because the store may have lost their reports.
    pub windows_left_out: Arc<AtomicU64>,
    /// Routes in force.
    pub routes: RouteView,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Paths to replicas.
    pub direct_paths: Arc<DirectPaths>,
    /// Quotas that the nodes share.
    pub quotas: Arc<SharedQuotas>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Content of requests that is kept from replicas.
    pub quarantine: Arc<ContentQuarantine>,
    /// Rollouts that the node knows.
    pub rollouts: Arc<Rollouts>,
    /// Knowledge of the prompts at replicas.
    pub placement: Arc<PromptPlacement>,
    /// Admission of prompts to services.
    pub service_admission: Arc<ServiceAdmission>,
    /// Status of the node.
    pub status: Arc<NodeStatus>,
    /// Memory that clients hold.
    pub client_memory: MemoryBudget,
    /// Writer of the log, which counts dropped lines.
    pub log: LineWriter,
    /// Generation of the routes at the last request for metrics, and the time since which it has
    /// been in force.
    pub routes_since: Arc<std::sync::Mutex<(Generation, Instant)>>,
}

/// Returns the router of the listener for metrics.
pub fn router(source: MetricsSource) -> Router {
    Router::new()
        .route("/metrics", get(get_metrics))
        .with_state(source)
}

async fn get_metrics(State(source): State<MetricsSource>) -> impl IntoResponse {
    source.update_gauges();
    match source.metrics.encode() {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => {
            tracing::error!(%error, "metrics cannot be encoded");
            (StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

impl MetricsSource {
    fn update_gauges(&self) {
        let metrics = &self.metrics;
        metrics
            .store_reachable
            .set(i64::from(self.status.reaches_store()));
        let era = self.eras.era().unwrap_or_default();
        metrics.store_era.set(era.0 as i64);
        let left_out = self.windows_left_out.load(Ordering::Relaxed);
        metrics.usage_windows_left_out.set(left_out as i64);
        let lease = self.status.held_lease().map_or(0, |fencing| fencing.0);
        metrics.held_lease.set(lease as i64);
        let features = self.status.features();
        metrics.features_in_force.set(features.in_force().0.into());
        let behind = features.held_back_by().len();
        metrics.nodes_behind_features.set(behind as i64);
        let cut_off = self.direct_paths.cut_count();
        metrics.replicas_cut_off.set(cut_off as i64);
        let (suspected, stand_ins) = self.quotas.suspected_and_stand_ins();
        metrics.quota_collectors_suspected.set(suspected as i64);
        metrics.quota_stand_ins.set(stand_ins as i64);
        let quarantined = self.quarantine.reported();
        let count = |kind| quarantined.iter().filter(|q| q.key.kind == kind).count();
        let parts = count(ContentKind::PromptPart);
        metrics.quarantined_parts.set(parts as i64);
        let requests = count(ContentKind::Request);
        metrics.quarantined_requests.set(requests as i64);
        metrics.client_memory.set(self.client_memory.used() as i64);
        let limit = self.client_memory.limit();
        metrics.client_memory_limit.set(limit as i64);
        metrics.dropped_lines.set(self.log.dropped() as i64);
        self.update_placement_gauges();
        self.update_admission_gauges();
        let routes = self.routes.borrow();
        let generation = routes.as_ref().map(|routes| routes.generation());
        let generation = generation.unwrap_or_default();
        metrics.routes_generation.set(generation.0 as i64);
        metrics.routes_age.set(self.routes_age(generation));
        let roster = self.roster.lock();
        let nodes = |state: &str| metrics.nodes.with_label_values(&[state]);
        nodes("live").set(roster.live_count() as i64);
        nodes("known").set(roster.known_count() as i64);
        drop(roster);
        drop(routes);
        self.update_replica_gauges();
        self.update_rollout_gauges();
    }

    fn update_placement_gauges(&self) {
        let counts = self.placement.counts();
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed) as i64;
        let placements = |label: &str| self.metrics.placements.with_label_values(&[label]);
        placements("coordinators").set(read(&counts.by_coordinators));
        placements("own_knowledge").set(read(&counts.unanswered));
        self.metrics.urgent_placements.set(read(&counts.urgent));
        let unanswered = read(&counts.missing_answers);
        self.metrics.placement_unanswered.set(unanswered);
        self.metrics.placement_bytes.set(read(&counts.bytes));
    }

    fn update_admission_gauges(&self) {
        let metrics = &self.metrics;
        let counts = self.service_admission.counts();
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed) as i64;
        let decisions = |label: &str| metrics.service_admissions.with_label_values(&[label]);
        decisions("admitted").set(read(&counts.admitted));
        decisions("held").set(read(&counts.held));
        decisions("refused").set(read(&counts.refused));
        metrics.service_admitted.reset();
        for (service, admitted) in self.service_admission.admitted() {
            metrics
                .service_admitted
                .with_label_values(&[service.as_str()])
                .set((admitted * 1_000.0) as i64);
        }
    }

    fn routes_age(&self, generation: Generation) -> i64 {
        let mut since = self
            .routes_since
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if since.0 != generation {
            *since = (generation, Instant::now());
        }
        since.1.elapsed().as_secs() as i64
    }

    fn update_rollout_gauges(&self) {
        let Some(routes) = self.routes.borrow().clone() else {
            return;
        };
        for service in routes.services() {
            let Some(state) = self.rollouts.state(&service.id) else {
                continue;
            };
            let service = service.id.as_str();
            let share = f64::from(state.share.0) / f64::from(Share::ALL.0);
            let shares = &self.metrics.rollout_share;
            shares.with_label_values(&[service]).set(share);
            for (index, version) in ["other", "target"].into_iter().enumerate() {
                let labels = [service, version];
                let attempts = &self.metrics.rollout_attempts;
                let attempts = attempts.with_label_values(&labels);
                attempts.set(state.attempts[index] as i64);
                let failures = &self.metrics.rollout_failures;
                let failures = failures.with_label_values(&labels);
                failures.set(state.failures[index] as i64);
            }
        }
    }

    fn update_replica_gauges(&self) {
        let mut counts: BTreeMap<(String, String, &str), i64> = BTreeMap::new();
        let mut outstanding: BTreeMap<String, i64> = BTreeMap::new();
        let mut limited: BTreeMap<String, i64> = BTreeMap::new();
        for entry in self.registry.all() {
            let service = entry.service.as_str().to_owned();
            let state = match entry.status() {
                UpstreamStatus::Live => "live",
                UpstreamStatus::Leaving { .. } => "leaving",
                UpstreamStatus::Gone => "gone",
            };
            let zone = entry.zone.as_str().to_owned();
            *counts.entry((service.clone(), zone, state)).or_default() += 1;
            *limited.entry(service.clone()).or_default() += i64::from(entry.limit().is_some());
            *outstanding.entry(service).or_default() += i64::from(entry.outstanding());
        }
        // Without a reset, label sets that have no replicas any more would keep their last values.
        self.metrics.replicas.reset();
        self.metrics.outstanding.reset();
        self.metrics.limited_replicas.reset();
        for ((service, zone, state), count) in counts {
            let labels = [service.as_str(), zone.as_str(), state];
            self.metrics.replicas.with_label_values(&labels).set(count);
        }
        for (service, count) in limited {
            let gauges = &self.metrics.limited_replicas;
            gauges.with_label_values(&[service.as_str()]).set(count);
        }
        for (service, count) in outstanding {
            let gauges = &self.metrics.outstanding;
            gauges.with_label_values(&[service.as_str()]).set(count);
        }
    }
}
