//! Tests of the following of a table.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use verbenahead_services::{
    Error, FeedAnswer, FeedPosition, FeedRow, Result, Snapshot, TableFeed, TableName, Version,
};
use verbenahead_state::follower::{FollowerHandle, FollowerOptions, TableObserver, follow};

const TABLE: TableName = TableName("op");

/// `Call` is what the follower asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Snapshot,
    Changes(u64),
}

/// `Script` answers calls in order, and hangs when there are no more answers.
#[derive(Default)]
struct Script {
    snapshots: Mutex<VecDeque<Result<Snapshot>>>,
    changes: Mutex<VecDeque<Result<FeedAnswer>>>,
    calls: Mutex<Vec<(Call, Duration)>>,
    waits: Mutex<Vec<Duration>>,
    started: Mutex<Option<Instant>>,
}

impl Script {
    fn note(&self, call: Call) {
        let mut started = self.started.lock().expect("not poisoned");
        let started = *started.get_or_insert_with(Instant::now);
        let mut calls = self.calls.lock().expect("not poisoned");
        calls.push((call, started.elapsed()));
    }

    fn calls(&self) -> Vec<Call> {
        let calls = self.calls.lock().expect("not poisoned");
        calls.iter().map(|(call, _)| *call).collect()
    }
}

#[async_trait]
impl TableFeed for Script {
    async fn snapshot(&self, _: TableName) -> Result<Snapshot> {
        self.note(Call::Snapshot);
        let next = self.snapshots.lock().expect("not poisoned").pop_front();
        match next {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }

    async fn changes(
        &self,
        _: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        self.note(Call::Changes(since.0));
        self.waits.lock().expect("not poisoned").push(wait);
        let next = self.changes.lock().expect("not poisoned").pop_front();
        match next {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

/// `Seen` is what an observer was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Seen {
    Snapshot(usize),
    Changes(Vec<String>),
    Lost,
    Regained,
    Deadline,
}

#[derive(Clone, Default)]
struct Observer {
    seen: Arc<Mutex<Vec<Seen>>>,
    deadline: Arc<Mutex<Option<Instant>>>,
}

impl Observer {
    fn note(&self, seen: Seen) {
        self.seen.lock().expect("not poisoned").push(seen);
    }

    fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("not poisoned").clone()
    }
}

impl TableObserver for Observer {
    fn on_snapshot(&mut self, snapshot: Snapshot) {
        self.note(Seen::Snapshot(snapshot.rows.len()));
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        self.note(Seen::Changes(rows.into_iter().map(|row| row.key).collect()));
    }

    fn on_unavailable(&mut self, _: &Error) {
        self.note(Seen::Lost);
    }

    fn on_available(&mut self) {
        self.note(Seen::Regained);
    }

    fn deadline(&self) -> Option<Instant> {
        *self.deadline.lock().expect("not poisoned")
    }

    fn on_deadline(&mut self) {
        *self.deadline.lock().expect("not poisoned") = None;
        self.note(Seen::Deadline);
    }
}

fn snapshot(position: u64) -> Result<Snapshot> {
    Ok(Snapshot {
        rows: vec![row("a")],
        position: FeedPosition(position),
    })
}

fn row(key: &str) -> FeedRow {
    FeedRow {
        key: key.to_owned(),
        version: Version(1),
        value: Some(Bytes::from_static(b"x")),
    }
}

fn changes(keys: &[&str], position: u64) -> Result<FeedAnswer> {
    Ok(FeedAnswer::Changes {
        rows: keys.iter().map(|key| row(key)).collect(),
        position: FeedPosition(position),
    })
}

fn down() -> Error {
    Error::unavailable("store", "switched off")
}

fn start(
    snapshots: Vec<Result<Snapshot>>,
    feed: Vec<Result<FeedAnswer>>,
) -> (Arc<Script>, Observer, FollowerHandle) {
    let script = Arc::new(Script::default());
    *script.snapshots.lock().expect("not poisoned") = snapshots.into();
    *script.changes.lock().expect("not poisoned") = feed.into();
    let observer = Observer::default();
    let options = FollowerOptions::default();
    let handle = follow(script.clone(), TABLE, options, observer.clone());
    (script, observer, handle)
}

#[tokio::test(start_paused = true)]
async fn the_feed_goes_on_where_the_table_was_read() {
    let feed = vec![changes(&["b"], 7), changes(&["c", "d"], 9)];
    let (script, observer, _handle) = start(vec![snapshot(5)], feed);

    sleep(Duration::from_secs(5)).await;

    let calls = [
        Call::Snapshot,
        Call::Changes(5),
        Call::Changes(7),
        Call::Changes(9),
    ];
    assert_eq!(script.calls(), calls);
    let seen = [
        Seen::Snapshot(1),
        Seen::Changes(vec!["b".to_owned()]),
        Seen::Changes(vec!["c".to_owned(), "d".to_owned()]),
    ];
    assert_eq!(observer.seen(), seen);
}

#[tokio::test(start_paused = true)]
async fn a_wait_without_changes_tells_nothing() {
    let (script, observer, _handle) = start(vec![snapshot(5)], vec![changes(&[], 8)]);

    sleep(Duration::from_secs(5)).await;

    assert_eq!(script.calls().last(), Some(&Call::Changes(8)));
    assert_eq!(observer.seen(), [Seen::Snapshot(1)]);
}

#[tokio::test(start_paused = true)]
async fn a_table_whose_history_is_gone_is_read_again() {
    let (script, observer, _handle) = start(
        vec![snapshot(5), snapshot(30)],
        vec![Ok(FeedAnswer::HistoryGone)],
    );

    sleep(Duration::from_secs(5)).await;

    let calls = [
        Call::Snapshot,
        Call::Changes(5),
        Call::Snapshot,
        Call::Changes(30),
    ];
    assert_eq!(script.calls(), calls);
    assert_eq!(observer.seen(), [Seen::Snapshot(1), Seen::Snapshot(1)]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_told_once_and_its_end_before_what_comes_then() {
    let feed = vec![Err(down()), Err(down()), Err(down()), changes(&["b"], 7)];
    let (_script, observer, _handle) = start(vec![snapshot(5)], feed);

    sleep(Duration::from_secs(10)).await;

    let seen = [
        Seen::Snapshot(1),
        Seen::Lost,
        Seen::Regained,
        Seen::Changes(vec!["b".to_owned()]),
    ];
    assert_eq!(observer.seen(), seen);
}

#[tokio::test(start_paused = true)]
async fn a_platform_that_was_lost_is_asked_for_answers_at_once_until_it_answers() {
    let feed = vec![Err(down()), Err(down()), changes(&[], 7), changes(&[], 8)];
    let (script, _observer, _handle) = start(vec![snapshot(5)], feed);

    sleep(Duration::from_secs(10)).await;

    let waits = script.waits.lock().expect("not poisoned").clone();
    let is_held: Vec<bool> = waits.iter().map(|wait| !wait.is_zero()).collect();
    assert_eq!(is_held, [true, false, false, true, true]);
}

#[tokio::test(start_paused = true)]
async fn waits_are_spread_and_no_longer_than_allowed() {
    let feed = (0..50).map(|n| changes(&[], n)).collect();
    let (script, _observer, _handle) = start(vec![snapshot(0)], feed);

    sleep(Duration::from_secs(1)).await;

    let waits = script.waits.lock().expect("not poisoned").clone();
    let longest = FollowerOptions::default().poll_timeout;
    assert!(
        waits
            .iter()
            .all(|wait| *wait <= longest && *wait >= longest / 2)
    );
    assert!(waits.iter().max() > waits.iter().min());
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn calls_are_few_while_the_platform_is_away() {
    let feed = (0..100).map(|_| Err(down())).collect();
    let (script, _observer, _handle) = start(vec![snapshot(5)], feed);

    sleep(Duration::from_secs(10)).await;

    let calls = script.calls().len();
    assert!((15..45).contains(&calls), "{calls} calls in 10 s");
}

#[tokio::test(start_paused = true)]
async fn somebody_who_knows_more_has_the_table_read_at_once() {
    let (script, observer, handle) = start(vec![snapshot(5), snapshot(9)], Vec::new());
    sleep(Duration::from_secs(1)).await;

    handle.refresh();
    sleep(Duration::from_millis(10)).await;

    assert_eq!(script.calls().last(), Some(&Call::Changes(9)));
    assert_eq!(observer.seen(), [Seen::Snapshot(1), Seen::Snapshot(1)]);
}

#[tokio::test(start_paused = true)]
async fn what_an_observer_put_off_is_done_in_time() {
    let (_script, observer, _handle) = start(vec![snapshot(5)], vec![changes(&["b"], 6)]);
    let due = Instant::now() + Duration::from_secs(2);
    *observer.deadline.lock().expect("not poisoned") = Some(due);

    sleep(Duration::from_millis(2_100)).await;

    assert_eq!(observer.seen().last(), Some(&Seen::Deadline));
}

#[tokio::test(start_paused = true)]
async fn dropping_the_handle_ends_the_calls() {
    let feed = (0..100).map(|n| changes(&[], n)).collect();
    let (script, _observer, handle) = start(vec![snapshot(0)], feed);

    drop(handle);
    sleep(Duration::from_secs(1)).await;
    let calls = script.calls().len();
    sleep(Duration::from_secs(10)).await;

    assert_eq!(script.calls().len(), calls);
}
