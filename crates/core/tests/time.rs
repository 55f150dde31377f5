//! Tests of printing timestamps and of the wall clock.

use std::time::Duration;

use rstest::rstest;
use verbenahead_core::time::{UnixMillis, WallClock};

#[rstest]
#[case(0, "1970-01-01T00:00:00Z")]
#[case(951_782_399_999, "2000-02-28T23:59:59Z")]
#[case(951_782_400_000, "2000-02-29T00:00:00Z")]
#[case(1_709_251_199_000, "2024-02-29T23:59:59Z")]
#[case(1_709_251_200_000, "2024-03-01T00:00:00Z")]
#[case(4_102_444_800_000, "2100-01-01T00:00:00Z")]
fn a_timestamp_is_displayed_as_a_utc_date(#[case] millis: u64, #[case] expected: &str) {
    let text = UnixMillis(millis).to_string();

    assert_eq!(text, expected);
}

#[tokio::test(start_paused = true)]
async fn the_wall_clock_follows_paused_time() {
    let clock = WallClock::starting_at(UnixMillis(1_000));

    tokio::time::advance(Duration::from_secs(2)).await;

    assert_eq!(clock.now(), UnixMillis(3_000));
}
