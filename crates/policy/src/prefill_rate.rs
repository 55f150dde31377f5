//! Estimates the rate at which the replicas of a service process prompts.

use verbenahead_core::units::{TokenRate, Tokens};

/// `PrefillRateOptions` configures the estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRateOptions {
    /// Initial rate.
    pub initial_rate: TokenRate,
    /// Weight of a sample above the estimate, between 0 and 1.
    pub rise_weight: f64,
    /// Weight of a sample below the estimate, between 0 and 1. A prompt that waited behind others
    /// shows too low a rate, so the estimate falls slowly.
    pub fall_weight: f64,
    /// Number of processed tokens from which a sample has its full weight. In shorter prompts the
    /// fixed cost of a request has a larger share.
    pub full_weight_tokens: Tokens,
}

impl Default for PrefillRateOptions {
    fn default() -> Self {
        Self {
            initial_rate: TokenRate(20_000.0),
            rise_weight: 0.25,
            fall_weight: 0.05,
            full_weight_tokens: Tokens(4_000),
        }
    }
}

/// `PrefillRateEstimator` estimates a prefill rate by a moving average over samples.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRateEstimator {
    options: PrefillRateOptions,
    rate: f64,
}

impl PrefillRateEstimator {
    /// Builds an estimator with the initial rate.
    pub fn new(options: PrefillRateOptions) -> Self {
        Self {
            rate: options.initial_rate.0,
            options,
        }
    }

    /// Returns the estimated rate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.rate)
    }

    /// Adds the rate observed for a prompt with `processed` tokens to process.
    pub fn add_sample(&mut self, observed: TokenRate, processed: Tokens) {
        let size_weight = processed.0 as f64 / self.options.full_weight_tokens.0.max(1) as f64;
        let weight = match observed.0 > self.rate {
            true => self.options.rise_weight,
            false => self.options.fall_weight,
        };
        self.rate += weight * size_weight.min(1.0) * (observed.0 - self.rate);
    }
}
