//! Tests of the log of usage reports and saved counts.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use common::retry_options;
use rstest::rstest;
use verbenahead_core::WorkspaceId;
use verbenahead_services::{
    Condition, EraView, MemoryTable, Mutation, RowKey, SeenEra, StoreEra, Table, UsageReport,
    Write, WriteOutcome, memory::TableFaults,
};
use verbenahead_state::{
    EarlierReport, ReportHistory, SavedCounts, UsageLog, usage_log::USAGE_TABLE,
};

fn log() -> (Arc<MemoryTable>, UsageLog) {
    let table = Arc::new(MemoryTable::default());
    (
        table.clone(),
        UsageLog::new(table, retry_options(), EraView::without_eras()),
    )
}

fn report(window: u64, requests: u64) -> UsageReport {
    let paving = WorkspaceId::try_new("paving").expect("valid id");
    UsageReport {
        window,
        counts: BTreeMap::from([(paving, requests)]),
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_report_of_a_window_is_kept() {
    let (_table, log) = log();

    let first = log
        .write(&report(70, 10), EarlierReport::Possible, None)
        .await
        .expect("written");
    let second = log
        .write(&report(70, 12), EarlierReport::Possible, None)
        .await
        .expect("written");

    assert_eq!(first, report(70, 10));
    assert_eq!(second, report(70, 10));
    assert_eq!(log.read(70).await.expect("read"), Some(report(70, 10)));
}

#[tokio::test(start_paused = true)]
async fn windows_are_stored_independently() {
    let (_table, log) = log();
    for window in 70..80 {
        log.write(&report(window, window), EarlierReport::Possible, None)
            .await
            .expect("written");
    }

    assert_eq!(log.read(75).await.expect("read"), Some(report(75, 75)));
    assert_eq!(log.read(81).await.expect("read"), None);
}

#[tokio::test(start_paused = true)]
async fn the_row_of_an_old_window_is_reused() {
    let (_table, log) = log();
    log.write(&report(70, 1), EarlierReport::Possible, None)
        .await
        .expect("written");

    let later = log
        .write(&report(86, 2), EarlierReport::Possible, None)
        .await
        .expect("written");
    let late = log
        .write(&report(70, 3), EarlierReport::Possible, None)
        .await
        .expect("written");

    assert_eq!(later, report(86, 2));
    // An older window does not overwrite a later one.
    assert_eq!(late, report(86, 2));
    assert_eq!(log.read(70).await.expect("read"), None);
}

#[tokio::test(start_paused = true)]
async fn a_report_is_stored_despite_a_lost_answer() {
    let (table, log) = log();
    table.set_faults(TableFaults {
        lost_answers: 1,
        ..TableFaults::default()
    });

    let written = log
        .write(&report(70, 10), EarlierReport::Possible, None)
        .await;

    // The retry finds the row that the first attempt has written.
    assert_eq!(written.expect("written"), report(70, 10));
}

#[tokio::test(start_paused = true)]
async fn a_write_fails_while_the_table_is_down() {
    let (table, log) = log();
    table.set_faults(TableFaults {
        is_down: true,
        ..TableFaults::default()
    });

    assert!(
        log.write(&report(70, 10), EarlierReport::Possible, None)
            .await
            .is_err()
    );
}

fn saved(node_incarnation: u64, workspaces: u32) -> SavedCounts {
    SavedCounts {
        window: 354_478_720,
        node_incarnation,
        is_final: true,
        counts: (0..workspaces).map(|n| (u32::MAX - n, 1_000)).collect(),
    }
}

async fn load_counts(log: &UsageLog) -> Vec<SavedCounts> {
    log.open_counts().await.expect("read").1
}

/// Saves counts as a new holder. Returns the number of bytes.
async fn save_counts(log: &UsageLog, counts: &[SavedCounts]) -> usize {
    let (journal, _) = log.open_counts().await.expect("read");
    journal.save(counts).await.expect("written").1
}

#[tokio::test(start_paused = true)]
async fn the_last_saved_counts_are_loaded() {
    let (_table, log) = log();
    let (journal, before) = log.open_counts().await.expect("read");

    let first = journal.save(&[saved(1, 2), saved(2, 1)]).await;
    let (journal, _) = first.expect("written");
    let last = journal.save(&[saved(3, 2)]).await;

    assert_eq!(before, []);
    assert!(last.is_ok(), "{last:?}");
    assert_eq!(load_counts(&log).await, [saved(3, 2)]);
}

#[tokio::test(start_paused = true)]
async fn counts_of_many_nodes_are_split_over_rows() {
    let (table, log) = log();
    let many: Vec<_> = (0..700)
        .map(|node_incarnation| saved(node_incarnation, 16))
        .collect();

    let bytes = save_counts(&log, &many).await;

    assert_eq!(load_counts(&log).await, many);
    let listed = table.list(USAGE_TABLE, "counts/", None, 100);
    let rows = listed.await.expect("listed");
    let sizes: Vec<usize> = rows.iter().map(|(_, row)| row.value.len()).collect();
    assert!(sizes.len() > 1, "{sizes:?}");
    assert!(sizes.iter().all(|size| *size <= 60_000), "{sizes:?}");
    assert_eq!(sizes.iter().sum::<usize>(), bytes);
}

#[tokio::test(start_paused = true)]
async fn saved_counts_are_limited_to_one_transaction() {
    let (_table, log) = log();
    let many: Vec<_> = (0..2_000)
        .map(|node_incarnation| saved(node_incarnation, 40))
        .collect();

    let bytes = save_counts(&log, &many).await;

    let read = load_counts(&log).await;
    assert_eq!(read[..], many[..read.len()]);
    assert!((400_000..700_000).contains(&bytes), "{bytes}");
}

// Guards against counts that a later holder saved and that an earlier one overwrites, which was cut off or whose write
// takes effect late.
#[tokio::test(start_paused = true)]
async fn a_holder_does_not_overwrite_counts_that_another_one_saved() {
    let (_table, log) = log();
    save_counts(&log, &[saved(1, 1)]).await;
    let (earlier, _) = log.open_counts().await.expect("read");
    save_counts(&log, &[saved(1, 1), saved(2, 1)]).await;

    let overwritten = earlier.save(&[saved(1, 1)]).await;

    assert!(overwritten.is_err(), "{overwritten:?}");
    assert_eq!(load_counts(&log).await, [saved(1, 1), saved(2, 1)]);
}

/// Writes a row that holds neither a report nor counts.
async fn put_odd_row(table: &MemoryTable, key: &str) {
    let odd = Write {
        key: RowKey::new(USAGE_TABLE, key),
        condition: Condition::Always,
        mutation: Mutation::Put(Bytes::from_static(b"{\"window\":1e999}")),
    };
    let written = table.write(vec![odd]).await;
    assert!(matches!(written, WriteOutcome::Done(_)), "{written:?}");
}

// Guards against a window in every sixteen that is never reported, since another writer replaced its row, and against a
// second report of a window whose first one is unreadable.
#[rstest]
#[case::window_of_this_holder(EarlierReport::Impossible, true)]
#[case::window_of_an_earlier_holder(EarlierReport::Possible, false)]
#[tokio::test(start_paused = true)]
async fn an_unreadable_report_is_replaced_if_nobody_can_have_sent_it(
    #[case] earlier: EarlierReport,
    #[case] is_replaced: bool,
) {
    let (table, log) = log();
    put_odd_row(&table, "06").await;

    let written = log.write(&report(70, 10), earlier, None).await;
    let read = log.read(70).await;

    assert_eq!(written.ok(), is_replaced.then(|| report(70, 10)));
    assert_eq!(read.is_ok(), is_replaced, "{read:?}");
}

// Guards against counts that are neither read nor saved any more, for one row that is odd, or many
// others with keys before theirs.
#[tokio::test(start_paused = true)]
async fn an_unreadable_row_of_counts_costs_only_its_own() {
    let (table, log) = log();
    let many: Vec<_> = (0..700).map(|node| saved(node, 16)).collect();
    save_counts(&log, &many).await;
    put_odd_row(&table, "counts/0").await;
    for n in 0..20 {
        put_odd_row(&table, &format!("counts/!{n}")).await;
    }

    let (journal, read) = log.open_counts().await.expect("read");
    let replaced = journal.save(&many).await;

    assert!(
        read.len() < many.len() && many.ends_with(&read),
        "{}",
        read.len()
    );
    assert!(!read.is_empty());
    assert!(replaced.is_ok(), "{replaced:?}");
    assert_eq!(load_counts(&log).await, many);
}

fn history(era: u64, complete_from: u64) -> ReportHistory {
    let era = StoreEra(era);
    ReportHistory { era, complete_from }
}

// Guards against windows that are left out or reported again, since a process takes over a history that says less than
// it knows itself, or one of another era.
#[rstest]
#[case::none_stored(None, Ok(history(2, 80)))]
#[case::reaches_further_back(Some(history(2, 70)), Ok(history(2, 70)))]
#[case::reaches_less_far(Some(history(2, 90)), Ok(history(2, 80)))]
#[case::earlier_era(Some(history(1, 10)), Ok(history(2, 80)))]
#[case::later_era(Some(history(3, 70)), Err(()))]
#[tokio::test(start_paused = true)]
async fn the_history_that_reaches_further_back_in_the_present_era_counts(
    #[case] stored: Option<ReportHistory>,
    #[case] expected: Result<ReportHistory, ()>,
) {
    let (_table, log) = log();
    if let Some(stored) = stored {
        log.open_history(stored).await.expect("written");
    }

    let opened = log.open_history(history(2, 80)).await;
    let again = log.open_history(history(2, 80)).await;

    assert_eq!(opened.map_err(drop), expected);
    assert_eq!(again.map_err(drop), expected);
}

// Guards against a history that is never opened again, since another writer replaced its row.
#[tokio::test(start_paused = true)]
async fn an_unreadable_history_is_replaced() {
    let (table, log) = log();
    put_odd_row(&table, "history").await;

    let opened = log.open_history(history(2, 80)).await;

    assert_eq!(opened.ok(), Some(history(2, 80)));
    assert!(log.has_history_of(StoreEra(2)).await.expect("read"));
}

// Guards against a report that is stored in an era in which the window may not be reported any more, and is then sent
// as the stored one.
#[tokio::test(start_paused = true)]
async fn a_report_is_not_written_in_another_era_than_it_was_decided_in() {
    let (era, since) = (StoreEra(2), tokio::time::Instant::now());
    let seen = tokio::sync::watch::Sender::new(Some(SeenEra { era, since }));
    let table = Arc::new(MemoryTable::default());
    let log = UsageLog::new(table, retry_options(), EraView::new(seen.subscribe()));

    let earlier = log
        .write(&report(70, 10), EarlierReport::Possible, Some(StoreEra(1)))
        .await;
    let present = log
        .write(&report(71, 10), EarlierReport::Possible, Some(era))
        .await;

    assert!(earlier.is_err() && present.is_ok(), "{earlier:?}");
    assert_eq!(log.read(70).await.expect("read"), None);
}
