//! The order in which a replica should take requests that wait.

use std::cmp;

use verbenahead_core::units::Tokens;

/// `UrgencyOptions` tune the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UrgencyOptions {
    /// Prompts up to this size go first among those of their rank.
    pub short_prompt: Tokens,
    /// Prompts up to this size go before the rest of their rank.
    pub medium_prompt: Tokens,
}

impl Default for UrgencyOptions {
    fn default() -> Self {
        Self {
            short_prompt: Tokens(1_500),
            medium_prompt: Tokens(6_000),
        }
    }
}

/// Levels of size within a rank.
const SIZES: u8 = 3;

/// Largest level; what is less urgent has it too.
pub const LEAST_URGENT: u8 = 9;

/// Returns the urgency of a request, 0 first: by its rank, and within a rank by the part of its
/// prompt that has to be processed. A short prompt holds the others up for some milliseconds, a
/// long one for hundreds.
pub fn urgency(rank: u8, uncached: Tokens, options: &UrgencyOptions) -> u8 {
    let size = if uncached <= options.short_prompt {
        0
    } else if uncached <= options.medium_prompt {
        1
    } else {
        2
    };
    cmp::min(
        rank.saturating_mul(SIZES).saturating_add(size),
        LEAST_URGENT,
    )
}
