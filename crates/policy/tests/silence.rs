//! Tests of silence detection and hedging.

mod common;

use std::time::Duration;

use common::at;
use rstest::rstest;
use verbenahead_policy::{
    HedgeDecision, HedgeOptions, HedgeRequest, RetryBudget, RetryBudgetOptions, SilenceAction,
    SilenceDetector, SilenceOptions, decide_hedge,
};

/// Returns the detector of a stream with a token every 50 ms from 2 s to 5 s.
fn streaming() -> SilenceDetector {
    let mut detector = SilenceDetector::new(SilenceOptions::default(), at(0.0));
    detector.on_token(true, at(2.0));
    (41..=100).for_each(|step| detector.on_token(false, at(f64::from(step) * 0.05)));
    detector
}

#[test]
fn a_silent_stream_is_probed_after_a_multiple_of_its_token_interval() {
    let mut detector = streaming();

    let early = detector.check(at(5.9));
    let late = detector.check(at(6.1));

    assert_eq!((early, late), (SilenceAction::Wait, SilenceAction::Probe));
}

#[test]
fn an_answered_probe_leads_to_a_reconnect() {
    let mut detector = streaming();
    detector.check(at(6.1));

    detector.on_probe_answered();

    assert_eq!(detector.check(at(6.2)), SilenceAction::Reconnect);
}

#[test]
fn unanswered_probes_mark_the_upstream_dead() {
    let mut detector = streaming();

    let actions = [6.1, 6.3, 6.7, 7.3].map(|seconds| detector.check(at(seconds)));

    let expected = [
        SilenceAction::Probe,
        SilenceAction::Wait,
        SilenceAction::Probe,
        SilenceAction::MarkDead,
    ];
    assert_eq!(actions, expected);
}

#[test]
fn a_token_cancels_a_probe() {
    let mut detector = streaming();
    detector.check(at(6.1));

    detector.on_token(false, at(6.2));

    assert_eq!(detector.check(at(6.8)), SilenceAction::Wait);
}

#[test]
fn a_stream_without_tokens_is_probed_after_the_longest_silence() {
    let mut detector = SilenceDetector::new(SilenceOptions::default(), at(0.0));

    let early = detector.check(at(9.9));
    let late = detector.check(at(10.0));

    assert_eq!((early, late), (SilenceAction::Wait, SilenceAction::Probe));
}

fn hedge() -> HedgeRequest {
    HedgeRequest {
        is_repeatable: true,
        is_hedged: false,
        sent_at: at(0.0),
        predicted_first_token: Duration::from_millis(300),
        predicted_hedge_first_token: Duration::from_millis(200),
        deadline: at(60.0),
    }
}

#[rstest]
#[case::early(hedge(), 0.4, HedgeDecision::Wait(Duration::from_millis(500)))]
#[case::late(hedge(), 1.0, HedgeDecision::Send)]
#[case::must_not_run_twice(
    HedgeRequest { is_repeatable: false, ..hedge() }, 1.0, HedgeDecision::Never
)]
#[case::already_hedged(HedgeRequest { is_hedged: true, ..hedge() }, 1.0, HedgeDecision::Never)]
#[case::deadline_too_close(
    HedgeRequest { deadline: at(1.1), ..hedge() }, 1.0, HedgeDecision::Never
)]
#[case::other_upstream_is_slow(
    HedgeRequest { predicted_hedge_first_token: Duration::from_secs(5), ..hedge() },
    1.0,
    HedgeDecision::Never
)]
fn hedging_decision(#[case] req: HedgeRequest, #[case] now: f64, #[case] expected: HedgeDecision) {
    let mut budget = RetryBudget::new(RetryBudgetOptions::default(), at(0.0));

    let decision = decide_hedge(&req, &HedgeOptions::default(), &mut budget, at(now));

    assert_eq!(decision, expected);
}

#[test]
fn hedging_draws_on_the_retry_budget() {
    let mut budget = RetryBudget::new(RetryBudgetOptions::default(), at(0.0));
    while budget.try_take(at(0.0)) {}

    let decision = decide_hedge(&hedge(), &HedgeOptions::default(), &mut budget, at(1.0));

    assert_eq!(decision, HedgeDecision::Never);
}
