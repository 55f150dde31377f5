//! Prometheus metrics of a relay node. Their names are stable.

use std::{sync::Arc, time::Duration};

use prometheus::{
    GaugeVec, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Registry, Result, TextEncoder,
};
use verbenahead_core::{ServiceId, invariant};
use verbenahead_relay::{AttemptResult, OwnAnswerReason, RelayObserver, RequestEnd};

use super::{
    metrics::{LATENCY_BUCKETS, counters, gauge, gauges, histograms, shares},
    platform_meter::CallMeter,
};

/// `RelayMetrics` holds the metrics of a relay node. Clones share them. `docs/METRICS.md` lists them.
#[derive(Debug, Clone)]
pub struct RelayMetrics {
    registry: Registry,
    /// Finished requests by `route` and `result`.
    pub requests: IntCounterVec,
    /// Finished requests by `workspace` and `result`.
    pub workspace_requests: IntCounterVec,
    /// Time from the arrival of a request to its end, by `route`.
    pub request_time: HistogramVec,
    /// Time from the arrival of a request to the first event of its stream, by `route`.
    pub first_event_time: HistogramVec,
    /// Responses that the node generated itself, by `reason`.
    pub own_answers: IntCounterVec,
    /// Attempts at replicas by `service` and `result`.
    pub attempts: IntCounterVec,
    /// Streams resumed at another replica by `service`.
    pub streams_resumed: IntCounterVec,
    /// Streams whose run was moved to another replica, by `service`.
    pub streams_moved: IntCounterVec,
    /// Answers that another node passed on, since this one did not reach the replica, by `service`.
    pub answers_passed_on: IntCounterVec,
    /// Replicas that this node does not reach, though another node does.
    pub replicas_cut_off: IntGauge,
    /// Collectors of quotas that this node passes over, since they did not answer in time.
    pub quota_collectors_suspected: IntGauge,
    /// Quotas for which this node stands in for the collector.
    pub quota_stand_ins: IntGauge,
    /// Calls to the platform by `service` and `result`.
    pub platform_calls: IntCounterVec,
    /// Duration of calls to the platform by `service`.
    pub platform_call_time: HistogramVec,
    /// 1 when the store answers, else 0.
    pub store_reachable: IntGauge,
    /// Number of times that the store came back from a copy, as it states.
    pub store_era: IntGauge,
    /// Usage windows that were left out since the start because the store may have lost their reports.
    pub usage_windows_left_out: IntGauge,
    /// Level of features in force.
    pub features_in_force: IntGauge,
    /// Nodes that hold the level of features below the one that this build knows.
    pub nodes_behind_features: IntGauge,
    /// Generation of the routes in force.
    pub routes_generation: IntGauge,
    /// Seconds since the current routes came into force.
    pub routes_age: IntGauge,
    /// Nodes by `state`: `live` or `known`.
    pub nodes: IntGaugeVec,
    /// Replicas by `service`, `zone` and `state`.
    pub replicas: IntGaugeVec,
    /// Replicas that named a limit on the requests of all nodes, by `service`.
    pub limited_replicas: IntGaugeVec,
    /// Requests that this node has sent to replicas and that are not finished, by `service`.
    pub outstanding: IntGaugeVec,
    /// Part of the requests that goes to the target of a rollout, by `service`.
    pub rollout_share: GaugeVec,
    /// Attempts since the order of a rollout, by `service` and `version`.
    pub rollout_attempts: IntGaugeVec,
    /// Failed and lost attempts among them, by `service` and `version`.
    pub rollout_failures: IntGaugeVec,
    /// Fencing number of the lease for duties, or 0 when the node does not hold it.
    pub held_lease: IntGauge,
    /// Parts of prompts that are quarantined.
    pub quarantined_parts: IntGauge,
    /// Requests that are quarantined.
    pub quarantined_requests: IntGauge,
    /// Choices of replicas for which placement coordinators were asked, by `decided_by`.
    pub placements: IntGaugeVec,
    /// Decisions on prompts while their service lacked places, by `decision`.
    pub service_admissions: IntGaugeVec,
    /// Admitted fraction of the demand of a service in thousandths.
    pub service_admitted: IntGaugeVec,
    /// Choices of replicas for the most urgent requests of a service, by placement coordinators.
    pub urgent_placements: IntGauge,
    /// Inquiries to placement coordinators without an answer in time.
    pub placement_unanswered: IntGauge,
    /// Bytes sent in messages about placement.
    pub placement_bytes: IntGauge,
    /// Open connections by `listener`.
    pub connections: IntGaugeVec,
    /// Connections of clients that were closed for their use of the node, by `reason`.
    pub connections_closed: IntCounterVec,
    /// Memory that clients hold, in bytes.
    pub client_memory: IntGauge,
    /// Most memory that clients may hold, in bytes.
    pub client_memory_limit: IntGauge,
    /// Log lines dropped since the start.
    pub dropped_lines: IntGauge,
    /// Failed invariant checks, updated by [`RelayMetrics::encode`].
    invariants_broken: IntGauge,
}

