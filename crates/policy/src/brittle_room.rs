//! Room at an upstream that falls over when it has to reject too many requests.
//!
//! All nodes together send no more requests than the upstream had when it became brittle, plus a slow rise:
//! each request that ends makes room for one, unless it was rejected or others were waiting. So the
//! rejections are bounded by the rise, and requests that wait run off.

use std::time::Duration;

use verbenahead_core::units::RequestRate;

/// `RoomQuota` is the quota of the requests to a brittle upstream, on top of those that take the place of
/// one that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomQuota {
    /// Rise, in requests per second. It also replaces room whose release was lost.
    pub rate: f64,
    /// Most room that is kept while there is no demand, in requests.
    pub burst: f64,
}

/// Part of the rejections that an upstream survives which the rise may cause. The rest is for nodes that do
/// not know of the upstream's state yet, and for two nodes that keep the quota at the same time.
const RISE_RATIO: f64 = 0.25;

/// Slowest rise, in requests per second. Without one, an upstream that rejected everything would get no
/// more requests.
const MIN_RISE: f64 = 0.25;

/// Most room that is kept, in requests. A bucket with a larger one lets small requests go into debt.
const MAX_KEPT: f64 = 40.0;

/// Returns the quota of an upstream with `slots` that survives `max_rejections`.
pub fn room_quota(max_rejections: RequestRate, slots: u32) -> RoomQuota {
    RoomQuota {
        rate: (max_rejections.0 * RISE_RATIO).max(MIN_RISE),
        burst: f64::from(slots.max(1)).min(MAX_KEPT),
    }
}

/// Returns the rate at which room becomes free at an upstream whose slots are all taken.
pub fn release_rate(quota: RoomQuota, slots: u32, service_time: Duration) -> RequestRate {
    let ends = f64::from(slots.max(1)) / service_time.as_secs_f64().max(MIN_SERVICE_SECONDS);
    RequestRate(ends.max(quota.rate))
}

/// Lower bound of the service time, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.001;
