//! The capacity of a service, as far as one node may use it.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};

use crate::load::LoadEstimate;

/// `Capacity` is the capacity that admission may fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Rate at which admitted tokens are worked off.
    pub throughput: TokenRate,
    /// Admitted tokens that are worked on at the same time without waiting.
    pub parallel: Tokens,
}

impl Capacity {
    /// Returns the capacity of upstreams for one of `nodes` nodes, when a request takes
    /// `tokens_per_request` tokens on average.
    pub fn of_upstreams<'a>(
        loads: impl IntoIterator<Item = &'a LoadEstimate>,
        tokens_per_request: Tokens,
        nodes: usize,
    ) -> Self {
        let part = 1.0 / nodes.max(1) as f64;
        let tokens = tokens_per_request.0 as f64;
        let mut throughput = 0.0;
        let mut places = 0.0;
        for load in loads {
            let batch = f64::from(load.batch_limit);
            places += batch;
            throughput += batch * tokens / load.service_time.as_secs_f64().max(MIN_SERVICE_SECONDS);
        }
        Self {
            throughput: TokenRate(throughput * part),
            parallel: Tokens((places * tokens * part) as u64),
        }
    }

    /// Returns the time that working off `tokens` takes.
    pub fn drain_time(&self, tokens: f64) -> Duration {
        if tokens <= 0.0 {
            return Duration::ZERO;
        }
        if self.throughput.0 <= 0.0 {
            return MAX_DRAIN_TIME;
        }
        let seconds = tokens / self.throughput.0;
        Duration::from_secs_f64(seconds.min(MAX_DRAIN_TIME.as_secs_f64()))
    }
}

/// Shortest service time that a capacity is computed with, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.001;

/// Longest time that working off tokens is predicted to take.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3600);
