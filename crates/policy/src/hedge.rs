//! The decision whether a slow attempt gets a second, concurrent one.

use std::time::Duration;

use crate::{retry::RetryBudget, time::Timestamp};

/// `HedgeOptions` configures hedging.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeOptions {
    /// Multiple of the predicted time to first token after which a second attempt is sent.
    pub factor: f64,
    /// Shortest time after which a second attempt is sent.
    pub min_delay: Duration,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self {
            factor: 3.0,
            min_delay: Duration::from_millis(500),
        }
    }
}

/// `HedgeRequest` describes an attempt that has no first token yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeRequest {
    /// Whether the request may safely run twice.
    pub is_repeatable: bool,
    /// Whether the request already has a second attempt.
    pub is_hedged: bool,
    /// Time at which the attempt was sent.
    pub sent_at: Timestamp,
    /// Predicted time to first token of the attempt.
    pub predicted_first_token: Duration,
    /// Predicted time to first token of a second attempt at another upstream.
    pub predicted_hedge_first_token: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
}

/// `HedgeDecision` is the result of [`decide_hedge`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Decide again after this time.
    Wait(Duration),
    /// Send a second attempt and use the one that answers first.
    Send,
    /// Send no second attempt, now or later.
    Never,
}

/// Decides whether an attempt without a first token gets a second, concurrent one. Second attempts
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
    if now.plus(req.predicted_hedge_first_token) > req.deadline {
        return HedgeDecision::Never;
    }
    let late = req.predicted_first_token.mul_f64(options.factor);
    let delay = late.max(options.min_delay);
    let elapsed = now.since(req.sent_at);
    if elapsed < delay {
        return HedgeDecision::Wait(delay.saturating_sub(elapsed));
    }
    // A second attempt that is expected to take longer than the first has taken so far would only
    // add load.
    if req.predicted_hedge_first_token > elapsed || !budget.try_take(now) {
        return HedgeDecision::Never;
    }
    HedgeDecision::Send
}
