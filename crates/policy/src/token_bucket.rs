//! A token bucket for prompt and answer tokens.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};

use crate::time::Timestamp;

/// `TokenBucket` limits a rate of tokens and allows a burst.
///
/// A request larger than the burst passes when the bucket is full and leaves a debt, so that no
/// request is refused forever and the rate still holds over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Time in which the empty bucket fills up, in seconds.
    burst_time: f64,
    /// Tokens in the bucket; negative while a debt is paid back.
    level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Builds a full bucket that holds the tokens of `burst_time` at `rate`.
    pub fn new(rate: TokenRate, burst_time: Duration, now: Timestamp) -> Self {
        let burst_time = burst_time.as_secs_f64();
        Self {
            rate: rate.0,
            burst_time,
            level: rate.0 * burst_time,
            refilled_at: now,
        }
    }

    /// Returns the rate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.rate)
    }

    /// Changes the rate from `now` on. Tokens in excess of the new burst are dropped.
    pub fn set_rate(&mut self, rate: TokenRate, now: Timestamp) {
        self.refill(now);
        self.rate = rate.0;
        self.level = self.level.min(self.burst());
    }

    /// Returns how long a request for `tokens` has to wait, zero if it may pass now. No tokens are
    /// taken.
    pub fn wait(&self, tokens: Tokens, now: Timestamp) -> Duration {
        let mut refilled = *self;
        refilled.refill(now);
        let wanted = (tokens.0 as f64).min(refilled.burst());
        let missing = wanted - refilled.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 {
            return MAX_LIMIT_WAIT;
        }
        Duration::from_secs_f64((missing / self.rate).min(MAX_LIMIT_WAIT.as_secs_f64()))
    }

    /// Takes `tokens`, even if that leaves a debt. Check [`wait`](Self::wait) first.
    pub fn take(&mut self, tokens: Tokens, now: Timestamp) {
        self.refill(now);
        self.level -= tokens.0 as f64;
    }

    /// Replaces the estimate that was taken for a request by its actual usage.
    pub fn settle(&mut self, taken: Tokens, used: Tokens, now: Timestamp) {
        self.refill(now);
        let corrected = self.level + taken.0 as f64 - used.0 as f64;
        self.level = corrected.min(self.burst());
    }

    fn burst(&self) -> f64 {
        self.rate * self.burst_time
    }

    fn refill(&mut self, now: Timestamp) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let burst = self.burst();
        if self.level < burst {
            self.level = (self.level + self.rate * seconds).min(burst);
        }
    }
}

/// Upper bound of the wait; also the wait at a rate of zero.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(3600);
