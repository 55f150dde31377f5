//! A token bucket on prompt and answer tokens.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};

use crate::time::Timestamp;

/// `TokenBucket` limits the rate of tokens, with a burst.
///
/// A request larger than the burst is let through when the bucket is full and leaves a debt, so
/// that no request is refused for ever and the rate still holds over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst_time: f64,
    level: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Builds a full bucket that holds the tokens of `burst_time` at `rate`.
    pub fn new(rate: TokenRate, burst_time: Duration, now: Timestamp) -> Self {
        let burst_time = burst_time.as_secs_f64();
        Self {
            rate: rate.0,
            burst_time,
            level: rate.0 * burst_time,
            filled_at: now,
        }
    }

    /// Returns the rate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.rate)
    }

    /// Changes the rate from `now` on. What the bucket holds is cut to the new burst.
    pub fn set_rate(&mut self, rate: TokenRate, now: Timestamp) {
        self.fill(now);
        self.rate = rate.0;
        self.level = self.level.min(self.burst());
    }

    /// Returns how long a request for `tokens` has to wait; zero when it may go now. Nothing is
    /// taken.
    pub fn wait(&self, tokens: Tokens, now: Timestamp) -> Duration {
        let mut filled = *self;
        filled.fill(now);
        let wanted = (tokens.0 as f64).min(filled.burst());
        let missing = wanted - filled.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 {
            return MAX_LIMIT_WAIT;
        }
        Duration::from_secs_f64((missing / self.rate).min(MAX_LIMIT_WAIT.as_secs_f64()))
    }

    /// Takes `tokens`, even if that leaves a debt. Ask [`wait`](Self::wait) first.
    pub fn take(&mut self, tokens: Tokens, now: Timestamp) {
        self.fill(now);
        self.level -= tokens.0 as f64;
    }

    /// Replaces the estimate that was taken for a request by what it has used.
    pub fn settle(&mut self, taken: Tokens, used: Tokens, now: Timestamp) {
        self.fill(now);
        let corrected = self.level + taken.0 as f64 - used.0 as f64;
        self.level = corrected.min(self.burst());
    }

    fn burst(&self) -> f64 {
        self.rate * self.burst_time
    }

    fn fill(&mut self, now: Timestamp) {
        let seconds = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let burst = self.burst();
        if self.level < burst {
            self.level = (self.level + self.rate * seconds).min(burst);
        }
    }
}

/// Longest wait that a bucket asks for.
const MAX_LIMIT_WAIT: Duration = Duration::from_secs(3600);
