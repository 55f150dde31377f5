//! Tests of the desired number of replicas. Load pattern: bursts and waves of prompts.

mod common;

use common::at;
use rstest::rstest;
use verbenahead_core::units::TokenRate;
use verbenahead_policy::{DesiredReplicas, DesiredReplicasOptions};

const PER_REPLICA: TokenRate = TokenRate(10_000.0);

fn desired(present: u32) -> DesiredReplicas {
    let options = DesiredReplicasOptions {
        prefill_utilization: 0.5,
        ..DesiredReplicasOptions::default()
    };
    DesiredReplicas::new(options, present, at(0.0))
}

#[rstest]
#[case::idle(0.0, 4)]
#[case::within(19_000.0, 4)]
#[case::beyond(26_000.0, 6)]
fn number_follows_a_rise_of_the_demand_at_once(#[case] demand: f64, #[case] replicas: u32) {
    let mut desired = desired(4);

    desired.update(TokenRate(demand), PER_REPLICA, at(1.0));

    assert_eq!(desired.count(), replicas);
}

#[test]
fn number_falls_slowly_after_a_burst() {
    let mut desired = desired(0);
    desired.update(TokenRate(60_000.0), PER_REPLICA, at(0.0));

    desired.update(TokenRate(10_000.0), PER_REPLICA, at(5.0));
    let soon = desired.count();
    desired.update(TokenRate(10_000.0), PER_REPLICA, at(120.0));
    let later = desired.count();

    assert_eq!(soon, 12);
    assert!(later <= 3, "{later}");
}

#[test]
fn small_waves_do_not_change_the_number() {
    let mut desired = desired(0);
    desired.update(TokenRate(48_000.0), PER_REPLICA, at(0.0));
    let mut counts = Vec::new();

    for second in 1..30 {
        let wave = 36_000.0 + 4_000.0 * f64::from(second % 4);
        desired.update(TokenRate(wave), PER_REPLICA, at(f64::from(second)));
        counts.push(desired.count());
    }

    counts.dedup();
    assert_eq!(counts, [10]);
}

#[test]
fn present_replicas_are_kept_without_demand() {
    let mut desired = desired(3);

    desired.raise_to(9);

    assert_eq!(desired.count(), 9);
}
