//! Model of the time that prefill takes at a replica, and of the pauses that it causes in the streams there.
//!
//! Replicas process prompts in chunks between the decode steps of the streams that run there, so queued
//! prompts delay every event of a running stream.

use std::time::Duration;

use verbenahead_core::units::Tokens;

/// `PrefillModel` holds the times of a replica at its usual speed. The defaults are orders of magnitude: they weigh
/// replicas of one service against each other, where the same error counts for each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillModel {
    /// Number of prompt tokens that are processed between two decode steps.
    pub chunk: Tokens,
    /// Time that a full chunk takes, apart from attention.
    pub chunk_time: Duration,
    /// Time of the attention between a million pairs of tokens.
    pub million_pairs: Duration,
    /// Time of a decode step without running requests.
    pub step: Duration,
    /// Further time of a decode step for each running request.
    pub step_per_request: Duration,
    /// Number of decode steps of an event.
    pub steps_per_event: u32,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            chunk: Tokens(4_000),
            chunk_time: Duration::from_millis(50),
            million_pairs: Duration::from_micros(300),
            step: Duration::from_millis(4),
            step_per_request: Duration::from_micros(100),
            steps_per_event: 8,
        }
    }
}

impl PrefillModel {
    /// Returns the time to process the last `uncached` tokens of a prompt with `prompt` tokens.
    pub fn prefill(&self, uncached: Tokens, prompt: Tokens) -> Duration {
        let uncached = uncached.0.min(prompt.0) as f64;
        let chunks = uncached / self.chunk.0.max(1) as f64;
        let pairs = uncached * (prompt.0 as f64 - uncached / 2.0) / 1e6;
        bounded(self.chunk_time.as_secs_f64() * chunks + self.million_pairs.as_secs_f64() * pairs)
    }

    /// Returns the time of a decode step with `streams` running requests.
    pub fn step(&self, streams: u32) -> Duration {
        self.step + self.step_per_request * streams
    }

    /// Returns the longest time that prefill adds to one event of a running stream while prompts of
    /// `prompt` tokens are processed.
    pub fn prefill_per_event(&self, prompt: Tokens) -> Duration {
        let pairs = self.chunk.0 as f64 * prompt.0 as f64 / 1e6;
        let chunk = self.chunk_time.as_secs_f64() + self.million_pairs.as_secs_f64() * pairs;
        bounded(chunk * f64::from(self.steps_per_event))
    }
}

/// Upper bound on predicted times.
const MAX_TIME: f64 = 3_600.0;

fn bounded(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME))
}
