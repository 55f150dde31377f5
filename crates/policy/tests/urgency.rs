//! Tests of the order of requests when urgent short prompts and less urgent long ones queue at a
//! replica.

use rstest::rstest;
use verbenahead_core::units::Tokens;
use verbenahead_policy::{UrgencyOptions, urgency};

fn level(rank: u8, uncached: u64) -> u8 {
    urgency(rank, Tokens(uncached), &UrgencyOptions::default())
}

#[rstest]
fn a_lower_rank_is_always_more_urgent(
    #[values(0, 1)] rank: u8,
    #[values(100, 5_000, 60_000)] urgent: u64,
    #[values(100, 5_000, 60_000)] less_urgent: u64,
) {
    assert!(level(rank, urgent) < level(rank + 1, less_urgent));
}

#[test]
fn within_a_rank_short_prompts_go_first() {
    let levels = [level(1, 600), level(1, 3_000), level(1, 12_000)];

    assert!(
        levels.is_sorted_by(|left, right| left < right),
        "{levels:?}"
    );
}

#[test]
fn levels_stay_within_their_range() {
    assert_eq!(level(255, 1_000_000), 9);
}
