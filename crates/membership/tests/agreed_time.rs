//! Tests of the agreed time with clocks that jump and drift.

use std::time::Duration;

use rstest::rstest;
use verbenahead_membership::{AgreedTime, AgreedTimeOptions, ClockReading};

/// Offset of the true time, in milliseconds.
const TRUE_OFFSET_MS: i64 = 1_700_000_000_000;

fn settled_reading(system: i64, agreed: i64) -> ClockReading {
    ClockReading {
        system,
        agreed: Some(agreed),
    }
}

fn unsettled_reading(system: i64) -> ClockReading {
    ClockReading {
        system,
        agreed: None,
    }
}

/// Returns the agreed time of a node that has settled on the true time.
fn settled_node() -> AgreedTime {
    let mut time = AgreedTime::new(AgreedTimeOptions::default());
    time.update(Duration::from_secs(1), TRUE_OFFSET_MS, &[]);
    time.update(Duration::from_secs(4), TRUE_OFFSET_MS, &[]);
    time
}

#[rstest]
#[case::ahead(5_000)]
#[case::back(-5_000)]
fn a_temporary_jump_of_all_clocks_does_not_move_a_settled_node(#[case] jump: i64) {
    let mut time = settled_node();
    let others = [settled_reading(TRUE_OFFSET_MS + jump, TRUE_OFFSET_MS); 5];

    for step in 1..=40 {
        let elapsed = Duration::from_secs(4) + Duration::from_millis(250) * step;
        time.update(elapsed, TRUE_OFFSET_MS + jump, &others);
    }

    assert!(
        (time.offset() - TRUE_OFFSET_MS).abs() <= 10,
        "{}",
        time.offset() - TRUE_OFFSET_MS
    );
}

#[test]
fn a_starting_node_adopts_the_time_of_the_settled_nodes() {
    let mut time = AgreedTime::new(AgreedTimeOptions::default());
    let others = [
        settled_reading(TRUE_OFFSET_MS, TRUE_OFFSET_MS),
        settled_reading(TRUE_OFFSET_MS + 4_000, TRUE_OFFSET_MS + 3),
        unsettled_reading(TRUE_OFFSET_MS + 4_000),
        unsettled_reading(TRUE_OFFSET_MS + 4_000),
        unsettled_reading(TRUE_OFFSET_MS + 4_000),
    ];

    time.update(Duration::from_millis(250), TRUE_OFFSET_MS + 4_000, &others);

    assert!((time.offset() - TRUE_OFFSET_MS).abs() <= 3);
    assert!(!time.is_settled(Duration::from_millis(250)));
}

#[test]
fn nodes_that_start_together_use_the_median_of_their_clocks() {
    let mut time = AgreedTime::new(AgreedTimeOptions::default());
    let others = [
        unsettled_reading(TRUE_OFFSET_MS),
        unsettled_reading(TRUE_OFFSET_MS + 2),
        unsettled_reading(TRUE_OFFSET_MS - 4_000),
    ];

    time.update(Duration::from_millis(250), TRUE_OFFSET_MS + 3_000, &others);

    assert_eq!(time.offset(), TRUE_OFFSET_MS + 2);
}

#[test]
fn a_settled_node_that_is_far_off_adopts_the_time_of_the_others() {
    let mut time = settled_node();
    let others = [settled_reading(TRUE_OFFSET_MS, TRUE_OFFSET_MS + 4_000); 3];

    time.update(Duration::from_millis(4_250), TRUE_OFFSET_MS, &others);

    assert_eq!(time.offset(), TRUE_OFFSET_MS + 4_000);
}

#[test]
fn transmission_delay_of_reports_does_not_slow_the_clock() {
    let mut time = settled_node();
    let others = [settled_reading(TRUE_OFFSET_MS, TRUE_OFFSET_MS - 3); 5];

    for step in 1..=400 {
        let elapsed = Duration::from_secs(4) + Duration::from_millis(250) * step;
        time.update(elapsed, TRUE_OFFSET_MS, &others);
    }

    assert_eq!(time.offset(), TRUE_OFFSET_MS);
}

#[test]
fn a_settled_node_follows_clocks_that_drift() {
    let mut time = settled_node();
    let minute = Duration::from_secs(60);

    time.update(
        Duration::from_secs(4) + minute,
        TRUE_OFFSET_MS + 6,
        &[settled_reading(TRUE_OFFSET_MS + 6, TRUE_OFFSET_MS); 3],
    );

    assert_eq!(time.offset(), TRUE_OFFSET_MS + 6);
}
