//! The decision whether a failed attempt is followed by another.
//!
//! One layer retries: the node that accepted the request. Retries of failures draw on a budget
//! that successes fill, so they cannot multiply the load of a service that is failing.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;

use crate::time::Timestamp;

/// `RetryBudgetOptions` tune a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries that each success allows.
    pub ratio: f64,
    /// Retries that are allowed per second without successes.
    pub floor_per_second: f64,
    /// Most retries that are saved up.
    pub max_saved: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            floor_per_second: 0.5,
            max_saved: 20.0,
        }
    }
}

/// `RetryBudget` bounds the retries of a service at a node to a share of its successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    saved: f64,
    filled_at: Timestamp,
}

impl RetryBudget {
    /// Builds a budget that allows half of what it can save.
    pub fn new(options: RetryBudgetOptions, now: Timestamp) -> Self {
        Self {
            options,
            saved: options.max_saved / 2.0,
            filled_at: now,
        }
    }

    /// Counts a success.
    pub fn on_success(&mut self) {
        self.saved = (self.saved + self.options.ratio).min(self.options.max_saved);
    }

    /// Takes one retry. Returns whether the budget allows it.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let seconds = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = self.saved + seconds * self.options.floor_per_second;
        self.saved = filled.min(self.options.max_saved);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns how many retries are saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}

/// `Attempted` is what is known of the failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum FailedAttempt {
    /// It did not run and cannot run any more.
    #[display("not run")]
    NotRun,
    /// It ran or may still run, and running it again does no harm.
    #[display("may have run, repeatable")]
    Repeatable,
    /// It ran or may still run, and must not run again.
    #[display("may have run, not repeatable")]
    NotRepeatable,
}

/// `RetryCause` is why another attempt is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RetryCause {
    /// The attempt failed.
    #[display("failure")]
    Failure,
    /// The upstream refused the attempt, for lack of room or because it leaves.
    #[display("refused")]
    Refused,
    /// The upstream is reclaimed. Accepted requests survive this, so no budget is needed.
    #[display("reclaim")]
    Reclaim,
}

/// `RetryRequest` describes a request whose attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// What is known of the attempt.
    pub failed_attempt: FailedAttempt,
    /// Why another attempt is asked for.
    pub cause: RetryCause,
    /// Attempts so far.
    pub attempts: u32,
    /// Latest end of the answer.
    pub deadline: Timestamp,
    /// Expected time of another attempt, up to the end of the answer.
    pub expected_time: Duration,
    /// Delay that the upstream asks for, if any.
    pub retry_after: Option<Duration>,
}

/// `RetryOptions` tune retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryOptions {
    /// Most attempts of one request after failures and refusals.
    pub max_attempts: u32,
    /// Backoff before the first retry; it doubles with each further one.
    pub first_backoff: Duration,
    /// Longest backoff.
    pub max_backoff: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            first_backoff: Duration::from_millis(25),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// `RetryDecision` is the outcome of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this delay.
    RetryAfter(Duration),
    /// Answer the caller now.
    GiveUp(GiveUpReason),
}

/// `GiveUpReason` is why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum GiveUpReason {
    /// It may have run and must not run twice.
    #[display("the request may have run and must not run twice")]
    NotRepeatable,
    /// It was tried often enough.
    #[display("the request was tried too often")]
    TooManyAttempts,
    /// Another attempt could not end in time.
    #[display("another attempt would not end before the deadline")]
    DeadlineUnreachable,
    /// Too much of the load is retries already.
    #[display("the retry budget is used up")]
    BudgetUsedUp,
}

/// Decides whether a request is tried again.
pub fn decide_retry(
    req: &RetryRequest,
    options: &RetryOptions,
    budget: &mut RetryBudget,
    now: Timestamp,
    rng: &mut impl Rng,
) -> RetryDecision {
    if req.failed_attempt == FailedAttempt::NotRepeatable {
        return RetryDecision::GiveUp(GiveUpReason::NotRepeatable);
    }
    if req.cause == RetryCause::Reclaim {
        return RetryDecision::RetryAfter(Duration::ZERO);
    }
    if req.attempts >= options.max_attempts {
        return RetryDecision::GiveUp(GiveUpReason::TooManyAttempts);
    }
    let delay = backoff(req.attempts, options, rng).max(req.retry_after.unwrap_or_default());
    if now.plus(delay).plus(req.expected_time) > req.deadline {
        return RetryDecision::GiveUp(GiveUpReason::DeadlineUnreachable);
    }
    if !budget.try_take(now) {
        return RetryDecision::GiveUp(GiveUpReason::BudgetUsedUp);
    }
    RetryDecision::RetryAfter(delay)
}

/// Returns a backoff drawn evenly between zero and a limit that doubles with each attempt.
pub fn backoff(attempts: u32, options: &RetryOptions, rng: &mut impl Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let limit = options.first_backoff.saturating_mul(1 << doublings);
    limit.min(options.max_backoff).mul_f64(rng.random::<f64>())
}

/// Most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 16;
