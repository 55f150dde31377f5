//! Prometheus metrics of a node. Their names are stable.

use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result, TextEncoder, core::Collector,
};
use verbenahead_core::invariant;

use crate::operators::PublicationOutcome;

/// Histogram buckets of latencies, in seconds.
pub(super) const LATENCY_BUCKETS: &[f64] = &[
    0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.5, 1.0, 2.5, 5.0, 10.0,
    30.0, 60.0, 120.0,
];

/// Histogram buckets of the time between two tokens, in seconds.
const INTER_TOKEN_BUCKETS: &[f64] = &[
    0.002, 0.004, 0.008, 0.016, 0.024, 0.032, 0.048, 0.064, 0.128, 0.256, 0.512, 1.0,
];

/// `Metrics` holds the metrics of a process. Clones share them. `docs/METRICS.md` lists them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by `workspace`, `service` and `result`.
    pub requests: IntCounterVec,
    /// Requests in progress by `service`.
    pub requests_in_progress: IntGaugeVec,
    /// Time to the first token by `service`.
    pub first_token: HistogramVec,
    /// Mean time between two tokens of a request by `service`.
    pub inter_token: HistogramVec,
    /// Tokens by `service` and `kind`: `prompt`, `answer` or `recomputed`.
    pub tokens: IntCounterVec,
    /// Attempts at upstreams by `service` and `result`.
    pub attempts: IntCounterVec,
    /// Streams moved to another upstream by `service` and `method`.
    pub stream_moves: IntCounterVec,
    /// Dropped frames of abandoned attempts.
    pub late_frames: IntCounter,
    /// Calls through the ledger by `outcome`.
    pub ledger_calls: IntCounterVec,
    /// Requests refused for lack of capacity by `workspace` and `reason`.
    pub refusals: IntCounterVec,
    /// Calls to the platform by `service` and `result`.
    pub platform_calls: IntCounterVec,
    /// Duration of calls to the platform by `service`.
    pub platform_call_time: HistogramVec,
    /// 1 when the platform's table answers, else 0.
    pub table_reachable: IntGauge,
    /// Generation of the manifest that is in force.
    pub manifest_generation: IntGauge,
    /// Publications that this node handled by `outcome`.
    pub publications: IntCounterVec,
    /// Nodes by `state`, as known to this node.
    pub nodes: IntGaugeVec,
    /// Upstreams by `service`, `zone` and `state`.
    pub upstreams: IntGaugeVec,
    /// Reclaims in progress.
    pub reclaims: IntGauge,
    /// Open connections by `listener`.
    pub connections: IntGaugeVec,
    /// Connections of clients that were closed for their use of the node, by `reason`.
    pub connections_closed: IntCounterVec,
    /// Memory that callers and operators hold, in bytes.
    pub client_memory: IntGauge,
    /// Most memory that they may hold, in bytes.
    pub client_memory_limit: IntGauge,
    /// Failed invariant checks, updated by [`Metrics::encode`].
    invariants_broken: IntGauge,
}

impl Metrics {
    /// Registers all metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric is invalid.
    pub fn try_new() -> Result<Self> {
        let registry = Registry::new_custom(Some("verbenahead".to_owned()), None)?;
        let r = &registry;
        let latency = LATENCY_BUCKETS;
        Ok(Self {
            requests: counters(
                r,
                "requests_total",
                "Finished requests",
                &["workspace", "service", "result"],
            )?,
            requests_in_progress: gauges(
                r,
                "requests_in_progress",
                "Requests in progress",
                &["service"],
            )?,
            first_token: histograms(
                r,
                "first_token_seconds",
                "Time to the first token",
                &["service"],
                latency,
            )?,
            inter_token: histograms(
                r,
                "inter_token_seconds",
                "Mean time between two tokens of a request",
                &["service"],
                INTER_TOKEN_BUCKETS,
            )?,
            tokens: counters(r, "tokens_total", "Tokens by kind", &["service", "kind"])?,
            attempts: counters(
                r,
                "attempts_total",
                "Attempts at upstreams",
                &["service", "result"],
            )?,
            stream_moves: counters(
                r,
                "stream_moves_total",
                "Streams moved to another upstream",
                &["service", "method"],
            )?,
            late_frames: counter(
                r,
                "late_frames_total",
                "Dropped frames of abandoned attempts",
            )?,
            ledger_calls: counters(
                r,
                "ledger_calls_total",
                "Calls through the ledger",
                &["outcome"],
            )?,
            refusals: counters(
                r,
                "refusals_total",
                "Requests refused for want of capacity",
                &["workspace", "reason"],
            )?,
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
            table_reachable: gauge(r, "table_reachable", "Whether the platform's table answers")?,
            manifest_generation: gauge(
                r,
                "manifest_generation",
                "Generation of the manifest in force",
            )?,
            publications: counters(
                r,
                "manifest_publications_total",
                "Publications that this node handled",
                &["outcome"],
            )?,
            nodes: gauges(r, "nodes", "Nodes as this node believes", &["state"])?,
            upstreams: gauges(
                r,
                "upstreams",
                "Upstreams by state",
                &["service", "zone", "state"],
            )?,
            reclaims: gauge(r, "reclaims_in_progress", "Reclaims in progress")?,
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
            invariants_broken: gauge(r, "invariants_broken", "Invariant checks that failed")?,
            registry,
        })
    }

    /// Counts a publication by its outcome.
    pub fn count_publication(&self, published: &PublicationOutcome) {
        let outcome = match published {
            PublicationOutcome::Accepted(_) => "accepted",
            PublicationOutcome::Conflict(_) => "conflict",
            PublicationOutcome::NotAccepted(_) => "not_accepted",
            PublicationOutcome::Unknown(_) => "unknown",
        };
        self.publications.with_label_values(&[outcome]).inc();
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
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> Result<C> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    register(registry, IntCounter::new(name, help)?)
}

pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    register(registry, IntGauge::new(name, help)?)
}

pub(super) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec> {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels)?)
}

pub(super) fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec> {
    register(registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
}

pub(super) fn shares(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<GaugeVec> {
    register(registry, GaugeVec::new(Opts::new(name, help), labels)?)
}

pub(super) fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
    buckets: &[f64],
) -> Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    register(registry, HistogramVec::new(opts, labels)?)
}
