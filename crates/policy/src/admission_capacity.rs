//! The part of a service's capacity that one node may use.

use std::time::Duration;

use crate::load::LoadEstimate;

/// `Capacity` is the capacity that admission may fill, in batch slots of the upstreams.
///
/// Capacity counts slots instead of tokens, because what a request takes away from the others is
/// its slot for the duration of its answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests that execute concurrently. A node's part may be fractional.
    pub slots: f64,
    /// Mean time for which a request occupies a slot.
    pub service_time: Duration,
}

impl Capacity {
    /// Returns the part of the upstreams' capacity that each of `nodes` nodes may use.
    pub fn of_upstreams<'a>(
        loads: impl IntoIterator<Item = &'a LoadEstimate>,
        nodes: usize,
    ) -> Self {
        let mut slots = 0.0;
        let mut rate = 0.0;
        for load in loads {
            let batch = f64::from(load.batch_limit);
            slots += batch;
            rate += batch / load.service_time.as_secs_f64().max(MIN_SERVICE_SECONDS);
        }
        let service_time = if rate > 0.0 { slots / rate } else { 0.0 };
        Self {
            slots: slots / nodes.max(1) as f64,
            service_time: Duration::from_secs_f64(service_time),
        }
    }

    /// Returns the requests that complete per second while all slots are occupied.
    pub fn rate(&self) -> f64 {
        self.slots / self.service_time.as_secs_f64().max(MIN_SERVICE_SECONDS)
    }

    /// Returns the time in which `requests` complete while all slots are occupied.
    pub fn drain_time(&self, requests: f64) -> Duration {
        if requests <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.rate();
        if rate <= 0.0 {
            return MAX_DRAIN_TIME;
        }
        Duration::from_secs_f64((requests / rate).min(MAX_DRAIN_TIME.as_secs_f64()))
    }
}

/// Lower bound of the service time from which a rate is computed, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.001;

/// Upper bound of the drain time; also the result when the capacity is zero.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3600);
