//! Tests of usage counts per window.

mod common;

use std::time::Duration;

use common::workspace;
use rstest::rstest;
use verbenahead_core::time::UnixMillis;
use verbenahead_policy::{NodeIncarnation, UsageCollector, UsageWindows};

fn windows() -> UsageWindows {
    UsageWindows::new(Duration::from_secs(5), 3)
}

#[rstest]
#[case::first_millisecond(10_000, 2)]
#[case::last_millisecond(14_999, 2)]
#[case::next_window(15_000, 3)]
fn a_time_maps_to_its_window(#[case] at: u64, #[case] window: u64) {
    assert_eq!(windows().window_of(UnixMillis(at)), window);
}

#[test]
fn requests_are_counted_in_the_window_in_which_they_start() {
    let mut windows = windows();
    let paving = workspace("paving");

    windows.count(&paving, UnixMillis(14_999));
    windows.count(&paving, UnixMillis(15_000));
    windows.count(&paving, UnixMillis(15_001));

    assert_eq!(windows.counts(2)[&paving], 1);
    assert_eq!(windows.counts(3)[&paving], 2);
    assert_eq!(windows.end_of(2), UnixMillis(15_000));
}

#[test]
fn only_the_latest_windows_are_kept() {
    let mut windows = windows();
    let paving = workspace("paving");

    for window in 0..6 {
        windows.count(&paving, UnixMillis(window * 5_000));
    }

    let kept: Vec<u64> = windows.iter().map(|(window, _)| window).collect();
    assert_eq!(kept, [3, 4, 5]);
}

#[test]
fn counts_of_all_nodes_add_up_and_outdated_reports_have_no_effect() {
    let mut collector = UsageCollector::default();

    collector.record_counts(NodeIncarnation(1), 7, false, [(10, 3)]);
    collector.record_counts(NodeIncarnation(1), 7, true, [(10, 5)]);
    collector.record_counts(NodeIncarnation(1), 7, false, [(10, 3)]);
    collector.record_counts(NodeIncarnation(2), 7, true, [(10, 4), (11, 1)]);

    assert_eq!(collector.total(7, 10), 9);
    assert_eq!(collector.total(7, 11), 1);
    assert!(collector.is_final(NodeIncarnation(1), 7));
}

#[test]
fn counts_of_an_earlier_incarnation_are_kept() {
    let mut collector = UsageCollector::default();

    collector.record_counts(NodeIncarnation(1), 7, false, [(10, 3)]);
    collector.record_counts(NodeIncarnation(100), 7, true, [(10, 2)]);

    assert_eq!(collector.total(7, 10), 5);
}

#[test]
fn old_windows_are_discarded() {
    let mut collector = UsageCollector::default();
    collector.record_counts(NodeIncarnation(1), 7, true, [(10, 3)]);
    collector.record_counts(NodeIncarnation(1), 8, true, [(10, 2)]);

    collector.discard_before(8);

    assert_eq!(collector.total(7, 10), 0);
    assert_eq!(collector.total(8, 10), 2);
}

#[test]
fn reported_counts_can_be_copied_to_another_collector() {
    let mut collector = UsageCollector::default();
    collector.record_counts(NodeIncarnation(1), 7, true, [(10, 5)]);
    collector.record_counts(NodeIncarnation(2), 7, true, [(10, 4)]);
    collector.record_counts(NodeIncarnation(1), 8, false, [(11, 2)]);

    let reported = collector.reported_by(|node| node == NodeIncarnation(1));
    let mut next = UsageCollector::default();
    for report in &reported {
        next.record_counts(
            report.node,
            report.window,
            report.is_final,
            report.counts.clone(),
        );
    }

    let windows: Vec<u64> = reported.iter().map(|report| report.window).collect();
    assert_eq!(windows, [8, 7]);
    assert_eq!((next.total(7, 10), next.total(8, 11)), (5, 2));
    assert!(next.is_final(NodeIncarnation(1), 7));
    assert!(!next.is_final(NodeIncarnation(1), 8));
}
