//! The token bucket of a quota.

use std::time::Duration;

use verbenahead_core::{Generation, units::Tokens};

use crate::{limit_split::DemandMeter, quota_tolerance::QuotaTolerance, time::Timestamp};

/// `QuotaLimit` is the limit of a quota as one generation of the routes states it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Units per second.
    pub rate: f64,
    /// Largest level of the bucket, in units.
    pub burst: f64,
    /// Generation of the routes that state the limit.
    pub generation: Generation,
}

/// `QuotaOptions` sets which requests a nearly exhausted quota admits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaOptions {
    /// Size up to which a request is small, as a part of the burst.
    pub small_request: f64,
    /// Debt up to which small requests are admitted, as a part of the burst. The tolerance may allow less.
    pub max_small_debt: f64,
    /// How far the quota may be exceeded.
    pub tolerance: QuotaTolerance,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self {
            small_request: 0.02,
            max_small_debt: 0.5,
            tolerance: QuotaTolerance::default(),
        }
    }
}

/// `QuotaBucket` is a token bucket that starts empty.
///
/// Its owner may have replaced another owner whose last grants it does not know. Since the bucket
/// starts empty, both owners together grant no more than one of them would have.
#[derive(Debug, Clone)]
pub struct QuotaBucket {
    options: QuotaOptions,
    limit: QuotaLimit,
    /// Part of the quota that may be granted, between 0 and 1.
    share: f64,
    /// Units in the bucket; negative while a debt is paid back.
    level: f64,
    refilled_at: Timestamp,
    /// Recent grants.
    recent: DemandMeter,
}

impl QuotaBucket {
    /// Builds an empty bucket that refills from `now` on.
    pub fn new(options: QuotaOptions, limit: QuotaLimit, now: Timestamp) -> Self {
        Self {
            options,
            limit,
            share: 1.0,
            level: 0.0,
            refilled_at: now,
            recent: DemandMeter::new(RATE_TIME_CONSTANT),
        }
    }

    /// Applies a limit, unless it is of an older generation than the one in force.
    pub fn set_limit(&mut self, limit: QuotaLimit, now: Timestamp) {
        if limit.generation < self.limit.generation || limit == self.limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.burst());
    }

    /// Changes the part of the quota that may be granted.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        if share != self.share {
            self.refill(now);
            self.share = share;
            self.level = self.level.min(self.burst());
        }
    }

    /// Empties the bucket, which does not refill for the time up to `now`. A debt stays.
    pub fn drain(&mut self, now: Timestamp) {
        self.level = self.level.min(0.0);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether much of the quota is used: the bucket is low, or the recent rate of grants is
    /// so high that it would exceed the quota if other nodes granted as much.
    pub fn is_busy(&self, now: Timestamp) -> bool {
        let recent = self.recent.rate(now).0;
        self.level_at(now) < self.burst() * BUSY_LEVEL || recent > self.limit.rate * BUSY_RATE
    }

    /// Returns whether the bucket is full.
    pub fn is_full(&self, now: Timestamp) -> bool {
        self.level_at(now) >= self.burst()
    }

    /// Returns how long a request has to wait, zero if it may be granted now.
    ///
    /// A request of any size is granted unless there is a debt, and may leave one, so that small
    /// requests cannot starve large ones. Small requests are also granted up to a bounded debt, the
    /// smaller the deeper: while the quota is used up, the same units then serve the most callers.
    /// Larger ones get their turn when they [return](Self::wait_of_due).
    pub fn wait(&self, units: Tokens, now: Timestamp) -> Duration {
        let small = (self.limit.burst * self.options.small_request).max(1.0);
        let part_of_debt = (1.0 - units.0 as f64 / small).max(0.0);
        self.wait_until(-self.max_small_debt() * part_of_debt, now)
    }

    /// Returns like [`wait`](Self::wait) how long a request has to wait whose caller returns when it was told
    /// to. It goes before new requests, so that the time that it was told holds.
    pub fn wait_of_due(&self, now: Timestamp) -> Duration {
        self.wait_until(-self.max_small_debt() * DUE_DEBT, now)
    }

    fn wait_until(&self, lowest: f64, now: Timestamp) -> Duration {
        let missing = lowest - self.level_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = (1.0 + missing) / self.rate().max(MIN_RATE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Returns the time in which the quota provides `units`.
    pub fn service_time(&self, units: Tokens) -> Duration {
        let seconds = units.0 as f64 / self.rate().max(MIN_RATE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Takes the units of a granted request, which may leave a debt.
    pub fn take(&mut self, units: Tokens, now: Timestamp) {
        self.refill(now);
        self.level -= units.0 as f64;
        self.recent.add(units.0 as f64, now);
    }

    /// Credits the units of a granted request that did not run.
    pub fn refund(&mut self, units: Tokens, now: Timestamp) {
        self.refill(now);
        self.level = (self.level + units.0 as f64).min(self.burst());
    }

    fn max_small_debt(&self) -> f64 {
        let tolerance = &self.options.tolerance;
        tolerance.max_small_debt(&self.limit, self.options.max_small_debt) * self.share
    }

    fn rate(&self) -> f64 {
        self.limit.rate * self.share
    }

    fn burst(&self) -> f64 {
        self.limit.burst * self.share
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        (self.level + self.rate() * seconds).min(self.burst())
    }

    fn refill(&mut self, now: Timestamp) {
        self.level = self.level_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Debt up to which requests of returning callers are granted, as a multiple of that of small requests.
const DUE_DEBT: f64 = 1.5;

/// Level below which a bucket is busy, as a part of the burst.
const BUSY_LEVEL: f64 = 0.5;

/// Rate of grants above which a bucket is busy, as a part of the rate of the quota.
const BUSY_RATE: f64 = 0.35;

/// Time constant of the recent rate of grants.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Lower bound of the rate from which a wait is computed, in units per second.
const MIN_RATE: f64 = 1e-3;

/// Upper bound of the wait.
const MAX_WAIT: Duration = Duration::from_secs(3600);
