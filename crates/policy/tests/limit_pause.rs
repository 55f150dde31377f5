//! Tests of the pause after a refused request to an upstream with a limit.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;
use verbenahead_core::units::RequestRate;
use verbenahead_policy::limit_pause;

#[rstest]
fn a_pause_lasts_until_the_limit_allows_a_request(#[values(1, 19, 330)] nodes: usize) {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..1_000 {
        let wait = Duration::from_millis(700);

        let pause = limit_pause(wait, RequestRate(2.0), nodes, &mut rng);

        assert!(
            (wait..=Duration::from_secs(60)).contains(&pause),
            "{pause:?}"
        );
    }
}

#[rstest]
#[case::small(19, 1.0)]
#[case::large(195, 4.0)]
#[case::target_size(330, 12.0)]
fn the_requests_of_all_nodes_grow_with_the_limit_only(#[case] nodes: usize, #[case] limit: f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let pauses =
        (0..1_000).map(|_| limit_pause(Duration::ZERO, RequestRate(limit), nodes, &mut rng));
    let mean = pauses.sum::<Duration>().as_secs_f64() / 1_000.0;

    let requests = nodes as f64 / mean;

    assert!((3.0..=5.0).contains(&(requests / limit)), "{requests}");
}

#[test]
fn the_pause_for_a_limit_of_zero_is_bounded() {
    let mut rng = StdRng::seed_from_u64(1);

    let pause = limit_pause(Duration::MAX, RequestRate(0.0), 330, &mut rng);

    assert_eq!(pause, Duration::from_secs(60));
}
