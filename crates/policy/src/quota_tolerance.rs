//! How far the nodes together may exceed a quota, and what each cause may take of it.
//!
//! Over any window, the units that run are at most `rate * window + burst` plus what a bucket is in debt at
//! the end of the window plus what ran without a charge. The permitted excess is divided among the causes:
//! a quarter for the debt of small requests, a quarter for requests that are admitted before their grant, and
//! an eighth for the further debt of callers that return when they were told to, and the rest for the last large
//! request, repeated runs, and the time between the grant and the run.

use std::time::Duration;

use crate::quota_bucket::QuotaLimit;

/// `QuotaTolerance` bounds how far the nodes together may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Window over which usage is counted.
    pub window: Duration,
    /// Fraction of the quota by which it may be exceeded.
    pub overage: f64,
    /// Units by which the quota may be exceeded in addition to `overage`.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 140_000.0,
        }
    }
}

impl QuotaTolerance {
    /// Returns the units by which a window may exceed `rate * window + burst`.
    pub fn excess(&self, limit: &QuotaLimit) -> f64 {
        let quota = limit.rate * self.window.as_secs_f64() + limit.burst;
        quota * self.overage + self.slack
    }

    /// Returns the largest debt in units up to which small requests are granted. It is at most `max_debt`,
    /// a part of the burst.
    pub fn max_small_debt(&self, limit: &QuotaLimit, max_debt: f64) -> f64 {
        (limit.burst * max_debt).min(self.excess(limit) * CAUSE_SHARE)
    }

    /// Returns the most units of requests that all nodes together admit before their grant. It is at most
    /// `max_unasked`, a part of the burst.
    pub fn max_unasked(&self, limit: &QuotaLimit, max_unasked: f64) -> f64 {
        (limit.burst * max_unasked).min(self.excess(limit) * CAUSE_SHARE)
    }

    /// Returns the most units in a window that a stand-in grants while the collector may be alive. `rank` is the
    /// number of nodes that precede it. Each further one grants half as much, so that all of them together grant
    /// at most twice what the first one does.
    pub fn max_unconfirmed(&self, limit: &QuotaLimit, rank: u32) -> f64 {
        let halvings = rank.saturating_sub(1).min(64);
        self.excess(limit) * STAND_IN_SHARE * 0.5_f64.powi(halvings as i32)
    }
}

/// Part of the permitted excess that the first stand-in may grant beside a live collector.
const STAND_IN_SHARE: f64 = 0.125;

/// Part of the permitted excess that the debt of small requests may take, and that requests which are
/// admitted before their grant may take.
const CAUSE_SHARE: f64 = 0.25;
