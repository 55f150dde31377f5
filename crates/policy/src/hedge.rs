//! The decision whether a slow attempt gets a second one beside it.

use std::time::Duration;

use crate::{retry::RetryBudget, time::Timestamp};

/// `HedgeOptions` tune hedging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeOptions {
    /// How many times the predicted first token must be late.
    pub factor: f64,
    /// Shortest wait before a second attempt.
    pub min_wait: Duration,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self {
            factor: 3.0,
            min_wait: Duration::from_millis(500),
        }
    }
}

/// `HedgeRequest` describes an attempt without a first token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeRequest {
    /// Whether the request may run twice.
    pub is_repeatable: bool,
    /// Whether it has a second attempt already.
    pub is_hedged: bool,
    /// When the attempt was sent.
    pub sent_at: Timestamp,
    /// First token that was predicted for it.
    pub predicted_first_token: Duration,
    /// First token that is predicted for a second attempt elsewhere.
    pub other_first_token: Duration,
    /// Latest end of the answer.
    pub deadline: Timestamp,
}

/// `HedgeDecision` is the outcome of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Ask again after this time.
    Wait(Duration),
    /// Send a second attempt and use whichever answers first.
    Send,
    /// Never send a second attempt.
    Never,
}

/// Decides whether an attempt without a first token gets a second one beside it. Second attempts
/// draw on the same budget as retries.
pub fn decide_hedge(
    req: &HedgeRequest,
    options: &HedgeOptions,
    budget: &mut RetryBudget,
    now: Timestamp,
) -> HedgeDecision {
    if !req.is_repeatable || req.is_hedged {
        return HedgeDecision::Never;
    }
    if now.plus(req.other_first_token) > req.deadline {
        return HedgeDecision::Never;
    }
    let late = req.predicted_first_token.mul_f64(options.factor);
    let wait = late.max(options.min_wait);
    let waited = now.since(req.sent_at);
    if waited < wait {
        return HedgeDecision::Wait(wait.saturating_sub(waited));
    }
    // An upstream elsewhere that is as slow would only add load.
    if req.other_first_token > waited || !budget.try_take(now) {
        return HedgeDecision::Never;
    }
    HedgeDecision::Send
}
