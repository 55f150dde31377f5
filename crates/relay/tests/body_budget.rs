//! Tests of the memory for bodies: many large uploads at once.

use verbenahead_core::units::ByteSize;
use verbenahead_relay::BodyBudget;

#[test]
fn bodies_together_take_no_more_than_the_budget() {
    let budget = BodyBudget::new(ByteSize(100));
    let (mut first, mut second) = (budget.share(), budget.share());

    let grown = [first.try_grow(60), second.try_grow(50), second.try_grow(40)];

    assert_eq!(grown, [true, false, true]);
    assert_eq!(budget.used(), ByteSize(100));
}

#[test]
fn a_body_gives_back_what_it_took() {
    let budget = BodyBudget::new(ByteSize(100));
    let mut first = budget.share();
    assert!(first.try_grow(30));
    assert!(!first.try_grow(80));

    drop(first);

    assert_eq!(budget.used(), ByteSize(0));
}
