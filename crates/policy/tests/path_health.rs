//! Tests of the state of a node's paths to upstreams.

use std::time::Duration;

use verbenahead_policy::{PathHealth, PathHealthOptions, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp(Duration::from_millis(ms))
}

fn health() -> PathHealth<u32> {
    PathHealth::new(PathHealthOptions::default())
}

#[test]
fn one_upstream_that_is_cut_off_leaves_the_others_in_use() {
    let mut health = health();

    health.on_cut(1, at(0));

    assert!(health.is_cut(1, at(10_000)));
    assert!(!health.is_cut(2, at(10_000)));
}

#[test]
fn all_count_as_cut_off_when_several_are_and_none_answers() {
    let mut health = health();
    health.on_direct(3, at(0));
    health.on_cut(1, at(10));
    health.on_cut(2, at(20));

    let is_cut: Vec<_> = [100, 499, 500].map(|ms| health.is_cut(3, at(ms))).into();

    assert_eq!(is_cut, [false, false, true]);
}

#[test]
fn an_answer_of_one_brings_the_untested_ones_back() {
    let mut health = health();
    health.on_cut(1, at(0));
    health.on_cut(2, at(0));

    let was_cut = health.on_direct(1, at(1_000));

    assert!(was_cut && !health.is_cut(1, at(1_000)));
    assert!(!health.is_cut(3, at(1_000)));
    assert!(health.is_cut(2, at(1_000)));
}

#[test]
fn an_upstream_that_no_node_reaches_is_not_cut_off() {
    let mut health = health();
    health.on_cut(1, at(0));

    health.on_down(1);

    assert!(!health.is_cut(1, at(0)));
    assert_eq!(health.cut_count(), 0);
}
