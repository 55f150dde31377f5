//! The decision whether a failed attempt is retried.
//!
//! Only one layer retries: the node that accepted the request. Retries of failures draw on a
//! budget that successes fill, so they cannot multiply the load of a failing service.

use std::time::Duration;

use derive_more::Display;
use rand::Rng;

use crate::time::Timestamp;

/// `RetryBudgetOptions` configures a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries that each success adds to the budget.
    pub ratio: f64,
    /// Retries per second that are added to the budget independent of successes.
    pub min_per_second: f64,
    /// Largest balance, in retries.
    pub max_balance: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_per_second: 0.5,
            max_balance: 20.0,
        }
    }
}

/// `RetryBudget` bounds the retries of a service at a node to a part of its successes.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    balance: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Builds a budget whose balance is half of the largest one.
    pub fn new(options: RetryBudgetOptions, now: Timestamp) -> Self {
        Self {
            options,
            balance: options.max_balance / 2.0,
            refilled_at: now,
        }
    }

    /// Records a success.
    pub fn on_success(&mut self) {
        self.balance = (self.balance + self.options.ratio).min(self.options.max_balance);
    }

    /// Takes one retry from the budget. Returns false if the balance is too low.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let refilled = self.balance + seconds * self.options.min_per_second;
        self.balance = refilled.min(self.options.max_balance);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the balance in retries, as of the last change.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}

/// `FailedAttempt` states whether a failed attempt may have run and whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum FailedAttempt {
    /// It did not run and cannot run any more.
    #[display("not run")]
    NotRun,
    /// It ran or may still run, and may safely run again.
    #[display("may have run, repeatable")]
    Repeatable,
    /// It ran or may still run, and must not run again.
    #[display("may have run, not repeatable")]
    NotRepeatable,
}

/// `RetryCause` is the reason why another attempt is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RetryCause {
    /// The attempt failed.
    #[display("failure")]
    Failure,
    /// The upstream refused the attempt, because it is at capacity or shutting down.
    #[display("refused")]
    Refused,
    /// The upstream's VM is reclaimed. The retry needs no budget, because accepted requests must
    /// survive a reclaim.
    #[display("reclaim")]
    Reclaim,
}

/// `RetryRequest` describes a request whose attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryRequest {
    /// What is known of the failed attempt.
    pub failed_attempt: FailedAttempt,
    /// Reason why another attempt is needed.
    pub cause: RetryCause,
    /// Attempts so far, including the failed one.
    pub attempts: u32,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
    /// Expected duration of another attempt until the answer is complete.
    pub expected_time: Duration,
    /// Retry delay that the upstream has requested, if any.
    pub retry_after: Option<Duration>,
}

/// `RetryOptions` configures retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryOptions {
    /// Maximum number of attempts of one request after failures and refusals.
    pub max_attempts: u32,
    /// Backoff limit before the first retry; it doubles with each further one.
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

/// `RetryDecision` is the result of [`decide_retry`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this delay.
    RetryAfter(Duration),
    /// Return the error to the caller.
    GiveUp(GiveUpReason),
}

/// `GiveUpReason` is the reason why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum GiveUpReason {
    /// It may have run and must not run twice.
    #[display("the request may have run and must not run twice")]
    NotRepeatable,
    /// The request has reached the maximum number of attempts.
    #[display("the request was tried too often")]
    TooManyAttempts,
    /// Another attempt could not end before the deadline.
    #[display("another attempt would not end before the deadline")]
    DeadlineUnreachable,
    /// The retry budget is exhausted.
    #[display("the retry budget is used up")]
    BudgetUsedUp,
}

/// Decides whether and when a request is retried. A retry after a failure or refusal is taken from
/// the budget.
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

/// Returns a random backoff, uniform between zero and a limit that doubles with each attempt.
pub fn backoff(attempts: u32, options: &RetryOptions, rng: &mut impl Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let limit = options.first_backoff.saturating_mul(1 << doublings);
    limit.min(options.max_backoff).mul_f64(rng.random::<f64>())
}

/// Maximum number of doublings of the backoff limit.
const MAX_DOUBLINGS: u32 = 16;
