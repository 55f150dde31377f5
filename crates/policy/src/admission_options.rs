//! The options of admission.

use std::time::Duration;

/// `AdmissionOptions` tune admission to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionOptions {
    /// Longest time for which admitted work may wait at the upstreams.
    pub max_queue_time: Duration,
    /// Part of the time that a request has to spare that it may be expected to wait, between 0
    /// and 1. The rest covers requests of higher priority that come later.
    pub wait_ratio: f64,
    /// Part of the queue that batch work may fill, between 0 and 1.
    pub batch_queue_ratio: f64,
    /// Part of the queue that normal work may fill, between 0 and 1.
    pub normal_queue_ratio: f64,
    /// Part of the room by which requests within their workspace's share may exceed it while
    /// others' borrowed work ends, between 0 and 1.
    pub share_excess: f64,
    /// Part of its share that is kept free for a workspace without demand, between 0 and 1.
    pub idle_reserve: f64,
    /// How much more than its recent use is kept free for a workspace, as a factor.
    pub demand_headroom: f64,
    /// Time over which demand is forgotten.
    pub demand_time: Duration,
    /// Burst that a workspace's limit allows.
    pub limit_burst: Duration,
    /// Longest delay after which a refused caller is asked to come back.
    pub max_retry_after: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            max_queue_time: Duration::from_secs(10),
            wait_ratio: 0.5,
            batch_queue_ratio: 0.0,
            normal_queue_ratio: 0.75,
            share_excess: 0.25,
            idle_reserve: 0.1,
            demand_headroom: 1.5,
            demand_time: Duration::from_secs(5),
            limit_burst: Duration::from_secs(10),
            max_retry_after: Duration::from_secs(30),
        }
    }
}
