//! Tests of the task that follows a table through its feed.

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

/// `Call` is a call of the follower to the feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Snapshot,
    Changes(u64),
}

/// `ScriptedFeed` returns the given answers in order. Calls hang when no answers are left.
#[derive(Default)]
struct ScriptedFeed {
    snapshots: Mutex<VecDeque<Result<Snapshot>>>,
    changes: Mutex<VecDeque<Result<FeedAnswer>>>,
    calls: Mutex<Vec<(Call, Duration)>>,
    waits: Mutex<Vec<Duration>>,
    started_at: Mutex<Option<Instant>>,
}

impl ScriptedFeed {
    fn record(&self, call: Call) {
        let mut started_at = self.started_at.lock().expect("not poisoned");
        let started_at = *started_at.get_or_insert_with(Instant::now);
        let mut calls = self.calls.lock().expect("not poisoned");
        calls.push((call, started_at.elapsed()));
    }

    fn calls(&self) -> Vec<Call> {
        let calls = self.calls.lock().expect("not poisoned");
        calls.iter().map(|(call, _)| *call).collect()
    }
}

#[async_trait]
impl TableFeed for ScriptedFeed {
    async fn snapshot(&self, _: TableName) -> Result<Snapshot> {
        self.record(Call::Snapshot);
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
        self.record(Call::Changes(since.0));
        self.waits.lock().expect("not poisoned").push(wait);
        let next = self.changes.lock().expect("not poisoned").pop_front();
        match next {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

/// `Event` is a notification that the observer received.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Snapshot(usize),
    Changes(Vec<String>),
    Unavailable,
    Available,
    Deadline,
}

#[derive(Clone, Default)]
struct Observer {
    events: Arc<Mutex<Vec<Event>>>,
    deadline: Arc<Mutex<Option<Instant>>>,
}

impl Observer {
    fn record(&self, event: Event) {
        self.events.lock().expect("not poisoned").push(event);
    }

    fn events(&self) -> Vec<Event> {
        self.events.lock().expect("not poisoned").clone()
    }
}

impl TableObserver for Observer {
    fn on_snapshot(&mut self, snapshot: Snapshot) {
        self.record(Event::Snapshot(snapshot.rows.len()));
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        self.record(Event::Changes(
            rows.into_iter().map(|row| row.key).collect(),
        ));
    }

    fn on_unavailable(&mut self, _: &Error) {
        self.record(Event::Unavailable);
    }

    fn on_available(&mut self) {
        self.record(Event::Available);
    }

    fn deadline(&self) -> Option<Instant> {
        *self.deadline.lock().expect("not poisoned")
    }

    fn on_deadline(&mut self) {
        *self.deadline.lock().expect("not poisoned") = None;
        self.record(Event::Deadline);
    }
}

fn snapshot(position: u64) -> Result<Snapshot> {
    Ok(Snapshot {
        rows: vec![row("a")],
        position: FeedPosition(position),
        is_restored: false,
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

fn outage() -> Error {
    Error::unavailable("store", "switched off")
}

fn start(
    snapshots: Vec<Result<Snapshot>>,
    answers: Vec<Result<FeedAnswer>>,
) -> (Arc<ScriptedFeed>, Observer, FollowerHandle) {
    let feed = Arc::new(ScriptedFeed::default());
    *feed.snapshots.lock().expect("not poisoned") = snapshots.into();
    *feed.changes.lock().expect("not poisoned") = answers.into();
    let observer = Observer::default();
    let options = FollowerOptions::default();
    let handle = follow(feed.clone(), TABLE, options, observer.clone());
    (feed, observer, handle)
}

#[tokio::test(start_paused = true)]
async fn feed_continues_from_the_snapshot_position() {
    let answers = vec![changes(&["b"], 7), changes(&["c", "d"], 9)];
    let (feed, observer, _handle) = start(vec![snapshot(5)], answers);

    sleep(Duration::from_secs(5)).await;

    let calls = [
        Call::Snapshot,
        Call::Changes(5),
        Call::Changes(7),
        Call::Changes(9),
    ];
    assert_eq!(feed.calls(), calls);
    let events = [
        Event::Snapshot(1),
        Event::Changes(vec!["b".to_owned()]),
        Event::Changes(vec!["c".to_owned(), "d".to_owned()]),
    ];
    assert_eq!(observer.events(), events);
}

#[tokio::test(start_paused = true)]
async fn a_poll_without_changes_does_not_notify_the_observer() {
    let (feed, observer, _handle) = start(vec![snapshot(5)], vec![changes(&[], 8)]);

    sleep(Duration::from_secs(5)).await;

    assert_eq!(feed.calls().last(), Some(&Call::Changes(8)));
    assert_eq!(observer.events(), [Event::Snapshot(1)]);
}

#[tokio::test(start_paused = true)]
async fn an_expired_feed_position_triggers_a_new_snapshot() {
    let (feed, observer, _handle) = start(
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
    assert_eq!(feed.calls(), calls);
    assert_eq!(observer.events(), [Event::Snapshot(1), Event::Snapshot(1)]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_reported_once_and_its_end_before_new_changes() {
    let answers = vec![
        Err(outage()),
        Err(outage()),
        Err(outage()),
        changes(&["b"], 7),
    ];
    let (_script, observer, _handle) = start(vec![snapshot(5)], answers);

    sleep(Duration::from_secs(10)).await;

    let events = [
        Event::Snapshot(1),
        Event::Unavailable,
        Event::Available,
        Event::Changes(vec!["b".to_owned()]),
    ];
    assert_eq!(observer.events(), events);
}

#[tokio::test(start_paused = true)]
async fn polls_are_not_held_while_the_platform_is_unavailable() {
    let answers = vec![
        Err(outage()),
        Err(outage()),
        changes(&[], 7),
        changes(&[], 8),
    ];
    let (feed, _observer, _handle) = start(vec![snapshot(5)], answers);

    sleep(Duration::from_secs(10)).await;

    let waits = feed.waits.lock().expect("not poisoned").clone();
    let is_held: Vec<bool> = waits.iter().map(|wait| !wait.is_zero()).collect();
    assert_eq!(is_held, [true, false, false, true, true]);
}

#[tokio::test(start_paused = true)]
async fn poll_timeouts_are_randomised_within_bounds() {
    let answers = (0..50).map(|n| changes(&[], n)).collect();
    let (feed, _observer, _handle) = start(vec![snapshot(0)], answers);

    sleep(Duration::from_secs(1)).await;

    let waits = feed.waits.lock().expect("not poisoned").clone();
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
async fn calls_are_limited_during_an_outage() {
    let answers = (0..100).map(|_| Err(outage())).collect();
    let (feed, _observer, _handle) = start(vec![snapshot(5)], answers);

    sleep(Duration::from_secs(10)).await;

    let calls = feed.calls().len();
    assert!((15..45).contains(&calls), "{calls} calls in 10 s");
}

#[tokio::test(start_paused = true)]
async fn refresh_reads_the_whole_table_at_once() {
    let (feed, observer, handle) = start(vec![snapshot(5), snapshot(9)], Vec::new());
    sleep(Duration::from_secs(1)).await;

    handle.refresh();
    sleep(Duration::from_millis(10)).await;

    assert_eq!(feed.calls().last(), Some(&Call::Changes(9)));
    assert_eq!(observer.events(), [Event::Snapshot(1), Event::Snapshot(1)]);
}

#[tokio::test(start_paused = true)]
async fn on_deadline_is_called_at_the_deadline() {
    let (_script, observer, _handle) = start(vec![snapshot(5)], vec![changes(&["b"], 6)]);
    let due = Instant::now() + Duration::from_secs(2);
    *observer.deadline.lock().expect("not poisoned") = Some(due);

    sleep(Duration::from_millis(2_100)).await;

    assert_eq!(observer.events().last(), Some(&Event::Deadline));
}

#[tokio::test(start_paused = true)]
async fn dropping_the_handle_stops_the_follower() {
    let answers = (0..100).map(|n| changes(&[], n)).collect();
    let (feed, _observer, handle) = start(vec![snapshot(0)], answers);

    drop(handle);
    sleep(Duration::from_secs(1)).await;
    let calls = feed.calls().len();
    sleep(Duration::from_secs(10)).await;

    assert_eq!(feed.calls().len(), calls);
}
