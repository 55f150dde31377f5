//! Usage and demand of one workspace at one service and node.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};

use crate::{
    admission_options::AdmissionOptions, limit_split::DemandMeter, time::Timestamp,
    token_bucket::TokenBucket,
};

/// `WorkspaceUsage` tracks a workspace's requests in flight, its demand, its token limit and its
/// pending retries.
#[derive(Debug, Clone)]
pub(crate) struct WorkspaceUsage {
    /// Weight of the workspace among all workspaces of the service.
    pub(crate) share: u32,
    pub(crate) in_flight: u32,
    /// Decaying maximum of the concurrent requests that the workspace has asked for.
    peak_demand: f64,
    peak_demand_at: Timestamp,
    demand_time_constant: Duration,
    token_demand: DemandMeter,
    limit: Option<TokenBucket>,
    /// Refused requests whose callers have yet to retry.
    pending_retries: f64,
    pending_retries_at: Timestamp,
    retries_end_at: Timestamp,
}

impl WorkspaceUsage {
    pub(crate) fn new(demand_time_constant: Duration) -> Self {
        Self {
            share: 0,
            in_flight: 0,
            peak_demand: 0.0,
            peak_demand_at: Timestamp::default(),
            demand_time_constant,
            token_demand: DemandMeter::new(demand_time_constant),
            limit: None,
            pending_retries: 0.0,
            pending_retries_at: Timestamp::default(),
            retries_end_at: Timestamp::default(),
        }
    }

    pub(crate) fn set_limit(
        &mut self,
        rate: Option<TokenRate>,
        burst_time: Duration,
        now: Timestamp,
    ) {
        match (&mut self.limit, rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (limit, rate) => *limit = rate.map(|rate| TokenBucket::new(rate, burst_time, now)),
        }
    }

    pub(crate) fn limit_wait(&self, tokens: Tokens, now: Timestamp) -> Duration {
        self.limit
            .map_or(Duration::ZERO, |limit| limit.wait(tokens, now))
    }

    pub(crate) fn demand(&self, now: Timestamp) -> TokenRate {
        self.token_demand.rate(now)
    }

    pub(crate) fn record_demand(&mut self, tokens: Tokens, now: Timestamp) {
        self.token_demand.add(tokens.0 as f64, now);
        let wanted = f64::from(self.in_flight + 1);
        self.peak_demand = self.peak_demand(now).max(wanted);
        self.peak_demand_at = now;
    }

    pub(crate) fn admit(&mut self, tokens: Tokens, now: Timestamp) {
        self.in_flight += 1;
        if let Some(limit) = &mut self.limit {
            limit.take(tokens, now);
        }
    }

    pub(crate) fn release(&mut self, admitted: Tokens, used: Tokens, now: Timestamp) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(limit) = &mut self.limit {
            limit.settle(admitted, used, now);
        }
    }

    /// Schedules the retry of a refused request and returns its position among the pending
    /// retries. `rate` retries are scheduled per second, at most `longest` ahead.
    pub(crate) fn schedule_retry(&mut self, rate: f64, longest: Duration, now: Timestamp) -> f64 {
        let elapsed = now.since(self.pending_retries_at).as_secs_f64();
        let left = (self.pending_retries - elapsed * rate).max(0.0);
        let max_pending = (longest.as_secs_f64() * rate).max(1.0);
        self.pending_retries = (left + 1.0).min(max_pending);
        self.pending_retries_at = now;
        let seconds =
            (self.pending_retries / rate.max(f64::MIN_POSITIVE)).min(longest.as_secs_f64());
        self.retries_end_at = now.plus(Duration::from_secs_f64(seconds));
        self.pending_retries
    }

    /// Returns whether callers of refused requests have yet to retry.
    pub(crate) fn has_pending_retries(&self, now: Timestamp) -> bool {
        now < self.retries_end_at
    }

    /// Returns the part of the `guaranteed` requests in flight that is reserved for this
    /// workspace: its recent demand with headroom beyond what it uses, and at least the idle
    /// reserve, even without demand.
    pub(crate) fn reserved(
        &self,
        guaranteed: f64,
        options: &AdmissionOptions,
        now: Timestamp,
    ) -> f64 {
        let unused = (guaranteed - f64::from(self.in_flight)).max(0.0);
        let expected = self.peak_demand(now) * options.demand_headroom - f64::from(self.in_flight);
        expected
            .max(guaranteed * options.idle_reserve_ratio)
            .min(unused)
    }

    fn peak_demand(&self, now: Timestamp) -> f64 {
        let seconds = now.since(self.peak_demand_at).as_secs_f64();
        let periods = seconds
            / self
                .demand_time_constant
                .as_secs_f64()
                .max(MIN_DEMAND_SECONDS);
        self.peak_demand * (-periods).exp()
    }
}

/// Lower bound of the time constant of demand, in seconds.
const MIN_DEMAND_SECONDS: f64 = 0.001;
