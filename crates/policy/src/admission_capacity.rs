//! The capacity of a service, as far as one node may use it.

use std::time::Duration;

use crate::load::LoadEstimate;

/// `Capacity` is the capacity that admission may fill, in places of the upstreams' batches.
///
/// Places are counted, not tokens: what a request takes from the others is its place, for as
/// long as its answer lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests that are worked on at the same time. A node's part need not be a whole number.
    pub slots: f64,
    /// Mean time for which a request takes a place.
    pub service_time: Duration,
}

impl Capacity {
    /// Returns the capacity of upstreams for one of `nodes` nodes.
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

    /// Returns the requests that end per second when all places are taken.
    pub fn rate(&self) -> f64 {
        self.slots / self.service_time.as_secs_f64().max(MIN_SERVICE_SECONDS)
    }

    /// Returns the time in which `requests` end when all places are taken.
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

/// Shortest service time that a capacity is computed with, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.001;

/// Longest time in which requests are predicted to end.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3600);