impl RelayMetrics {
    /// Registers all metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric is invalid.
    pub fn try_new() -> Result<Self> {
        let registry = Registry::new_custom(Some("verbenahead_relay".to_owned()), None)?;
        let r = &registry;
        let latency = LATENCY_BUCKETS;
        Ok(Self {
            requests: counters(r, "requests_total", "Ended requests", &["route", "result"])?,
            workspace_requests: counters(
                r,
                "workspace_requests_total",
                "Ended requests by workspace",
                &["workspace", "result"],
            )?,
            request_time: histograms(
                r,
                "request_seconds",
                "Time from the arrival of a request to its end",
                &["route"],
                latency,
            )?,
            first_event_time: histograms(
                r,
                "first_event_seconds",
                "Time from the arrival of a request to the first event of its stream",
                &["route"],
                latency,
            )?,
            own_answers: counters(
                r,
                "own_answers_total",
                "Answers of the node's own",
                &["reason"],
            )?,
            attempts: counters(
                r,
                "attempts_total",
                "Attempts at replicas",
                &["service", "result"],
            )?,
            streams_resumed: counters(
                r,
                "streams_resumed_total",
                "Streams that went on at another replica",
                &["service"],
            )?,
            streams_moved: counters(
                r,
                "streams_moved_total",
                "Streams whose run was handed over to another replica",
                &["service"],
            )?,
            answers_passed_on: counters(
                r,
                "answers_passed_on_total",
                "Answers that another node passed on",
                &["service"],
            )?,
            replicas_cut_off: gauge(
                r,
                "replicas_cut_off",
                "Replicas that only other nodes reach",
            )?,
            quota_collectors_suspected: gauge(
                r,
                "quota_collectors_suspected",
                "Collectors of quotas that are passed over",
            )?,
            quota_stand_ins: gauge(r, "quota_stand_ins", "Quotas for which this node stands in")?,
            platform_calls: counters(
                r,
                "platform_calls_total",
                "Calls to the platform",
                &["service", "result"],
            )?,
            platform_call_time: histograms(
                r,
                "platform_call_seconds",
                "Time of calls to the platform",
                &["service"],
                latency,
            )?,
            store_reachable: gauge(r, "store_reachable", "Whether the store answers")?,
            store_era: gauge(r, "store_era", "Restores of the store, as it states them")?,
            usage_windows_left_out: gauge(
                r,
                "usage_windows_left_out",
                "Usage windows left out since their reports may be lost",
            )?,
            features_in_force: gauge(r, "features_in_force", "Level of features in force")?,
            nodes_behind_features: gauge(
                r,
                "nodes_behind_features",
                "Nodes that hold the level of features below the one that this build knows",
            )?,
            routes_generation: gauge(r, "routes_generation", "Generation of the routes in force")?,
            routes_age: gauge(
                r,
                "routes_age_seconds",
                "Seconds since the routes in force were put in force",
            )?,
            nodes: gauges(r, "nodes", "Nodes that this node knows", &["state"])?,
            replicas: gauges(
                r,
                "replicas",
                "Registered replicas",
                &["service", "zone", "state"],
            )?,
            limited_replicas: gauges(
                r,
                "limited_replicas",
                "Replicas that named a limit on the requests of all nodes",
                &["service"],
            )?,
            outstanding: gauges(
                r,
                "outstanding_requests",
                "Requests that this node has at replicas",
                &["service"],
            )?,
            rollout_share: shares(
                r,
                "rollout_share",
                "Part of the requests that goes to the target of a rollout",
                &["service"],
            )?,
            rollout_attempts: gauges(
                r,
                "rollout_attempts",
                "Attempts since the order of a rollout",
                &["service", "version"],
            )?,
            rollout_failures: gauges(
                r,
                "rollout_failures",
                "Failed and lost attempts during a rollout",
                &["service", "version"],
            )?,
            placements: gauges(
                r,
                "placements",
                "Choices of replicas for which placement coordinators were asked",
                &["decided_by"],
            )?,
            service_admissions: gauges(
                r,
                "service_admissions",
                "Decisions on prompts while their service lacked places",
                &["decision"],
            )?,
            service_admitted: gauges(
                r,
                "service_admitted_thousandths",
                "Admitted fraction of the demand of a service in thousandths",
                &["service"],
            )?,
            urgent_placements: gauge(
                r,
                "urgent_placements",
                "Choices of replicas for the most urgent requests of a service, by placement coordinators",
            )?,
            placement_unanswered: gauge(
                r,
                "placement_unanswered",
                "Inquiries to placement coordinators without an answer in time",
            )?,
            placement_bytes: gauge(
                r,
                "placement_bytes",
                "Bytes sent in messages about placement",
            )?,
            held_lease: gauge(r, "held_lease", "Fencing number of the held lease")?,
            quarantined_parts: gauge(
                r,
                "quarantined_parts",
                "Parts of prompts that are kept from replicas",
            )?,
            quarantined_requests: gauge(
                r,
                "quarantined_requests",
                "Requests that are kept from replicas",
            )?,
            connections: gauges(r, "connections", "Open connections", &["listener"])?,
            connections_closed: counters(
                r,
                "connections_closed_total",
                "Connections of clients closed for their use of the node",
                &["reason"],
            )?,
            client_memory: gauge(r, "client_memory_bytes", "Memory that clients hold")?,
            client_memory_limit: gauge(
                r,
                "client_memory_limit_bytes",
                "Most memory that clients may hold",
            )?,
            dropped_lines: gauge(r, "log_lines_dropped", "Log lines that were dropped")?,
            invariants_broken: gauge(r, "invariants_broken", "Invariant checks that failed")?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn encode(&self) -> Result<String> {
        let broken = i64::try_from(invariant::broken_count()).unwrap_or(i64::MAX);
        self.invariants_broken.set(broken);
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Returns a relay observer that updates these metrics.
    pub fn observer(&self) -> Arc<dyn RelayObserver> {
        Arc::new(self.clone())
    }
}

impl CallMeter for RelayMetrics {
    fn call_ended(&self, service: &'static str, result: &'static str, time: Duration) {
        let times = &self.platform_call_time;
        times
            .with_label_values(&[service])
            .observe(time.as_secs_f64());
        let calls = &self.platform_calls;
        calls.with_label_values(&[service, result]).inc();
    }
}

impl RelayObserver for RelayMetrics {
    fn request_ended(&self, end: &RequestEnd<'_>) {
        let result = end.result.to_string();
        let requests = &self.requests;
        requests.with_label_values(&[end.route, &result]).inc();
        if let Some(workspace) = end.workspace {
            let requests = &self.workspace_requests;
            let labels = [workspace.as_str(), &result];
            requests.with_label_values(&labels).inc();
        }
        let times = self.request_time.with_label_values(&[end.route]);
        times.observe(end.elapsed.as_secs_f64());
        if let Some(first_event) = end.first_event {
            let times = self.first_event_time.with_label_values(&[end.route]);
            times.observe(first_event.as_secs_f64());
        }
    }

    fn own_answer(&self, reason: OwnAnswerReason) {
        let label = reason.to_string();
        self.own_answers.with_label_values(&[&label]).inc();
    }

    fn attempt_ended(&self, service: &ServiceId, result: AttemptResult) {
        let labels = [service.as_str(), &result.to_string()];
        self.attempts.with_label_values(&labels).inc();
    }

    fn stream_resumed(&self, service: &ServiceId) {
        self.streams_resumed
            .with_label_values(&[service.as_str()])
            .inc();
    }

    fn answer_passed_on(&self, service: &ServiceId) {
        self.answers_passed_on
            .with_label_values(&[service.as_str()])
            .inc();
    }

    fn stream_moved(&self, service: &ServiceId) {
        self.streams_moved
            .with_label_values(&[service.as_str()])
            .inc();
    }
}
