//! Tests of the least-squares fit.

use rstest::rstest;
use verbenahead_measure::slopes::fit::LinearFit;

#[rstest]
#[case::rising(&[(4.0, 11.0), (8.0, 19.0), (16.0, 35.0)], 3.0, 2.0, 1.0)]
#[case::level(&[(1.0, 5.0), (2.0, 5.0)], 5.0, 0.0, 1.0)]
#[case::scattered(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)], 1.0 / 3.0, 0.0, 0.0)]
fn computes_the_least_squares_line(
    #[case] points: &[(f64, f64)],
    #[case] intercept: f64,
    #[case] slope: f64,
    #[case] r_squared: f64,
) {
    let fit = LinearFit::through(points).expect("a line");

    for (actual, expected) in [
        (fit.intercept, intercept),
        (fit.slope, slope),
        (fit.r_squared, r_squared),
    ] {
        assert!((actual - expected).abs() < 1e-9, "{actual} != {expected}");
    }
}

#[rstest]
#[case::none(&[])]
#[case::one(&[(1.0, 2.0)])]
#[case::one_size(&[(1.0, 2.0), (1.0, 3.0)])]
fn returns_none_without_two_distinct_x_values(#[case] points: &[(f64, f64)]) {
    let fit = LinearFit::through(points);

    assert_eq!(fit, None);
}
