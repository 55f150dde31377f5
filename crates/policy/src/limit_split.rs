//! The part of a workspace's limit that is allocated to one node.
//!
//! Nodes publish the demand that they observe, and each computes its own allocation from the
//! demand of all nodes, without consensus. While their views differ, the allocations may add up to
//! more than the limit. The sum is bounded: no allocation exceeds an equal split times
//! [`LimitSplitOptions::max_equal_factor`], so with `n` live nodes of which each sees at least
//! `m`, the sum stays within `max_equal_factor * n / m` times the limit, whatever demand the nodes
//! assume. An allocation falls immediately and rises slowly, so the sum exceeds the limit only
//! through a view that stays wrong, not through one that is briefly outdated.

use std::time::Duration;

use verbenahead_core::units::TokenRate;

use crate::time::Timestamp;

/// `LimitSplitOptions` configures how a limit is split among nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSplitOptions {
    /// Largest allocation of a node, as a multiple of an equal split.
    pub max_equal_factor: f64,
    /// Part of the limit that is split equally, independent of demand, between 0 and 1.
    pub equal_ratio: f64,
    /// Shortest time in which an allocation may double.
    pub doubling_time: Duration,
}

impl Default for LimitSplitOptions {
    fn default() -> Self {
        Self {
            max_equal_factor: 4.0,
            equal_ratio: 0.1,
            doubling_time: Duration::from_secs(2),
        }
    }
}

/// `LimitSplit` computes the allocation of one node from one limit.
#[derive(Debug, Clone)]
pub struct LimitSplit {
    options: LimitSplitOptions,
    /// Tokens per second.
    allocation: Option<f64>,
    updated_at: Timestamp,
}

impl LimitSplit {
    /// Builds a split that has no allocation yet.
    pub fn new(options: LimitSplitOptions) -> Self {
        Self {
            options,
            allocation: None,
            updated_at: Timestamp::default(),
        }
    }

    /// Computes the node's allocation from its own demand and the last known demand of each other
    /// live node. The first allocation is at most an equal split.
    pub fn update(
        &mut self,
        limit: TokenRate,
        own: TokenRate,
        others: &[TokenRate],
        now: Timestamp,
    ) -> TokenRate {
        let equal = limit.0 / (others.len() + 1) as f64;
        let target = self.target(limit.0, own.0, others);
        let before = self.allocation.unwrap_or(equal);
        let allowed = before.max(equal * self.options.equal_ratio) * self.max_growth(now);
        let allocation = target.min(allowed);
        self.allocation = Some(allocation);
        self.updated_at = now;
        TokenRate(allocation)
    }

    /// Returns the upper bound of the sum of the allocations of `nodes` live nodes, each of which
    /// sees at least `seen` nodes including itself.
    pub fn overshoot_bound(&self, limit: TokenRate, nodes: usize, seen: usize) -> TokenRate {
        let per_node = (self.options.max_equal_factor / seen.max(1) as f64).min(1.0);
        TokenRate(limit.0 * per_node * nodes as f64)
    }

    fn target(&self, limit: f64, own: f64, others: &[TokenRate]) -> f64 {
        let nodes = (others.len() + 1) as f64;
        let total = own + others.iter().map(|rate| rate.0).sum::<f64>();
        let target = if total <= limit {
            own + (limit - total) / nodes
        } else {
            let equal = self.options.equal_ratio / nodes;
            limit * (equal + (1.0 - self.options.equal_ratio) * own / total)
        };
        target.min(limit * (self.options.max_equal_factor / nodes).min(1.0))
    }

    /// Returns the factor by which the allocation may have grown since the last update.
    fn max_growth(&self, now: Timestamp) -> f64 {
        if self.allocation.is_none() {
            return 1.0;
        }
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let periods = elapsed
            / self
                .options
                .doubling_time
                .as_secs_f64()
                .max(MIN_TIME_SECONDS);
        periods.min(MAX_DOUBLINGS).exp2()
    }
}

/// Lower bound of the doubling time and of a meter's time constant, in seconds.
const MIN_TIME_SECONDS: f64 = 0.001;

/// Maximum number of doublings of an allocation in one update.
const MAX_DOUBLINGS: f64 = 8.0;

/// `DemandMeter` measures the rate of an amount, such as the tokens that a workspace demands at
/// this node, as an exponentially decaying average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandMeter {
    /// Seconds.
    time_constant: f64,
    rate: f64,
    updated_at: Timestamp,
}

impl DemandMeter {
    /// Builds a meter whose average decays with `time_constant`.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant: time_constant.as_secs_f64().max(MIN_TIME_SECONDS),
            rate: 0.0,
            updated_at: Timestamp::default(),
        }
    }

    /// Adds an amount that was demanded, whether or not it was admitted.
    pub fn add(&mut self, amount: f64, now: Timestamp) {
        self.rate = self.rate(now).0 + amount / self.time_constant;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the average rate at `now`.
    pub fn rate(&self, now: Timestamp) -> TokenRate {
        let seconds = now.since(self.updated_at).as_secs_f64();
        TokenRate(self.rate * (-seconds / self.time_constant).exp())
    }
}
