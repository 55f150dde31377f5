//! Tests of retry decisions, retry budgets and circuit breakers.

mod common;

use std::time::Duration;

use common::{at, rng};
use rstest::rstest;
use verbenahead_policy::{
    CircuitBreaker, CircuitState, FailedAttempt, GiveUpReason, RetryBudget, RetryBudgetOptions,
    RetryCause, RetryDecision, RetryOptions, RetryRequest, decide_retry,
};

fn request() -> RetryRequest {
    RetryRequest {
        failed_attempt: FailedAttempt::NotRun,
        cause: RetryCause::Failure,
        attempts: 1,
        deadline: at(60.0),
        expected_time: Duration::from_secs(1),
        retry_after: None,
    }
}

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetOptions::default(), at(0.0))
}

fn decide(req: &RetryRequest, budget: &mut RetryBudget) -> RetryDecision {
    decide_retry(req, &RetryOptions::default(), budget, at(0.0), &mut rng(1))
}

#[rstest]
#[case::must_not_run_twice(
    RetryRequest { failed_attempt: FailedAttempt::NotRepeatable, ..request() },
    GiveUpReason::NotRepeatable
)]
#[case::must_not_run_twice_even_for_a_reclaim(
    RetryRequest {
        failed_attempt: FailedAttempt::NotRepeatable,
        cause: RetryCause::Reclaim,
        ..request()
    },
    GiveUpReason::NotRepeatable
)]
#[case::too_many_attempts(RetryRequest { attempts: 4, ..request() }, GiveUpReason::TooManyAttempts)]
#[case::deadline_passes_during_the_attempt(
    RetryRequest { deadline: at(0.9), ..request() },
    GiveUpReason::DeadlineUnreachable
)]
#[case::deadline_passes_during_retry_after(
    RetryRequest { retry_after: Some(Duration::from_secs(60)), ..request() },
    GiveUpReason::DeadlineUnreachable
)]
fn a_request_is_not_retried(#[case] req: RetryRequest, #[case] reason: GiveUpReason) {
    let mut budget = budget();
    let balance = budget.balance();

    let decision = decide(&req, &mut budget);

    assert_eq!(decision, RetryDecision::GiveUp(reason));
    assert_eq!(budget.balance(), balance);
}

#[test]
fn a_retry_after_a_reclaim_needs_no_budget() {
    let mut budget = budget();
    while budget.try_take(at(0.0)) {}
    let failure = decide(&request(), &mut budget);
    let req = RetryRequest {
        cause: RetryCause::Reclaim,
        attempts: 9,
        ..request()
    };

    let reclaim = decide(&req, &mut budget);

    assert_eq!(failure, RetryDecision::GiveUp(GiveUpReason::BudgetUsedUp));
    assert_eq!(reclaim, RetryDecision::RetryAfter(Duration::ZERO));
}

#[test]
fn retries_are_bounded_by_a_part_of_the_successes() {
    let mut budget = budget();
    while budget.try_take(at(0.0)) {}
    let mut retries = 0;

    for _ in 0..1000 {
        budget.on_success();
        retries += usize::from(budget.try_take(at(0.0)));
    }

    assert!((90..=110).contains(&retries), "{retries}");
}

#[test]
fn the_retry_delay_of_the_upstream_is_respected() {
    let req = RetryRequest {
        retry_after: Some(Duration::from_secs(3)),
        ..request()
    };

    let decision = decide(&req, &mut budget());

    assert_eq!(decision, RetryDecision::RetryAfter(Duration::from_secs(3)));
}

#[test]
fn consecutive_failures_open_the_circuit_and_trials_close_it() {
    let mut circuit = CircuitBreaker::default();
    let mut rng = rng(1);

    (0..5).for_each(|_| circuit.on_failure(at(0.0), &mut rng));
    let while_open = circuit.allows(at(0.4));
    let after = circuit.allows(at(1.0));
    circuit.on_sent(at(1.0));
    let second_trial = circuit.allows(at(1.0));
    circuit.on_success(at(1.1));
    circuit.on_sent(at(1.2));
    circuit.on_success(at(1.3));

    assert_eq!((while_open, after, second_trial), (false, true, false));
    assert_eq!(circuit.state(), CircuitState::Closed);
}

#[test]
fn a_failure_without_doubt_opens_the_circuit_at_once() {
    let mut circuit = CircuitBreaker::default();
    let mut rng = rng(1);

    circuit.trip(at(0.0), &mut rng);
    let while_open = circuit.allows(at(0.4));
    // Attempts that were on their way do not prolong it.
    (0..5).for_each(|_| circuit.trip(at(0.1), &mut rng));

    assert!(!while_open);
    assert!(circuit.allows(at(1.0)));
}

#[test]
fn a_failed_trial_opens_the_circuit_for_longer() {
    let mut circuit = CircuitBreaker::default();
    let mut rng = rng(1);
    (0..5).for_each(|_| circuit.on_failure(at(0.0), &mut rng));

    circuit.on_sent(at(1.0));
    circuit.on_failure(at(1.1), &mut rng);

    assert!(!circuit.allows(at(2.0)));
    assert!(circuit.allows(at(3.2)));
}

#[test]
fn a_trial_without_an_outcome_does_not_block_further_trials() {
    let mut circuit = CircuitBreaker::default();
    (0..5).for_each(|_| circuit.on_failure(at(0.0), &mut rng(1)));
    circuit.on_sent(at(1.0));

    let soon = circuit.allows(at(2.0));
    let later = circuit.allows(at(11.0));

    assert_eq!((soon, later), (false, true));
}

#[test]
fn rare_failures_leave_the_circuit_closed() {
    let mut circuit = CircuitBreaker::default();
    let mut rng = rng(1);

    for round in 0..1000_u32 {
        match round % 4 {
            0 => circuit.on_failure(at(f64::from(round) * 0.01), &mut rng),
            _ => circuit.on_success(at(f64::from(round) * 0.01)),
        }
    }

    assert_eq!(circuit.state(), CircuitState::Closed);
}
