//! A quota that is shared by many nodes.
//!
//! Each node keeps its own copy of the whole token bucket. It deducts its own usage immediately and
//! the usage of the other nodes when they report it. Between two reports of a node, its usage is
//! extrapolated at its last known rate. All nodes thus share what is left in the bucket, wherever
//! the demand arrives, and exceed the quota by at most what the others admit above their last known
//! rate while a report is in flight. This excess leaves a debt in the bucket, which is paid back
//! before more is admitted.
//!
//! A node that does not hear from some of the others leaves their equal part of the quota unused.
//! Nodes that are partitioned from each other, or that have all just started, therefore do not each
//! use the whole quota.

use std::time::Duration;

use verbenahead_core::{HashMap, units::Tokens};

use crate::time::Timestamp;

/// `SharedQuotaOptions` configures a shared quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedQuotaOptions {
    /// Time constant of the moving average of another node's rate.
    pub rate_time_constant: Duration,
    /// Lower bound of the time since a node's last report for which its usage is extrapolated.
    pub min_extrapolation: Duration,
    /// Time since a node's last report for which its usage is extrapolated, as a multiple of the
    /// interval between its last two reports.
    pub extrapolated_intervals: f64,
    /// Size up to which a request is small, as a part of the burst.
    pub small_request: f64,
    /// Debt up to which small requests are admitted, as a part of the burst.
    pub max_small_debt: f64,
    /// Level below which the quota is nearly exhausted, as a part of the burst.
    pub low_level: f64,
    /// Unreported usage above which a node reports immediately when the quota is nearly exhausted,
    /// as a part of the burst.
    pub max_unreported: f64,
}

impl Default for SharedQuotaOptions {
    fn default() -> Self {
        Self {
            rate_time_constant: Duration::from_secs(2),
            min_extrapolation: Duration::from_secs(3),
            extrapolated_intervals: 1.5,
            small_request: 0.02,
            max_small_debt: 0.5,
            low_level: 0.5,
            max_unreported: 0.02,
        }
    }
}

/// `SharedQuota` is one node's view of a quota.
#[derive(Debug, Clone)]
pub struct SharedQuota {
    options: SharedQuotaOptions,
    /// Units per second of the whole quota.
    rate: f64,
    /// Largest level of the whole quota, in units.
    burst: f64,
    /// Part of the quota that this node shares with the nodes from which it receives reports.
    share: f64,
    /// Units in the bucket; negative while a debt is paid back.
    level: f64,
    refilled_at: Timestamp,
    /// Units that this node has admitted since its start.
    used: u64,
    /// Part of `used` that was reported to all other nodes.
    reported: u64,
    others: HashMap<u64, OtherNode>,
}

/// `OtherNode` is the known usage of another node.
#[derive(Debug, Clone, Copy)]
struct OtherNode {
    /// Units that it has admitted since its start.
    total: u64,
    /// Moving average of the units that it admits per second.
    rate: f64,
    /// Reported units that are not included in the rate yet.
    unrated: f64,
    /// Time of the last report that is included in the rate.
    reported_at: Timestamp,
    /// Interval between that report and the one before.
    interval: Duration,
    /// Units that were deducted by extrapolation since the last report.
    extrapolated: f64,
}

impl SharedQuota {
    /// Builds a quota of `rate` units per second with a `burst` in units. The node shares the part
    /// `share` of it, between 0 and 1, with the nodes from which it receives reports.
    pub fn new(
        options: SharedQuotaOptions,
        rate: f64,
        burst: f64,
        share: f64,
        now: Timestamp,
    ) -> Self {
        Self {
            options,
            rate,
            burst,
            share,
            level: burst * share,
            refilled_at: now,
            used: 0,
            reported: 0,
            others: HashMap::default(),
        }
    }

