//! Records requests in the metrics and in the burn rates of the objectives.

use std::{sync::Arc, time::Duration};

use verbenahead_core::{ServiceId, WorkspaceId, units::Tokens};

use crate::{
    burn::{BurnRecorder, RequestResult},
    telemetry::{gauge_guard::GaugeGuard, metrics::Metrics},
};

/// `RequestObserver` records requests in the metrics and the burn rates. Clones share the counts.
#[derive(Clone)]
pub struct RequestObserver {
    burn: Arc<BurnRecorder>,
    metrics: Metrics,
}

/// `RequestTimes` holds the latencies of one answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestTimes {
    /// Time to the first token, or to the complete answer of a plain service.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens.
    pub inter_token: Option<Duration>,
}

impl RequestObserver {
    /// Builds an observer.
    pub fn new(burn: Arc<BurnRecorder>, metrics: Metrics) -> Self {
        Self { burn, metrics }
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn in_progress(&self, service: &ServiceId) -> GaugeGuard {
        self.metrics.request_in_progress(service)
    }

    /// Counts a request whose answer is complete.
    pub fn answered(&self, workspace: &WorkspaceId, service: &ServiceId, times: RequestTimes) {
        let result = RequestResult {
            is_answered: true,
            first_token: times.first_token,
            inter_token: times.inter_token,
        };
        self.burn.record(workspace, service, result);
        self.count(workspace, service, "answered");
        if let Some(time) = times.first_token {
            let histogram = self
                .metrics
                .first_token
                .with_label_values(&[service.as_str()]);
            histogram.observe(time.as_secs_f64());
        }
        if let Some(time) = times.inter_token {
            let histogram = self
                .metrics
                .inter_token
                .with_label_values(&[service.as_str()]);
            histogram.observe(time.as_secs_f64());
        }
    }

    /// Counts an accepted request that failed.
    pub fn given_up(&self, workspace: &WorkspaceId, service: &ServiceId) {
        let result = RequestResult::default();
        self.burn.record(workspace, service, result);
        self.count(workspace, service, "given_up");
    }

    /// Counts a request whose caller disconnected, or that continues at another node. It does not
    /// count for the objectives at this node.
    pub fn ended_early(&self, workspace: &WorkspaceId, service: &ServiceId, result: &str) {
        self.count(workspace, service, result);
    }

    /// Counts a request that was refused for lack of capacity or quota.
    pub fn refused(&self, workspace: &WorkspaceId, service: &ServiceId, reason: &str) {
        self.burn
            .record(workspace, service, RequestResult::default());
        self.count(workspace, service, "refused");
        let labels = [workspace.as_str(), reason];
        self.metrics.refusals.with_label_values(&labels).inc();
    }

    /// Counts prompt or answer tokens of a request.
    pub fn tokens(&self, service: &ServiceId, kind: &str, count: Tokens) {
        let counter = self
            .metrics
            .tokens
            .with_label_values(&[service.as_str(), kind]);
        counter.inc_by(count.0);
    }

    /// Counts the end of an attempt.
    pub fn attempt(&self, service: &ServiceId, result: &str) {
        let labels = [service.as_str(), result];
        self.metrics.attempts.with_label_values(&labels).inc();
    }

    /// Counts a stream that moves to another upstream.
    pub fn stream_moved(&self, service: &ServiceId, method: &str) {
        let labels = [service.as_str(), method];
        self.metrics.stream_moves.with_label_values(&labels).inc();
    }

    /// Counts a frame that was dropped since it belongs to another attempt or was repeated.
    pub fn late_frame(&self) {
        self.metrics.late_frames.inc();
    }

    /// Counts a non-idempotent call by the outcome reported to its caller.
    pub fn ledger_call(&self, outcome: &str) {
        self.metrics
            .ledger_calls
            .with_label_values(&[outcome])
            .inc();
    }

    fn count(&self, workspace: &WorkspaceId, service: &ServiceId, result: &str) {
        let labels = [workspace.as_str(), service.as_str(), result];
        self.metrics.requests.with_label_values(&labels).inc();
    }
}
