//! The rate at which the replicas of a service process prompts, learnt from first tokens.

use verbenahead_core::units::{TokenRate, Tokens};

/// `PrefillSpeedOptions` tune the learning.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRateOptions {
    /// First guess.
    pub first_rate: TokenRate,
    /// Part of a sample that is higher than what is known, between 0 and 1.
    pub rise: f64,
    /// Part of a sample that is lower. A prompt that waited behind others makes the rate look
    /// low, so it falls slowly.
    pub fall: f64,
    /// Size of a prompt from which a sample counts whole. The fixed cost of a request weighs less
    /// the longer its prompt is.
    pub whole_sample: Tokens,
}

impl Default for PrefillRateOptions {
    fn default() -> Self {
        Self {
            first_rate: TokenRate(20_000.0),
            rise: 0.25,
            fall: 0.05,
            whole_sample: Tokens(4_000),
        }
    }
}

/// `PrefillSpeed` is the learned rate.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRateEstimator {
    options: PrefillRateOptions,
    rate: f64,
}

impl PrefillRateEstimator {
    /// Starts with the first guess.
    pub fn new(options: PrefillRateOptions) -> Self {
        Self {
            rate: options.first_rate.0,
            options,
        }
    }

    /// Returns the rate.
    pub fn rate(&self) -> TokenRate {
        TokenRate(self.rate)
    }

    /// Takes in the rate that a prompt of `processed` tokens has shown.
    pub fn add_sample(&mut self, shown: TokenRate, processed: Tokens) {
        let weight = processed.0 as f64 / self.options.whole_sample.0.max(1) as f64;
        let part = match shown.0 > self.rate {
            true => self.options.rise,
            false => self.options.fall,
        };
        self.rate += part * weight.min(1.0) * (shown.0 - self.rate);
    }
}
