//! Tests of the time of day that nodes agree on, with clocks that jump.

use std::time::Duration;

use rstest::rstest;
use verbenahead_membership::{AgreedTime, AgreedTimeOptions, ClockReading};

/// Offset of the true time.
const TRUE: i64 = 1_700_000_000_000;

fn settled(machine: i64, agreed: i64) -> ClockReading {
    ClockReading {
        machine,
        agreed: Some(agreed),
    }
}

fn started(machine: i64) -> ClockReading {
    ClockReading {
        machine,
        agreed: None,
    }
}

/// Returns the time of a node that settled with the true time.
fn settled_time() -> AgreedTime {
    let mut time = AgreedTime::new(AgreedTimeOptions::default());
    time.update(Duration::from_secs(1), TRUE, &[]);
    time.update(Duration::from_secs(4), TRUE, &[]);
    time
}

#[rstest]
#[case::ahead(5_000)]
#[case::back(-5_000)]
fn a_jump_of_all_clocks_for_a_while_moves_nobody_who_has_settled(#[case] jump: i64) {
    let mut time = settled_time();
    let others = [settled(TRUE + jump, TRUE); 5];

    for step in 1..=40 {
        let elapsed = Duration::from_secs(4) + Duration::from_millis(250) * step;
        time.update(elapsed, TRUE + jump, &others);
    }

    assert!(
        (time.offset() - TRUE).abs() <= 10,
        "{}",
        time.offset() - TRUE
    );
}

#[test]
fn a_node_that_starts_takes_the_time_of_those_that_have_settled() {
    let mut time = AgreedTime::new(AgreedTimeOptions::default());
    let others = [
        settled(TRUE, TRUE),
        settled(TRUE + 4_000, TRUE + 3),
        started(TRUE + 4_000),
        started(TRUE + 4_000),
        started(TRUE + 4_000),
    ];

    time.update(Duration::from_millis(250), TRUE + 4_000, &others);

    assert!((time.offset() - TRUE).abs() <= 3);
    assert!(!time.is_settled(Duration::from_millis(250)));
}

#[test]
fn nodes_that_start_together_go_by_the_median_of_their_clocks() {
    let mut time = AgreedTime::new(AgreedTimeOptions::default());
    let others = [started(TRUE), started(TRUE + 2), started(TRUE - 4_000)];

    time.update(Duration::from_millis(250), TRUE + 3_000, &others);

    assert_eq!(time.offset(), TRUE + 2);
}

#[test]
fn a_settled_node_that_is_far_off_takes_the_time_of_the_others() {
    let mut time = settled_time();
    let others = [settled(TRUE, TRUE + 4_000); 3];

    time.update(Duration::from_millis(4_250), TRUE, &others);

    assert_eq!(time.offset(), TRUE + 4_000);
}

#[test]
fn the_time_that_reports_are_under_way_does_not_slow_the_clock() {
    let mut time = settled_time();
    let others = [settled(TRUE, TRUE - 3); 5];

    for step in 1..=400 {
        let elapsed = Duration::from_secs(4) + Duration::from_millis(250) * step;
        time.update(elapsed, TRUE, &others);
    }

    assert_eq!(time.offset(), TRUE);
}

#[test]
fn a_settled_node_follows_clocks_that_drift() {
    let mut time = settled_time();
    let minute = Duration::from_secs(60);

    time.update(
        Duration::from_secs(4) + minute,
        TRUE + 6,
        &[settled(TRUE + 6, TRUE); 3],
    );

    assert_eq!(time.offset(), TRUE + 6);
}
