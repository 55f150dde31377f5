//! The part of a workspace's limit that one node may use.
//!
//! Nodes publish the demand that they observe and split the limit by it, without agreeing on the
//! split. While their views differ, the parts may add up to more than the limit. The sum is
//! bounded: no part exceeds the even part times [`LimitSplitOptions::concentration`], so with `n`
//! live nodes of which each sees at least `m`, all parts together stay within `concentration * n
//! / m` times the limit, whatever the nodes believe about demand. A part falls at once and rises
//! slowly, so the excess needs a view that stays wrong, not one that is a moment late.

use std::time::Duration;

use verbenahead_core::units::TokenRate;

use crate::time::Timestamp;

/// `LimitSplitOptions` tune the split of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSplitOptions {
    /// Most that a node's part may exceed the even part, as a factor.
    pub concentration: f64,
    /// Part of the limit that is split evenly, whatever the demand, between 0 and 1.
    pub even_ratio: f64,
    /// Time in which a part may at most double.
    pub raise_time: Duration,
}

impl Default for LimitSplitOptions {
    fn default() -> Self {
        Self {
            concentration: 4.0,
            even_ratio: 0.1,
            raise_time: Duration::from_secs(2),
        }
    }
}

/// `LimitSplit` follows one node's part of one limit.
#[derive(Debug, Clone)]
pub struct LimitSplit {
    options: LimitSplitOptions,
    part: Option<f64>,
    updated_at: Timestamp,
}

impl LimitSplit {
    /// Builds a split that has no part yet.
    pub fn new(options: LimitSplitOptions) -> Self {
        Self {
            options,
            part: None,
            updated_at: Timestamp::default(),
        }
    }

    /// Computes the node's part from its own demand and the last known demand of each other live
    /// node. The first part is at most the even one.
    pub fn update(
        &mut self,
        limit: TokenRate,
        own: TokenRate,
        others: &[TokenRate],
        now: Timestamp,
    ) -> TokenRate {
        let even = limit.0 / (others.len() + 1) as f64;
        let wanted = self.wanted(limit.0, own.0, others);
        let before = self.part.unwrap_or(even);
        let allowed = before.max(even * self.options.even_ratio) * self.raise(now);
        let part = wanted.min(allowed);
        self.part = Some(part);
        self.updated_at = now;
        TokenRate(part)
    }

    /// Returns the largest sum of the parts of `nodes` live nodes, each of which sees at least
    /// `seen` nodes including itself.
    pub fn overshoot_bound(&self, limit: TokenRate, nodes: usize, seen: usize) -> TokenRate {
        let per_node = (self.options.concentration / seen.max(1) as f64).min(1.0);
        TokenRate(limit.0 * per_node * nodes as f64)
    }

    fn wanted(&self, limit: f64, own: f64, others: &[TokenRate]) -> f64 {
        let nodes = (others.len() + 1) as f64;
        let total = own + others.iter().map(|rate| rate.0).sum::<f64>();
        let part = if total <= limit {
            own + (limit - total) / nodes
        } else {
            let even = self.options.even_ratio / nodes;
            limit * (even + (1.0 - self.options.even_ratio) * own / total)
        };
        part.min(limit * (self.options.concentration / nodes).min(1.0))
    }

    fn raise(&self, now: Timestamp) -> f64 {
        if self.part.is_none() {
            return 1.0;
        }
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let periods = elapsed / self.options.raise_time.as_secs_f64().max(MIN_RAISE_SECONDS);
        periods.min(MAX_DOUBLINGS).exp2()
    }
}

/// Shortest time in which a part may double, in seconds.
const MIN_RAISE_SECONDS: f64 = 0.001;

/// Most doublings of a part in one update.
const MAX_DOUBLINGS: f64 = 8.0;

/// `DemandMeter` measures the rate of tokens that a workspace asks for at this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandMeter {
    time_constant: f64,
    rate: f64,
    seen_at: Timestamp,
}

impl DemandMeter {
    /// Builds a meter that forgets demand over `time_constant`.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant: time_constant.as_secs_f64().max(MIN_RAISE_SECONDS),
            rate: 0.0,
            seen_at: Timestamp::default(),
        }
    }

    /// Counts tokens that were asked for, admitted or not.
    pub fn add(&mut self, tokens: f64, now: Timestamp) {
        self.rate = self.rate(now).0 + tokens / self.time_constant;
        self.seen_at = self.seen_at.max(now);
    }

    /// Returns the demand.
    pub fn rate(&self, now: Timestamp) -> TokenRate {
        let seconds = now.since(self.seen_at).as_secs_f64();
        TokenRate(self.rate * (-seconds / self.time_constant).exp())
    }
}
