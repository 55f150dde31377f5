//! Options of admission control.

use std::time::Duration;

/// `AdmissionOptions` configures admission to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionOptions {
    /// Longest time for which admitted work may queue at the upstreams.
    pub max_queue_time: Duration,
    /// Part of a request's slack before its deadline that its expected wait may take, between 0
    /// and 1. The rest is a margin for requests of higher priority that arrive later.
    pub max_wait_ratio: f64,
    /// Part of the queue that batch requests may fill, between 0 and 1.
    pub batch_queue_ratio: f64,
    /// Part of the queue that normal requests may fill, between 0 and 1.
    pub normal_queue_ratio: f64,
    /// Part by which requests within their workspace's share may exceed the limit on requests in
    /// flight until the slots that others have borrowed become free, between 0 and 1.
    pub share_excess: f64,
    /// Part of its share that is reserved for a workspace without demand, between 0 and 1.
    pub idle_reserve_ratio: f64,
    /// Factor of a workspace's recent demand that is reserved for it.
    pub demand_headroom: f64,
    /// Time constant of the exponential decay of observed demand.
    pub demand_time_constant: Duration,
    /// Burst of a workspace's token limit, as the time in which the limit's rate refills it.
    pub limit_burst_time: Duration,
    /// Longest retry delay in a refusal.
    pub max_retry_after: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            max_queue_time: Duration::from_secs(10),
            max_wait_ratio: 0.5,
            batch_queue_ratio: 0.0,
            normal_queue_ratio: 0.75,
            share_excess: 0.25,
            idle_reserve_ratio: 0.1,
            demand_headroom: 1.5,
            demand_time_constant: Duration::from_secs(5),
            limit_burst_time: Duration::from_secs(10),
            max_retry_after: Duration::from_secs(30),
        }
    }
}
