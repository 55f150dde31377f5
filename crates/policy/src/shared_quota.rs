//! A quota that many nodes use at the same time.
//!
//! Each node follows the whole bucket: it takes out what it lets pass itself at once, and what the
//! others let pass when it hears of it. Between two reports of a node, its use is taken to go on
//! at the rate seen last. So all nodes share what is left, wherever the demand comes from, and the
//! quota is exceeded by at most what the others let pass beyond their last rate while a report is on
//! its way. That excess leaves a debt, which is paid back before more passes.
//!
//! A node that does not hear some of the others leaves them their even part. So nodes that are cut
//! off from each other, or that have all just started, do not each use the whole quota.

use std::time::Duration;

use verbenahead_core::{HashMap, units::Tokens};

use crate::time::Timestamp;

/// `SharedQuotaOptions` tune a shared quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedQuotaOptions {
    /// Time over which the rate of another node is averaged.
    pub rate_time: Duration,
    /// Shortest time for which the rate of a silent node is taken to go on.
    pub min_extrapolation: Duration,
    /// Time for which it is taken to go on, as a multiple of the time between its last reports.
    pub extrapolated_intervals: f64,
    /// Largest request that is small, as a part of the burst.
    pub small_request: f64,
    /// Debt up to which small requests pass, as a part of the burst.
    pub small_debt: f64,
    /// Level below which the quota is nearly used up, as a part of the burst.
    pub low_level: f64,
    /// Use that the others should know of when the quota is nearly used up, as a part of the
    /// burst.
    pub untold_use: f64,
}

impl Default for SharedQuotaOptions {
    fn default() -> Self {
        Self {
            rate_time: Duration::from_secs(2),
            min_extrapolation: Duration::from_secs(3),
            extrapolated_intervals: 1.5,
            small_request: 0.02,
            small_debt: 0.5,
            low_level: 0.5,
            untold_use: 0.02,
        }
    }
}

/// `SharedQuota` is one node's view of a quota.
#[derive(Debug, Clone)]
pub struct SharedQuota {
    options: SharedQuotaOptions,
    rate: f64,
    burst: f64,
    /// Part of the quota that this node shares with those that it hears.
    share: f64,
    level: f64,
    filled_at: Timestamp,
    used: u64,
    /// What all others were told of.
    told: u64,
    others: HashMap<u64, OtherNode>,
}

/// `OtherNode` is what is known of the use of another node.
#[derive(Debug, Clone, Copy)]
struct OtherNode {
    total: u64,
    /// Units per second that it let pass of late.
    rate: f64,
    /// Units that are not in the rate yet.
    unrated: f64,
    heard_at: Timestamp,
    /// Time before the last report in which it was not heard.
    interval: Duration,
    /// Units that were taken out in advance of the next report.
    expected: f64,
}

