//! Tests of the estimated prefill rate.

use rstest::rstest;
use verbenahead_core::units::{TokenRate, Tokens};
use verbenahead_policy::{PrefillRateEstimator, PrefillRateOptions};

fn estimator() -> PrefillRateEstimator {
    PrefillRateEstimator::new(PrefillRateOptions::default())
}

#[rstest]
#[case::faster(45_000.0)]
#[case::slower(5_000.0)]
fn estimate_converges_in_both_directions(#[case] observed: f64) {
    let mut estimator = estimator();

    for _ in 0..100 {
        estimator.add_sample(TokenRate(observed), Tokens(6_000));
    }

    let rate = estimator.rate().0;
    assert!((rate / observed - 1.0).abs() < 0.1, "{rate}");
}

#[test]
fn prompts_that_waited_lower_the_estimate_little() {
    let mut estimator = estimator();
    for n in 0..200 {
        let observed = if n % 4 == 0 { 40_000.0 } else { 12_000.0 };

        estimator.add_sample(TokenRate(observed), Tokens(6_000));
    }

    let rate = estimator.rate().0;
    assert!(rate > 25_000.0, "{rate}");
}

#[test]
fn short_prompts_have_a_low_weight() {
    let (mut short, mut long) = (estimator(), estimator());

    short.add_sample(TokenRate(40_000.0), Tokens(400));
    long.add_sample(TokenRate(40_000.0), Tokens(8_000));

    assert!(short.rate() < long.rate());
}
