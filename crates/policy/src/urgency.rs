//! The order in which a replica serves its queued requests.

use std::cmp;

use verbenahead_core::units::Tokens;

/// `UrgencyOptions` configures the urgency of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UrgencyOptions {
    /// Largest uncached part of a prompt that counts as short. Short prompts are served first
    /// within their rank.
    pub short_prompt: Tokens,
    /// Largest uncached part of a prompt that counts as medium. Medium prompts are served second
    /// within their rank.
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

/// Urgency levels per rank: short, medium and long prompts.
const SIZES: u8 = 3;

/// Largest urgency level, which is shared by all requests that are less urgent.
pub const LEAST_URGENT: u8 = 9;

/// Returns the urgency level of a request, where 0 is the most urgent.
///
/// Requests are ordered by `rank`, the configured priority of the workspace or route, where 0 comes
/// first. Within a rank they are ordered by `uncached`, the part of the prompt that has to be
/// prefilled: a short prompt delays the others by some milliseconds, a long one by hundreds.
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