impl SharedQuota {
    /// Builds the view of a node that shares `share` of the quota with those that it hears.
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
            filled_at: now,
            used: 0,
            told: 0,
            others: HashMap::default(),
        }
    }

    /// Changes the limit from `now` on.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Timestamp) {
        if rate == self.rate && burst == self.burst {
            return;
        }
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.burst * self.share);
    }

    /// Changes the part of the quota that this node shares with those that it hears.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        if share == self.share {
            return;
        }
        self.fill(now);
        self.share = share;
        self.level = self.level.min(self.burst * share);
    }

    /// Returns how long a request has to wait; zero when it may pass now. A request may leave a
    /// debt, so that large ones are not put off for ever by small ones. Small ones pass up to a
    /// bounded debt, since many of them weigh less than one large one.
    pub fn wait(&self, units: Tokens, now: Timestamp) -> Duration {
        let is_small = units.0 as f64 <= self.burst * self.options.small_request;
        let lowest = match is_small {
            true => -self.burst * self.share * self.options.small_debt,
            false => 0.0,
        };
        let missing = lowest - self.level_at(now);
        if missing < 0.0 {
            return Duration::ZERO;
        }
        let seconds = (1.0 + missing) / (self.rate * self.share).max(MIN_RATE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Takes out what this node lets pass.
    pub fn take(&mut self, units: Tokens, now: Timestamp) {
        self.fill(now);
        self.level -= units.0 as f64;
        self.used = self.used.saturating_add(units.0);
    }

    /// Gives back what was taken for a request that did not pass after all.
    pub fn refund(&mut self, units: Tokens, now: Timestamp) {
        self.fill(now);
        self.level = (self.level + units.0 as f64).min(self.burst * self.share);
        self.used = self.used.saturating_sub(units.0);
    }

    /// Returns whether the others should hear at once of what this node let pass: the quota is
    /// nearly used up, and they do not know of a good part. Call [`note_told`](Self::note_told)
    /// once they were told.
    pub fn should_report_now(&self, now: Timestamp) -> bool {
        let untold = self.used.saturating_sub(self.told) as f64;
        let is_low = self.level_at(now) < self.burst * self.share * self.options.low_level;
        is_low && untold > self.burst * self.options.untold_use
    }

    /// Notes that all others were told of what this node let pass.
    pub fn mark_reported(&mut self) {
        self.told = self.used;
    }

    /// Returns what this node has let pass since its start.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Takes in the total of another node, of which `node` identifies the life. What a node has
    /// used before it was first heard counts only if it `is_young`.
    pub fn apply_report(&mut self, node: u64, total: u64, is_young: bool, now: Timestamp) {
        self.fill(now);
        let is_known = self.others.contains_key(&node);
        let other = self.others.entry(node).or_insert_with(|| OtherNode {
            total: if is_young { 0 } else { total },
            rate: 0.0,
            unrated: 0.0,
            heard_at: now,
            interval: Duration::ZERO,
            expected: 0.0,
        });
        let passed = total.saturating_sub(other.total) as f64;
        self.level += other.expected - passed;
        self.level = self.level.min(self.burst * self.share);
        other.expected = 0.0;
        other.total = other.total.max(total);
        // How long it took a node to use what it had before it was first heard is not known.
        if is_known {
            other.follow(passed, now, &self.options);
        }
    }

    /// Forgets nodes that are not `kept`.
    pub fn retain(&mut self, kept: impl Fn(u64) -> bool) {
        self.others.retain(|node, _| kept(*node));
    }

    fn level_at(&self, now: Timestamp) -> f64 {
        let mut filled = self.clone_level();
        filled.advance(now, self);
        filled.level
    }

    fn clone_level(&self) -> Level {
        Level {
            level: self.level,
            filled_at: self.filled_at,
        }
    }

    fn fill(&mut self, now: Timestamp) {
        let mut level = self.clone_level();
        level.advance(now, self);
        for other in self.others.values_mut() {
            other.expected += other.expected_between(self.filled_at, now, &self.options);
        }
        self.level = level.level;
        self.filled_at = level.filled_at;
    }
}

/// `Level` is the content of the bucket at a time.
#[derive(Debug, Clone, Copy)]
struct Level {
    level: f64,
    filled_at: Timestamp,
}

impl Level {
    fn advance(&mut self, now: Timestamp, quota: &SharedQuota) {
        let from = self.filled_at;
        let seconds = now.since(from).as_secs_f64();
        let others = quota.others.values();
        let expected: f64 = others
            .map(|other| other.expected_between(from, now, &quota.options))
            .sum();
        let filled = quota.rate * quota.share * seconds;
        self.level = (self.level + filled - expected).min(quota.burst * quota.share);
        self.filled_at = from.max(now);
    }
}

impl OtherNode {
    /// Takes in what the node let pass since its last report. The longer that took, the more it
    /// says of the present rate.
    fn follow(&mut self, passed: f64, now: Timestamp, options: &SharedQuotaOptions) {
        self.unrated += passed;
        let interval = now.since(self.heard_at);
        let seconds = interval.as_secs_f64();
        if seconds < MIN_INTERVAL {
            return;
        }
        let part = 1.0 - (-seconds / options.rate_time.as_secs_f64()).exp();
        self.rate += part * (self.unrated / seconds - self.rate);
        self.unrated = 0.0;
        self.interval = interval;
        self.heard_at = now;
    }

    fn expected_between(
        &self,
        from: Timestamp,
        to: Timestamp,
        options: &SharedQuotaOptions,
    ) -> f64 {
        let horizon = self.interval.mul_f64(options.extrapolated_intervals);
        let horizon = horizon.max(options.min_extrapolation);
        let end = to.min(self.heard_at.plus(horizon));
        self.rate * end.since(from).as_secs_f64()
    }
}

/// Shortest time between two reports from which a rate is taken, in seconds.
const MIN_INTERVAL: f64 = 0.01;

/// Slowest rate that a wait is computed with, in units per second.
const MIN_RATE: f64 = 1e-3;

/// Longest wait that is asked for.
const MAX_WAIT: Duration = Duration::from_secs(3600);
