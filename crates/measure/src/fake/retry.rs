//! Retries of attempts without a first token in time.

use std::time::Duration;

use rand::rngs::StdRng;
use verbenahead_policy::{
    FailedAttempt, RetryBudget, RetryBudgetOptions, RetryCause, RetryDecision, RetryOptions,
    RetryRequest, Timestamp, decide_retry,
};

use super::job::Job;

/// `RetryRule` selects the handling of an attempt without a first token in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetryRule {
    /// The attempt goes on.
    Never,
    /// Another attempt is sent after this many seconds, without a limit on their number. The
    /// earlier one is not cancelled.
    Unbounded(f64),
    /// The attempt is cancelled after this many seconds and sent again within the budget.
    Budgeted(f64),
}

impl RetryRule {
    /// Returns the time limit for the first token of an attempt, in seconds.
    pub fn timeout(self) -> Option<f64> {
        match self {
            Self::Never => None,
            Self::Unbounded(seconds) | Self::Budgeted(seconds) => Some(seconds),
        }
    }
}

/// `Retries` holds the retry budget of every node.
#[derive(Debug)]
pub struct Retries {
    budgets: Vec<RetryBudget>,
}

impl Retries {
    /// Builds the budgets of `nodes` nodes.
    pub fn new(nodes: usize) -> Self {
        let budget = RetryBudget::new(RetryBudgetOptions::default(), Timestamp::default());
        Self {
            budgets: vec![budget; nodes],
        }
    }

    /// Records a completed answer at a node.
    pub fn on_success(&mut self, node: usize) {
        self.budgets[node].on_success();
    }

    /// Returns the delay of a retry in seconds, or `None` if the attempt is not retried.
    pub fn decide(&mut self, job: &Job, now: f64, rng: &mut StdRng) -> Option<f64> {
        let req = RetryRequest {
            failed_attempt: FailedAttempt::Repeatable,
            cause: RetryCause::Failure,
            attempts: job.attempt,
            deadline: Timestamp::from_secs_f64(job.deadline),
            expected_time: Duration::ZERO,
            retry_after: None,
        };
        let options = RetryOptions::default();
        let budget = &mut self.budgets[job.node];
        let at = Timestamp::from_secs_f64(now);
        match decide_retry(&req, &options, budget, at, rng) {
            RetryDecision::RetryAfter(delay) => Some(delay.as_secs_f64()),
            RetryDecision::GiveUp(_) => None,
        }
    }
}
