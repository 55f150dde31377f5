//! Tests of the learned speed of replicas.

use rstest::rstest;
use verbenahead_core::units::{TokenRate, Tokens};
use verbenahead_policy::{PrefillRateEstimator, PrefillRateOptions};

fn speed() -> PrefillRateEstimator {
    PrefillRateEstimator::new(PrefillRateOptions::default())
}

#[rstest]
#[case::faster(45_000.0)]
#[case::slower(5_000.0)]
fn the_rate_is_learnt_in_both_directions(#[case] shown: f64) {
    let mut speed = speed();

    for _ in 0..100 {
        speed.add_sample(TokenRate(shown), Tokens(6_000));
    }

    let learnt = speed.rate().0;
    assert!((learnt / shown - 1.0).abs() < 0.1, "{learnt}");
}

#[test]
fn prompts_that_waited_lower_the_rate_little() {
    let mut speed = speed();
    for n in 0..200 {
        let shown = if n % 4 == 0 { 40_000.0 } else { 12_000.0 };

        speed.add_sample(TokenRate(shown), Tokens(6_000));
    }

    let learnt = speed.rate().0;
    assert!(learnt > 25_000.0, "{learnt}");
}

#[test]
fn short_prompts_say_little() {
    let (mut short, mut long) = (speed(), speed());

    short.add_sample(TokenRate(40_000.0), Tokens(400));
    long.add_sample(TokenRate(40_000.0), Tokens(8_000));

    assert!(short.rate() < long.rate());
}
