//! Tests of the repeat budget when a service fails so often that every request would be repeated.

mod common;

use std::time::Duration;

use common::at;
use rstest::rstest;
use verbenahead_policy::{RepeatBudget, RepeatBudgetOptions};

fn options() -> RepeatBudgetOptions {
    RepeatBudgetOptions {
        ratio: 0.2,
        window: Duration::from_secs(10),
        extra: 120.0,
        ..RepeatBudgetOptions::default()
    }
}

/// Simulates one of `nodes` equal nodes on which every request needs a repeat. Returns the repeats
/// and the requests of all nodes within the last window.
fn simulate(nodes: usize, per_second: u32, seconds: u32) -> (u32, u32) {
    let mut budget = RepeatBudget::new(options());
    let mut repeats = Vec::new();
    for second in 0..seconds {
        for n in 0..per_second {
            let now = f64::from(second) + f64::from(n) / f64::from(per_second);
            budget.on_request(at(now));
            if budget.try_take(nodes, at(now)) {
                repeats.push(now);
            }
        }
    }
    let start = f64::from(seconds) - 10.0;
    let in_window = repeats.iter().filter(|time| **time >= start).count() as u32;
    (in_window * nodes as u32, per_second * 10 * nodes as u32)
}

#[rstest]
fn all_nodes_together_stay_within_the_bound(
    #[values(1, 12, 19, 100)] nodes: usize,
    #[values(1, 5, 40)] per_second: u32,
) {
    let (repeats, requests) = simulate(nodes, per_second, 30);

    let bound = f64::from(requests) * 0.2 + 120.0;
    assert!(f64::from(repeats) <= bound, "{repeats} of {bound}");
}

#[test]
fn most_of_the_bound_is_used() {
    let (repeats, requests) = simulate(19, 5, 30);

    let bound = f64::from(requests) * 0.2 + 120.0;
    assert!(f64::from(repeats) >= bound * 0.6, "{repeats} of {bound}");
}

#[test]
fn unconditional_repeats_use_up_the_budget() {
    let mut budget = RepeatBudget::new(options());
    (0..96).for_each(|_| budget.on_repeat(at(0.0)));

    let is_allowed = budget.try_take(1, at(0.0));

    assert!(!is_allowed);
}

#[test]
fn the_budget_recovers_after_a_window() {
    let mut budget = RepeatBudget::new(options());
    (0..200).for_each(|_| budget.on_repeat(at(0.0)));

    let is_allowed = budget.try_take(1, at(11.1));

    assert!(is_allowed);
}

// Guards against a budget that is used up by repeats that were never made.
#[test]
fn a_repeat_that_is_given_back_can_be_taken_again() {
    let mut budget = RepeatBudget::new(options());
    let taken = (0..1_000).filter(|_| budget.try_take(1, at(0.0))).count();

    budget.give_back();

    assert!(taken > 0);
    assert!(budget.try_take(1, at(0.0)));
    assert!(!budget.try_take(1, at(0.0)));
}

// Guards against more repeats than allowed after one was given back that no longer counts.
#[test]
fn a_repeat_that_no_longer_counts_is_not_given_back() {
    let mut budget = RepeatBudget::new(options());
    let allowed = (0..1_000).filter(|_| budget.try_take(1, at(0.0))).count();
    assert!(budget.try_take(1, at(60.0)));

    budget.give_back();
    budget.give_back();

    let taken = (0..1_000).filter(|_| budget.try_take(1, at(60.0))).count();
    assert_eq!(taken, allowed);
}
