//! Grouping of several callers' writes in one transaction.

mod common;

use std::{sync::Arc, time::Duration};

use common::faulty_table::{FaultyTable, WriteFault};
use verbenahead_services::{
    Condition, MemoryTable, Mutation, RowKey, Table, TableName, Write, WriteOutcome,
    memory::TableFaults,
};
use verbenahead_state::{GroupOptions, GroupedTable};

const TABLE: TableName = TableName("test");

fn put(key: &str, condition: Condition) -> Vec<Write> {
    vec![Write {
        key: RowKey::new(TABLE, key),
        condition,
        mutation: Mutation::Put(key.to_owned().into()),
    }]
}

fn slow_table() -> Arc<MemoryTable> {
    let table = Arc::new(MemoryTable::default());
    table.set_faults(TableFaults {
        delay: Duration::from_millis(10),
        ..TableFaults::default()
    });
    table
}

fn one_in_flight() -> GroupOptions {
    GroupOptions {
        max_in_flight: 1,
        ..GroupOptions::default()
    }
}

/// Sends all transactions concurrently. The first one is in flight alone, the others form groups.
async fn write_all(table: GroupedTable, writes: Vec<Vec<Write>>) -> Vec<WriteOutcome> {
    let table = Arc::new(table);
    let mut tasks = Vec::new();
    for writes in writes {
        let table = Arc::clone(&table);
        tasks.push(tokio::spawn(async move { table.write(writes).await }));
        tokio::task::yield_now().await;
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("task"));
    }
    outcomes
}

#[tokio::test(start_paused = true)]
async fn waiting_writes_share_a_transaction() {
    let inner = slow_table();
    let table = GroupedTable::spawn(inner.clone(), one_in_flight());
    let writes = (0..20).map(|index| put(&index.to_string(), Condition::Absent));

    let outcomes = write_all(table, writes.collect()).await;

    let is_done = |outcome: &WriteOutcome| matches!(outcome, WriteOutcome::Done(v) if v.len() == 1);
    assert!(outcomes.iter().all(is_done));
    assert_eq!(inner.call_counts().1, 2);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_refuses_only_its_own_transaction() {
    let inner = slow_table();
    let _ = inner.write(put("taken", Condition::Absent)).await;
    let table = GroupedTable::spawn(inner.clone(), one_in_flight());
    let writes = ["first", "a", "taken", "b"].map(|key| put(key, Condition::Absent));

    let outcomes = write_all(table, writes.to_vec()).await;

    let WriteOutcome::Refused(refusal) = &outcomes[2] else {
        panic!("not refused: {outcomes:?}");
    };
    assert_eq!(refusal.index, 0);
    assert_eq!(refusal.actual.as_ref().expect("row").value, "taken");
    for index in [0, 1, 3] {
        assert!(matches!(outcomes[index], WriteOutcome::Done(_)));
    }
}

#[tokio::test(start_paused = true)]
async fn writes_of_one_row_keep_their_order() {
    let table = GroupedTable::spawn(slow_table(), one_in_flight());
    let writes = ["first", "same", "same"].map(|key| put(key, Condition::Absent));

    let outcomes = write_all(table, writes.to_vec()).await;

    assert!(matches!(outcomes[1], WriteOutcome::Done(_)));
    assert!(matches!(outcomes[2], WriteOutcome::Refused(_)));
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_of_a_group_is_unknown_to_all_its_callers() {
    let inner = FaultyTable::new([WriteFault::None, WriteFault::AnswerLost]);
    inner.inner.set_faults(TableFaults {
        delay: Duration::from_millis(10),
        ..TableFaults::default()
    });
    let table = GroupedTable::spawn(inner, one_in_flight());
    let writes = ["first", "a", "b"].map(|key| put(key, Condition::Absent));

    let outcomes = write_all(table, writes.to_vec()).await;

    assert!(matches!(outcomes[1], WriteOutcome::Unknown(_)));
    assert!(matches!(outcomes[2], WriteOutcome::Unknown(_)));
}

#[tokio::test(start_paused = true)]
async fn a_group_does_not_exceed_its_row_limit() {
    let inner = slow_table();
    let options = GroupOptions {
        max_rows: 5,
        ..one_in_flight()
    };
    let table = GroupedTable::spawn(inner.clone(), options);
    let writes = (0..11).map(|index| put(&index.to_string(), Condition::Absent));

    let _ = write_all(table, writes.collect()).await;

    assert_eq!(inner.call_counts().1, 3);
}