    /// Changes the rate and the burst from `now` on.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Timestamp) {
        if rate == self.rate && burst == self.burst {
            return;
        }
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.burst * self.share);
    }

    /// Changes the part of the quota that this node shares with the nodes from which it receives
    /// reports.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        if share == self.share {
            return;
        }
        self.advance(now);
        self.share = share;
        self.level = self.level.min(self.burst * share);
    }

    /// Returns how long a request has to wait, zero if it may be admitted now.
    ///
    /// A request of any size is admitted at a positive level and may leave a debt, so that small
    /// requests cannot starve large ones. Small requests are also admitted up to a bounded debt,
    /// because many of them weigh less than one large request.
    pub fn wait(&self, units: Tokens, now: Timestamp) -> Duration {
        let is_small = units.0 as f64 <= self.burst * self.options.small_request;
        let lowest = match is_small {
            true => -self.burst * self.share * self.options.max_small_debt,
            false => 0.0,
        };
        let missing = lowest - self.level_at(now);
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let seconds = (1.0 + missing) / (self.rate * self.share).max(MIN_RATE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Deducts the units of a request that this node admits.
    pub fn take(&mut self, units: Tokens, now: Timestamp) {
        self.advance(now);
        self.level -= units.0 as f64;
        self.used = self.used.saturating_add(units.0);
    }

    /// Credits the units that were taken for a request that did not run.
    pub fn refund(&mut self, units: Tokens, now: Timestamp) {
        self.advance(now);
        self.level = (self.level + units.0 as f64).min(self.burst * self.share);
        self.used = self.used.saturating_sub(units.0);
    }

    /// Returns whether this node should report its usage to all others immediately, because the
    /// quota is nearly exhausted and much of the usage is unreported. Call
    /// [`mark_reported`](Self::mark_reported) after the report.
    pub fn should_report_now(&self, now: Timestamp) -> bool {
        let unreported = self.used.saturating_sub(self.reported) as f64;
        let is_low = self.level_at(now) < self.burst * self.share * self.options.low_level;
        is_low && unreported > self.burst * self.options.max_unreported
    }

    /// Records that the usage of this node was reported to all others.
    pub fn mark_reported(&mut self) {
        self.reported = self.used;
    }

    /// Returns the units that this node has admitted since its start.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Applies a report of another node, with the `total` of the units that it has admitted since
    /// its start.
    ///
    /// `node` identifies the incarnation of the node. Usage before its first report is deducted
    /// only if the node `has_just_started`.
    pub fn apply_report(&mut self, node: u64, total: u64, has_just_started: bool, now: Timestamp) {
        self.advance(now);
        let is_known = self.others.contains_key(&node);
        let other = self.others.entry(node).or_insert_with(|| OtherNode {
            total: if has_just_started { 0 } else { total },
            rate: 0.0,
            unrated: 0.0,
            reported_at: now,
            interval: Duration::ZERO,
            extrapolated: 0.0,
        });
        let admitted = total.saturating_sub(other.total) as f64;
        self.level += other.extrapolated - admitted;
        self.level = self.level.min(self.burst * self.share);
        other.extrapolated = 0.0;
        other.total = other.total.max(total);
        // A first report gives no rate, because the time in which its units were used is unknown.
        if is_known {
            other.update_rate(admitted, now, &self.options);
        }
    }

    /// Removes the nodes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.others.retain(|node, _| keep(*node));
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let mut bucket = self.bucket();
        bucket.advance(now, self);
        bucket.level
    }

    fn bucket(&self) -> Bucket {
        Bucket {
            level: self.level,
            refilled_at: self.refilled_at,
        }
    }

    /// Refills the bucket and deducts the extrapolated usage of the other nodes up to `now`.
    fn advance(&mut self, now: Timestamp) {
        let mut bucket = self.bucket();
        bucket.advance(now, self);
        for other in self.others.values_mut() {
            other.extrapolated += other.extrapolate(self.refilled_at, now, &self.options);
        }
        self.level = bucket.level;
        self.refilled_at = bucket.refilled_at;
    }
}

/// `Bucket` is the state of the token bucket at the time of its last refill.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    refilled_at: Timestamp,
}

impl Bucket {
    fn advance(&mut self, now: Timestamp, quota: &SharedQuota) {
        let from = self.refilled_at;
        let seconds = now.since(from).as_secs_f64();
        let others = quota.others.values();
        let extrapolated: f64 = others
            .map(|other| other.extrapolate(from, now, &quota.options))
            .sum();
        let refilled = quota.rate * quota.share * seconds;
        self.level = (self.level + refilled - extrapolated).min(quota.burst * quota.share);
        self.refilled_at = from.max(now);
    }
}

impl OtherNode {
    /// Updates the rate by the units that the node has admitted since its last report. The longer
    /// the interval since that report, the larger the weight of the new rate.
    fn update_rate(&mut self, admitted: f64, now: Timestamp, options: &SharedQuotaOptions) {
        self.unrated += admitted;
        let interval = now.since(self.reported_at);
        let seconds = interval.as_secs_f64();
        if seconds < MIN_INTERVAL_SECONDS {
            return;
        }
        let weight = 1.0 - (-seconds / options.rate_time_constant.as_secs_f64()).exp();
        self.rate += weight * (self.unrated / seconds - self.rate);
        self.unrated = 0.0;
        self.interval = interval;
        self.reported_at = now;
    }

    /// Returns the units that the node is expected to admit between two points in time.
    fn extrapolate(&self, from: Timestamp, to: Timestamp, options: &SharedQuotaOptions) -> f64 {
        let horizon = self.interval.mul_f64(options.extrapolated_intervals);
        let horizon = horizon.max(options.min_extrapolation);
        let end = to.min(self.reported_at.plus(horizon));
        self.rate * end.since(from).as_secs_f64()
    }
}

/// Shortest interval between two reports from which a rate is computed, in seconds.
const MIN_INTERVAL_SECONDS: f64 = 0.01;

/// Lower bound of the rate from which a wait is computed, in units per second.
const MIN_RATE: f64 = 1e-3;

/// Upper bound of the wait.
const MAX_WAIT: Duration = Duration::from_secs(3600);
