//! Guards that count live objects in a gauge.

use prometheus::IntGauge;
use verbenahead_core::ServiceId;

use super::metrics::Metrics;

/// `GaugeGuard` adds one to a gauge for as long as the guard lives.
#[derive(Debug)]
pub struct GaugeGuard(IntGauge);

impl GaugeGuard {
    /// Increments a gauge. Dropping the guard decrements it.
    pub fn new(gauge: IntGauge) -> Self {
        gauge.inc();
        Self(gauge)
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    /// Counts a request of a service as in progress until the guard is dropped.
    pub fn request_in_progress(&self, service: &ServiceId) -> GaugeGuard {
        let gauges = &self.requests_in_progress;
        GaugeGuard::new(gauges.with_label_values(&[service.as_str()]))
    }

    /// Returns the gauge of open connections of a listener.
    pub fn connections_gauge(&self, listener: &str) -> IntGauge {
        self.connections.with_label_values(&[listener])
    }
}
