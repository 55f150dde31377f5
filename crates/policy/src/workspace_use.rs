//! What one workspace uses and wants of a service at one node.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};

use crate::{
    admission_options::AdmissionOptions, limit::TokenBucket, limit_split::DemandMeter,
    time::Timestamp,
};

/// `WorkspaceUse` follows a workspace's admitted work, its demand and its limit.
#[derive(Debug, Clone)]
pub(crate) struct WorkspaceUse {
    pub(crate) share: u32,
    pub(crate) used: u32,
    wanted: f64,
    wanted_at: Timestamp,
    demand_time: Duration,
    demand: DemandMeter,
    limit: Option<TokenBucket>,
    deferred: f64,
    deferred_at: Timestamp,
    deferred_until: Timestamp,
}

impl WorkspaceUse {
    pub(crate) fn new(demand_time: Duration) -> Self {
        Self {
            share: 0,
            used: 0,
            wanted: 0.0,
            wanted_at: Timestamp::default(),
            demand_time,
            demand: DemandMeter::new(demand_time),
            limit: None,
            deferred: 0.0,
            deferred_at: Timestamp::default(),
            deferred_until: Timestamp::default(),
        }
    }

    pub(crate) fn set_limit(&mut self, rate: Option<TokenRate>, burst: Duration, now: Timestamp) {
        match (&mut self.limit, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (limit, rate) => *limit = rate.map(|rate| TokenBucket::new(rate, burst, now)),
        }
    }

    pub(crate) fn limit_wait(&self, tokens: Tokens, now: Timestamp) -> Duration {
        self.limit
            .map_or(Duration::ZERO, |limit| limit.wait(tokens, now))
    }

    pub(crate) fn demand(&self, now: Timestamp) -> TokenRate {
        self.demand.rate(now)
    }

    pub(crate) fn note_demand(&mut self, tokens: Tokens, now: Timestamp) {
        self.demand.add(tokens.0 as f64, now);
        let wanted = f64::from(self.used + 1);
        self.wanted = self.wanted(now).max(wanted);
        self.wanted_at = now;
    }

    pub(crate) fn admit(&mut self, tokens: Tokens, now: Timestamp) {
        self.used += 1;
        if let Some(limit) = &mut self.limit {
            limit.take(tokens, now);
        }
    }

    pub(crate) fn release(&mut self, admitted: Tokens, used: Tokens, now: Timestamp) {
        self.used = self.used.saturating_sub(1);
        if let Some(limit) = &mut self.limit {
            limit.settle(admitted, used, now);
        }
    }

    /// Counts a refused caller, of which `rate` a second may come back, and returns how many are
    /// to come back up to this one.
    pub(crate) fn defer(&mut self, rate: f64, longest: Duration, now: Timestamp) -> f64 {
        let elapsed = now.since(self.deferred_at).as_secs_f64();
        let left = (self.deferred - elapsed * rate).max(0.0);
        let most = (longest.as_secs_f64() * rate).max(1.0);
        self.deferred = (left + 1.0).min(most);
        self.deferred_at = now;
        let seconds = (self.deferred / rate.max(f64::MIN_POSITIVE)).min(longest.as_secs_f64());
        self.deferred_until = now.plus(Duration::from_secs_f64(seconds));
        self.deferred
    }

    /// Returns whether refused callers are still to come back.
    pub(crate) fn is_deferring(&self, now: Timestamp) -> bool {
        now < self.deferred_until
    }

    /// Returns how much of its guaranteed part is kept free for this workspace: what it has
    /// lately wanted beyond what it uses, and at least a small part when it has wanted nothing.
    pub(crate) fn kept(&self, guaranteed: f64, options: &AdmissionOptions, now: Timestamp) -> f64 {
        let unused = (guaranteed - f64::from(self.used)).max(0.0);
        let expected = self.wanted(now) * options.demand_headroom - f64::from(self.used);
        expected.max(guaranteed * options.idle_reserve).min(unused)
    }

    fn wanted(&self, now: Timestamp) -> f64 {
        let seconds = now.since(self.wanted_at).as_secs_f64();
        let periods = seconds / self.demand_time.as_secs_f64().max(MIN_DEMAND_SECONDS);
        self.wanted * (-periods).exp()
    }
}

/// Shortest time over which demand is forgotten, in seconds.
const MIN_DEMAND_SECONDS: f64 = 0.001;
