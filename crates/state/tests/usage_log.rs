//! Tests of the log of reported usage.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::retry;
use verbenahead_core::WorkspaceId;
use verbenahead_services::{MemoryTable, Table, UsageReport, memory::TableFaults};
use verbenahead_state::{SavedCounts, UsageLog, usage_log::USAGE_TABLE};

fn log() -> (Arc<MemoryTable>, UsageLog) {
    let table = Arc::new(MemoryTable::default());
    (table.clone(), UsageLog::new(table, retry()))
}

fn report(window: u64, requests: u64) -> UsageReport {
    let paving = WorkspaceId::try_new("paving").expect("valid id");
    UsageReport {
        window,
        counts: BTreeMap::from([(paving, requests)]),
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_report_of_a_window_is_the_one_to_send() {
    let (_table, log) = log();

    let first = log.write(&report(70, 10)).await.expect("written");
    let second = log.write(&report(70, 12)).await.expect("written");

    assert_eq!(first, report(70, 10));
    assert_eq!(second, report(70, 10));
    assert_eq!(log.read(70).await.expect("read"), Some(report(70, 10)));
}

#[tokio::test(start_paused = true)]
async fn windows_do_not_disturb_each_other() {
    let (_table, log) = log();
    for window in 70..80 {
        log.write(&report(window, window)).await.expect("written");
    }

    assert_eq!(log.read(75).await.expect("read"), Some(report(75, 75)));
    assert_eq!(log.read(81).await.expect("read"), None);
}

#[tokio::test(start_paused = true)]
async fn the_row_of_an_old_window_is_used_again() {
    let (_table, log) = log();
    log.write(&report(70, 1)).await.expect("written");

    let later = log.write(&report(86, 2)).await.expect("written");
    let late = log.write(&report(70, 3)).await.expect("written");

    assert_eq!(later, report(86, 2));
    // An older window is not written over a later one.
    assert_eq!(late, report(86, 2));
    assert_eq!(log.read(70).await.expect("read"), None);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_leaves_the_report_that_was_written() {
    let (table, log) = log();
    table.set_faults(TableFaults {
        lost_answers: 1,
        ..TableFaults::default()
    });

    let written = log.write(&report(70, 10)).await;

    // The repeated write finds the row of the first one.
    assert_eq!(written.expect("written"), report(70, 10));
}

#[tokio::test(start_paused = true)]
async fn without_the_table_nothing_may_be_sent() {
    let (table, log) = log();
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });

    assert!(log.write(&report(70, 10)).await.is_err());
}

fn kept(node_incarnation: u64, workspaces: u32) -> SavedCounts {
    SavedCounts {
        window: 354_478_720,
        node_incarnation,
        is_final: true,
        counts: (0..workspaces).map(|n| (u32::MAX - n, 1_000)).collect(),
    }
}

#[tokio::test(start_paused = true)]
async fn the_last_counts_that_a_holder_kept_are_read() {
    let (_table, log) = log();
    assert_eq!(log.load_counts().await.expect("read"), []);

    log.save_counts(&[kept(1, 2), kept(2, 1)])
        .await
        .expect("written");
    log.save_counts(&[kept(3, 2)]).await.expect("written");

    assert_eq!(log.load_counts().await.expect("read"), [kept(3, 2)]);
}

#[tokio::test(start_paused = true)]
async fn counts_of_many_nodes_are_divided_among_rows() {
    let (table, log) = log();
    let many: Vec<_> = (0..700)
        .map(|node_incarnation| kept(node_incarnation, 16))
        .collect();

    let bytes = log.save_counts(&many).await.expect("written");

    assert_eq!(log.load_counts().await.expect("read"), many);
    let listed = table.list(USAGE_TABLE, "counts/", None, 100);
    let rows = listed.await.expect("listed");
    let sizes: Vec<usize> = rows.iter().map(|(_, row)| row.value.len()).collect();
    assert!(sizes.len() > 1, "{sizes:?}");
    assert!(sizes.iter().all(|size| *size <= 60_000), "{sizes:?}");
    assert_eq!(sizes.iter().sum::<usize>(), bytes);
}

#[tokio::test(start_paused = true)]
async fn no_more_counts_are_kept_than_one_transaction_takes() {
    let (_table, log) = log();
    let many: Vec<_> = (0..2_000)
        .map(|node_incarnation| kept(node_incarnation, 40))
        .collect();

    let bytes = log.save_counts(&many).await.expect("written");

    let read = log.load_counts().await.expect("read");
    assert_eq!(read[..], many[..read.len()]);
    assert!((400_000..700_000).contains(&bytes), "{bytes}");
}
