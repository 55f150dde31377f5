//! Bound on the messages by which a node asks and tells placement coordinators.

use std::time::Duration;

use verbenahead_core::units::{TokenRate, Tokens};

use crate::{time::Timestamp, token_bucket::TokenBucket};

/// `PlacementBudgetOptions` sets the bound and who is asked for which prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementBudgetOptions {
    /// Bytes per second that a node sends, IP and UDP headers included.
    pub bytes_per_second: f64,
    /// Time in which an empty budget fills up.
    pub burst: Duration,
    /// Uncached tokens from which coordinators are asked while a twentieth of the budget is left.
    pub large_prompt: Tokens,
    /// Uncached tokens from which coordinators are asked while a tenth of the budget is left. Smaller
    /// prompts are not announced either; they take some milliseconds.
    pub medium_prompt: Tokens,
    /// Largest number of candidates for a prompt.
    pub candidates: usize,
    /// Number of candidates for a prompt that is not large.
    pub medium_candidates: usize,
    /// Part of the budget that is left from which coordinators are asked for prompts of any size of the most
    /// urgent requests, if the requests of a service differ in rank.
    pub urgent_part: f64,
    /// Part of the budget that is left from which they are asked for other prompts that are not large.
    pub less_urgent_part: f64,
    /// Number of candidates for a prompt of the most urgent requests.
    pub urgent_candidates: usize,
    /// Time that work takes, in percent of the usual, from which a machine counts as slow.
    pub slow_percent: u32,
}

impl Default for PlacementBudgetOptions {
    fn default() -> Self {
        Self {
            bytes_per_second: 1_300.0,
            burst: Duration::from_secs(2),
            large_prompt: Tokens(4_000),
            medium_prompt: Tokens(1_000),
            candidates: 3,
            medium_candidates: 2,
            urgent_part: 0.3,
            less_urgent_part: 0.6,
            urgent_candidates: 3,
            slow_percent: 130,
        }
    }
}

/// `PlacementBudget` counts the bytes of one node.
#[derive(Debug, Clone, Copy)]
pub struct PlacementBudget {
    options: PlacementBudgetOptions,
    bucket: TokenBucket,
}

impl PlacementBudget {
    /// Builds a full budget.
    pub fn new(options: PlacementBudgetOptions, now: Timestamp) -> Self {
        let rate = TokenRate(options.bytes_per_second);
        Self {
            bucket: TokenBucket::new(rate, options.burst, now),
            options,
        }
    }

    /// Returns the number of candidates whose coordinators may be asked for a prompt, 0 if none is.
    pub fn candidates(&self, uncached: Tokens, now: Timestamp) -> usize {
        let options = &self.options;
        let is_large = uncached >= options.large_prompt && self.has_part(0.05, now);
        let is_medium = uncached >= options.medium_prompt && self.has_part(0.1, now);
        if is_large {
            options.candidates
        } else if is_medium {
            options.medium_candidates
        } else {
            0
        }
    }

    /// Returns the number of candidates whose coordinators may be asked for a prompt of a service whose requests
    /// differ in rank, 0 if none is. `is_urgent` tells that it is one of the most urgent ones.
    pub fn ranked_candidates(&self, uncached: Tokens, is_urgent: bool, now: Timestamp) -> usize {
        let options = &self.options;
        if is_urgent && self.has_part(options.urgent_part, now) {
            return options.urgent_candidates;
        }
        let is_large = uncached >= options.large_prompt;
        match is_large || self.has_part(options.less_urgent_part, now) {
            true => self.candidates(uncached, now),
            false => 0,
        }
    }

    /// Returns whether a prompt is announced to the coordinator of its replica.
    pub fn announces(&self, uncached: Tokens, now: Timestamp) -> bool {
        uncached >= self.options.medium_prompt && self.has_part(0.0, now)
    }

    /// Returns whether the load that a replica stated in its answer to a prompt is passed on. A book assumes
    /// the usual speed and processes small prompts on its own, so it needs to hear of large prompts and of
    /// slow machines only.
    pub fn passes_load_on(
        &self,
        uncached: Tokens,
        time_percent: Option<u32>,
        now: Timestamp,
    ) -> bool {
        let options = &self.options;
        let is_slow = time_percent.is_some_and(|percent| percent >= options.slow_percent);
        (uncached >= options.large_prompt || is_slow) && self.has_part(0.0, now)
    }

    /// Records that a message was sent.
    pub fn record(&mut self, bytes: usize, now: Timestamp) {
        self.bucket.take(Tokens(bytes as u64), now);
    }

    fn has_part(&self, part: f64, now: Timestamp) -> bool {
        let burst = self.options.bytes_per_second * self.options.burst.as_secs_f64();
        let level = Tokens((burst * part) as u64);
        self.bucket.wait(level, now).is_zero()
    }
}
