//! Tests of the memory limit for request bodies when many large bodies arrive at once.

use verbenahead_core::units::ByteSize;
use verbenahead_relay::BodyBudget;

#[test]
fn all_bodies_together_stay_within_the_budget() {
    let budget = BodyBudget::new(ByteSize(100));
    let (mut first, mut second) = (budget.reservation(), budget.reservation());

    let grown = [first.try_grow(60), second.try_grow(50), second.try_grow(40)];

    assert_eq!(grown, [true, false, true]);
    assert_eq!(budget.used(), ByteSize(100));
}

#[test]
fn a_dropped_body_releases_its_memory() {
    let budget = BodyBudget::new(ByteSize(100));
    let mut first = budget.reservation();
    assert!(first.try_grow(30));
    assert!(!first.try_grow(80));

    drop(first);

    assert_eq!(budget.used(), ByteSize(0));
}
