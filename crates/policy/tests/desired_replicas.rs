//! Load pattern: demand for prompts that jumps and falls in waves.

mod common;

use common::at;
use rstest::rstest;
use verbenahead_core::units::TokenRate;
use verbenahead_policy::{DesiredReplicas, DesiredReplicasOptions};

const PER_REPLICA: TokenRate = TokenRate(10_000.0);

fn need(present: u32) -> DesiredReplicas {
    let options = DesiredReplicasOptions {
        prompt_load: 0.5,
        ..DesiredReplicasOptions::default()
    };
    DesiredReplicas::new(options, present, at(0.0))
}

#[rstest]
#[case::idle(0.0, 4)]
#[case::within(19_000.0, 4)]
#[case::beyond(26_000.0, 6)]
fn the_need_follows_a_jump_at_once(#[case] demand: f64, #[case] replicas: u32) {
    let mut need = need(4);

    need.update(TokenRate(demand), PER_REPLICA, at(1.0));

    assert_eq!(need.count(), replicas);
}

#[test]
fn the_need_falls_slowly_after_a_burst() {
    let mut need = need(0);
    need.update(TokenRate(60_000.0), PER_REPLICA, at(0.0));

    need.update(TokenRate(10_000.0), PER_REPLICA, at(5.0));
    let soon = need.count();
    need.update(TokenRate(10_000.0), PER_REPLICA, at(120.0));
    let later = need.count();

    assert_eq!(soon, 12);
    assert!(later <= 3, "{later}");
}

#[test]
fn small_waves_change_no_plan() {
    let mut need = need(0);
    need.update(TokenRate(48_000.0), PER_REPLICA, at(0.0));
    let mut plans = Vec::new();

    for second in 1..30 {
        let wave = 36_000.0 + 4_000.0 * f64::from(second % 4);
        need.update(TokenRate(wave), PER_REPLICA, at(f64::from(second)));
        plans.push(need.count());
    }

    plans.dedup();
    assert_eq!(plans, [10]);
}

#[test]
fn what_was_set_up_stays_until_there_is_demand() {
    let mut need = need(3);

    need.raise_to(9);

    assert_eq!(need.count(), 9);
}
