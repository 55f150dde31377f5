//! The checks of bookings detect runs that contradict the known outcomes.

use std::collections::BTreeMap;

use bytes::Bytes;
use rstest::rstest;
use verbenahead_soak::booking_records::{BookingRecord, BookingRecords, LastOutcome};

const KEY: &str = "key-1";

fn answered() -> LastOutcome {
    LastOutcome::Answered(Bytes::from_static(b"{}"))
}

fn records(word: LastOutcome, is_abandoned: bool) -> BookingRecords {
    let records = BookingRecords::default();
    let record = BookingRecord {
        word,
        is_abandoned,
        nodes: vec!["node-a-1".to_owned()],
    };
    records.put(KEY.to_owned(), record);
    records
}

fn runs(count: u64) -> BTreeMap<String, u64> {
    [(KEY.to_owned(), count)].into_iter().collect()
}

#[rstest]
#[case::answered_and_ran(answered(), false, 1, None)]
#[case::answered_and_lost(answered(), false, 0, Some("an answered key ran once"))]
#[case::ran_twice(answered(), false, 2, Some("a key runs at most once"))]
#[case::not_run(LastOutcome::NotRun, false, 0, None)]
#[case::not_run_but_ran(LastOutcome::NotRun, false, 1, Some("a key told `not_run` never ran"))]
#[case::not_run_with_an_abandoned_attempt(LastOutcome::NotRun, true, 1, None)]
#[case::unknown_and_not_run(LastOutcome::Unknown, false, 0, None)]
#[case::unknown_and_ran(LastOutcome::Unknown, false, 1, None)]
#[case::unknown_and_ran_twice(LastOutcome::Unknown, true, 2, Some("a key runs at most once"))]
fn runs_are_compared_with_last_outcomes(
    #[case] word: LastOutcome,
    #[case] is_abandoned: bool,
    #[case] count: u64,
    #[case] invariant: Option<&str>,
) {
    let records = records(word, is_abandoned);

    let check = records.check_outcomes(&runs(count));

    assert_eq!(check.err().map(|broken| broken.invariant), invariant);
}

#[test]
fn two_runs_of_a_key_without_a_record_are_detected() {
    let records = BookingRecords::default();

    let check = records.check_at_most_once(&runs(2));

    let broken = check.expect_err("two runs are too many");
    assert_eq!(broken.invariant, "a key runs at most once");
}
