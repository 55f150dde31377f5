//! Tests of the rows with the origins of open streams as one node keeps them: what is written, what is written
//! again, and what is dropped.

use std::time::Duration;

use rstest::rstest;
use tokio::time::advance;
use verbenahead_membership::{NameKey, StreamKey, StreamOrigin};
use verbenahead_relay::{
    OriginRows, RowChange, RowNumber,
    origin_rows::{MAX_ROW_ORIGINS, MAX_ROWS, decode_origins, encode_origins},
};

const PERIOD: Duration = Duration::from_secs(30);

/// Most characters of a value in base64 that the smallest table takes.
const MAX_VALUE_CHARS: usize = 65_536;

fn origins(range: std::ops::Range<usize>) -> Vec<StreamOrigin> {
    let origin = |n| StreamOrigin {
        stream: StreamKey(n as u64),
        version: NameKey(7 + (n % 2) as u32),
    };
    range.map(origin).collect()
}

/// Confirms all changes. Returns them.
fn write_all(rows: &mut OriginRows) -> Vec<RowChange> {
    let changes = rows.changes(usize::MAX);
    rows.confirm(&changes);
    changes
}

/// Failure pattern: a row is larger than the table takes, and nothing is written any more.
#[tokio::test(start_paused = true)]
async fn no_row_is_larger_than_the_table_takes() {
    let mut rows = OriginRows::default();
    rows.add(&origins(0..10_000));

    let changes = write_all(&mut rows);

    let mut found = Vec::new();
    for change in &changes {
        let RowChange::Put(_, origins) = change else {
            panic!("{change:?}");
        };
        let value = encode_origins(origins);
        assert!(value.len().div_ceil(3) * 4 <= MAX_VALUE_CHARS);
        found.extend(decode_origins(&value).expect("a row of origins"));
    }
    found.sort_unstable();
    assert_eq!(found, origins(0..10_000));
}

/// Failure pattern: origins that come while a row is being written are taken for written.
#[tokio::test(start_paused = true)]
async fn origins_that_come_during_a_write_are_written_next() {
    let mut rows = OriginRows::default();
    rows.add(&origins(0..3));
    let first = rows.changes(8);
    rows.add(&origins(3..5));

    rows.confirm(&first);

    assert_eq!(
        rows.changes(8),
        [RowChange::Put(RowNumber(0), origins(0..5))]
    );
    write_all(&mut rows);
    assert!(rows.changes(8).is_empty());
}

/// Failure pattern: a write that the table did not answer is not repeated.
#[tokio::test(start_paused = true)]
async fn what_was_not_confirmed_is_written_again() {
    let mut rows = OriginRows::default();
    rows.add(&origins(0..3));

    let lost = rows.changes(8);

    assert_eq!(rows.changes(8), lost);
}

/// Failure pattern: rows of ended streams stay in the table for ever.
#[tokio::test(start_paused = true)]
async fn rows_of_ended_streams_are_deleted() {
    let mut rows = OriginRows::default();
    rows.add(&origins(0..MAX_ROW_ORIGINS));
    write_all(&mut rows);
    advance(PERIOD / 2).await;
    rows.add(&origins(1_000..1_003));
    write_all(&mut rows);

    advance(PERIOD / 2).await;
    rows.expire(PERIOD);

    assert_eq!(write_all(&mut rows), [RowChange::Delete(RowNumber(0))]);
    assert_eq!(rows.origin_count(), 3);
    advance(PERIOD).await;
    rows.expire(PERIOD);
    assert_eq!(write_all(&mut rows), [RowChange::Delete(RowNumber(1))]);
    assert!(rows.changes(8).is_empty());
}

/// Failure pattern: the table grows without a bound while it cannot be written, or streams last for long.
#[rstest]
#[case::written(true)]
#[case::not_written(false)]
#[tokio::test(start_paused = true)]
async fn the_rows_of_a_node_are_bounded(#[case] is_written: bool) {
    let mut rows = OriginRows::default();
    let step = MAX_ROW_ORIGINS;
    for n in 0..2 * MAX_ROWS {
        rows.add(&origins(n * step..(n + 1) * step));
        if is_written {
            write_all(&mut rows);
        }
    }

    assert_eq!(rows.origin_count(), MAX_ROWS * MAX_ROW_ORIGINS);
    let last = (2 * MAX_ROWS - 1) * step;
    rows.mark_unwritten();
    let latest = origins(last..last + step);
    let number = RowNumber(2 * MAX_ROWS as u64 - 1);
    assert_eq!(rows.changes(1), [RowChange::Put(number, latest)]);
}

/// Failure pattern: the table comes back from an older copy, and what was written since is missing.
#[tokio::test(start_paused = true)]
async fn all_rows_are_written_again_after_a_restore() {
    let mut rows = OriginRows::default();
    rows.add(&origins(0..600));
    let before = write_all(&mut rows);

    rows.mark_unwritten();

    assert_eq!(before.len(), 3);
    assert_eq!(write_all(&mut rows), before);
}

#[rstest]
#[case::cut(&[1; 11])]
#[case::longer(&[1; 13])]
fn a_value_of_another_length_is_refused(#[case] value: &[u8]) {
    assert_eq!(decode_origins(value), None);
}
