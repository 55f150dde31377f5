//! Tests of a feed that some nodes of a zone read for the others, in virtual time.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};
use verbenahead_services::{
    Error, FeedAnswer, FeedNotice, FeedPosition, FeedRow, NoticeContent, Result, Snapshot,
    TableFeed, TableName, Version,
};
use verbenahead_state::{
    FeedInbox, FeedReaders, FeedRole, SharedFeed, SharedFeedOptions,
    follower::{FollowerHandle, FollowerOptions, TableObserver, follow},
};

const TABLE: TableName = TableName("replicas");

/// Longest time for which a node waits for an answer.
const WAIT: Duration = Duration::from_secs(6);

/// `Store` is a table with a feed that counts its calls.
#[derive(Default)]
struct Store {
    rows: Mutex<BTreeMap<String, FeedRow>>,
    version: AtomicU64,
    changed: Notify,
    calls: AtomicU64,
    is_down: AtomicBool,
    /// Node that the store turns away, if any.
    turned_away: Mutex<Option<usize>>,
}

/// `StoreOfNode` is the store as one node reaches it.
struct StoreOfNode {
    store: Arc<Store>,
    node: usize,
}

impl StoreOfNode {
    fn check_served(&self) -> Result<()> {
        let turned_away = *self.store.turned_away.lock().expect("no panic");
        match turned_away == Some(self.node) {
            true => Err(Error::unavailable("store", "turned away")),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl TableFeed for StoreOfNode {
    async fn snapshot(&self, table: TableName) -> Result<Snapshot> {
        self.check_served()?;
        self.store.snapshot(table).await
    }

    async fn changes(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        self.check_served()?;
        let answer = self.store.changes(table, since, wait).await;
        self.check_served()?;
        answer
    }
}

impl Store {
    fn put(&self, key: &str, value: &[u8]) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let row = FeedRow {
            key: key.to_owned(),
            version: Version(version),
            value: Some(Bytes::copy_from_slice(value)),
        };
        self.rows
            .lock()
            .expect("no panic")
            .insert(key.to_owned(), row);
        self.changed.notify_waiters();
    }

    fn position(&self) -> FeedPosition {
        FeedPosition(self.version.load(Ordering::Relaxed))
    }

    fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn check_up(&self) -> Result<()> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.is_down.load(Ordering::Relaxed) {
            true => Err(Error::unavailable("store", "down")),
            false => Ok(()),
        }
    }

    fn after(&self, since: FeedPosition) -> Vec<FeedRow> {
        let rows = self.rows.lock().expect("no panic");
        let mut later: Vec<FeedRow> = rows
            .values()
            .filter(|r| r.version.0 > since.0)
            .cloned()
            .collect();
        later.sort_by_key(|row| row.version.0);
        later
    }
}

#[async_trait]
impl TableFeed for Store {
    async fn snapshot(&self, _: TableName) -> Result<Snapshot> {
        self.check_up()?;
        Ok(Snapshot {
            rows: self.after(FeedPosition(0)),
            position: self.position(),
            is_restored: false,
        })
    }

    async fn changes(
        &self,
        _: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        self.check_up()?;
        let changed = self.changed.notified();
        if self.after(since).is_empty() {
            let _ = timeout(wait, changed).await;
        }
        if self.is_down.load(Ordering::Relaxed) {
            return Err(Error::unavailable("store", "down"));
        }
        let (rows, position) = (self.after(since), self.position());
        Ok(FeedAnswer::Changes { rows, position })
    }
}

/// `Zone` connects the nodes of a zone.
struct Zone {
    inboxes: Mutex<Vec<FeedInbox>>,
    readers: Mutex<Vec<usize>>,
    dead: Mutex<Vec<usize>>,
    loss: Mutex<f64>,
    rng: Mutex<StdRng>,
    silences: AtomicU64,
}

struct Member {
    number: usize,
    zone: Arc<Zone>,
}

impl FeedReaders for Member {
    fn role(&self) -> FeedRole {
        match self
            .zone
            .readers
            .lock()
            .expect("no panic")
            .contains(&self.number)
        {
            true => FeedRole::Reader,
            false => FeedRole::Follower,
        }
    }

    fn publish(&self, notice: &FeedNotice) {
        if self
            .zone
            .dead
            .lock()
            .expect("no panic")
            .contains(&self.number)
        {
            return;
        }
        let loss = *self.zone.loss.lock().expect("no panic");
        for (n, inbox) in self
            .zone
            .inboxes
            .lock()
            .expect("no panic")
            .iter()
            .enumerate()
        {
            let is_lost = self.zone.rng.lock().expect("no panic").random_bool(loss);
            if n != self.number && !is_lost {
                inbox.notice(notice.clone());
            }
        }
    }

    fn on_silence(&self) {
        self.zone.silences.fetch_add(1, Ordering::Relaxed);
    }
}

/// `Seen` is what the observer of one node has seen: when it learnt each version of a key.
#[derive(Default)]
struct Seen {
    versions: BTreeMap<String, (u64, Option<Instant>)>,
    outages: u32,
    returns: u32,
}

#[derive(Clone, Default)]
struct Observer(Arc<Mutex<Seen>>);

impl Observer {
    fn record(&self, rows: Vec<FeedRow>) {
        let mut seen = self.0.lock().expect("no panic");
        for row in rows {
            let known = seen
                .versions
                .get(&row.key)
                .map_or(0, |(version, _)| *version);
            assert!(row.version.0 >= known, "{} went back", row.key);
            if row.version.0 > known {
                let entry = (row.version.0, Some(Instant::now()));
                seen.versions.insert(row.key, entry);
            }
        }
    }
}

impl TableObserver for Observer {
    fn on_snapshot(&mut self, snapshot: Snapshot) {
        self.record(snapshot.rows);
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        self.record(rows);
    }

    fn on_unavailable(&mut self, _: &Error) {
        self.0.lock().expect("no panic").outages += 1;
    }

    fn on_available(&mut self) {
        self.0.lock().expect("no panic").returns += 1;
    }
}

/// `Fixture` is a zone of nodes that follow one table.
struct Fixture {
    store: Arc<Store>,
    zone: Arc<Zone>,
    observers: Vec<Observer>,
    _followers: Vec<FollowerHandle>,
}

impl Fixture {
    async fn start(nodes: usize, readers: usize) -> Self {
        let store = Arc::new(Store::default());
        let zone = Arc::new(Zone {
            inboxes: Mutex::default(),
            readers: Mutex::new((0..readers).collect()),
            dead: Mutex::default(),
            loss: Mutex::new(0.0),
            rng: Mutex::new(StdRng::seed_from_u64(5)),
            silences: AtomicU64::new(0),
        });
        let mut observers = Vec::new();
        let mut followers = Vec::new();
        for number in 0..nodes {
            let member = Member {
                number,
                zone: Arc::clone(&zone),
            };
            let options = SharedFeedOptions::default();
            let inner: Arc<dyn TableFeed> = Arc::new(StoreOfNode {
                store: Arc::clone(&store),
                node: number,
            });
            let (feed, inbox) = SharedFeed::new(inner, Arc::new(member), options);
            zone.inboxes.lock().expect("no panic").push(inbox);
            let observer = Observer::default();
            observers.push(observer.clone());
            let options = FollowerOptions {
                poll_timeout: WAIT,
                batch_delay: Duration::ZERO,
                ..FollowerOptions::default()
            };
            followers.push(follow(Arc::new(feed), TABLE, options, observer));
        }
        sleep(Duration::from_millis(10)).await;
        Self {
            store,
            zone,
            observers,
            _followers: followers,
        }
    }

    /// Returns how many nodes know the newest version of `key`.
    fn informed(&self, key: &str) -> usize {
        let newest = self.store.rows.lock().expect("no panic")[key].version.0;
        let knows = |observer: &&Observer| {
            let seen = observer.0.lock().expect("no panic");
            seen.versions
                .get(key)
                .is_some_and(|(version, _)| *version == newest)
        };
        self.observers.iter().filter(knows).count()
    }
}

#[tokio::test(start_paused = true)]
async fn followers_learn_of_a_change_without_calls_of_their_own() {
    let fixture = Fixture::start(30, 2).await;
    let before = fixture.store.calls();

    fixture.store.put("a", b"1");
    sleep(Duration::from_millis(200)).await;

    assert_eq!(fixture.informed("a"), 30);
    assert!(
        fixture.store.calls() - before <= 4,
        "{}",
        fixture.store.calls() - before
    );
}

#[tokio::test(start_paused = true)]
async fn followers_make_no_calls_while_nothing_changes() {
    let fixture = Fixture::start(30, 2).await;
    let before = fixture.store.calls();

    sleep(Duration::from_secs(60)).await;

    // Two readers poll every 2.1 to 3 s.
    let calls = fixture.store.calls() - before;
    assert!(calls <= 2 * 30, "{calls}");
    assert_eq!(fixture.zone.silences.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn a_change_that_does_not_fit_into_a_notice_is_read_by_each_node() {
    let fixture = Fixture::start(10, 2).await;

    fixture.store.put("a", &[b'x'; 5_000]);
    sleep(Duration::from_millis(200)).await;

    assert_eq!(fixture.informed("a"), 10);
}

#[tokio::test(start_paused = true)]
async fn many_changes_at_once_are_passed_on_whole() {
    let fixture = Fixture::start(10, 2).await;

    for n in 0..200 {
        fixture.store.put(&format!("r{n}"), &[b'x'; 250]);
    }
    sleep(Duration::from_millis(400)).await;

    for n in 0..200 {
        assert_eq!(fixture.informed(&format!("r{n}")), 10, "r{n}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_gap_among_notices_that_wait_is_read_without_blaming_the_readers() {
    let fixture = Fixture::start(3, 1).await;
    let inbox = fixture.zone.inboxes.lock().expect("no panic")[2].clone();
    *fixture.zone.loss.lock().expect("no panic") = 1.0;
    for key in ["a", "b", "c"] {
        fixture.store.put(key, b"1");
    }
    let rows = fixture.store.after(FeedPosition(0));
    let notice = |from, to, rows: &[FeedRow]| FeedNotice {
        table: TABLE.0.to_owned(),
        from: FeedPosition(from),
        to: FeedPosition(to),
        content: NoticeContent::Rows(rows.to_vec()),
    };

    inbox.notice(notice(0, 1, &rows[..1]));
    inbox.notice(notice(2, 3, &rows[2..]));
    sleep(Duration::from_millis(100)).await;

    for key in ["a", "b", "c"] {
        assert_eq!(fixture.informed(key), 2, "{key}");
    }
    assert_eq!(fixture.zone.silences.load(Ordering::Relaxed), 0);
}

#[tokio::test(start_paused = true)]
async fn news_of_a_later_change_makes_a_follower_read() {
    let fixture = Fixture::start(3, 1).await;
    *fixture.zone.loss.lock().expect("no panic") = 1.0;

    fixture.store.put("a", b"1");
    let hinted = fixture.zone.inboxes.lock().expect("no panic")[2].clone();
    hinted.hint(fixture.store.position());
    sleep(Duration::from_millis(400)).await;

    assert_eq!(fixture.informed("a"), 2);
}

#[tokio::test(start_paused = true)]
async fn followers_read_for_themselves_when_the_readers_are_silent() {
    let fixture = Fixture::start(10, 2).await;
    *fixture.zone.dead.lock().expect("no panic") = vec![0, 1];
    fixture.store.put("a", b"1");

    sleep(WAIT).await;

    assert_eq!(fixture.informed("a"), 10);
    assert!(fixture.zone.silences.load(Ordering::Relaxed) >= 8);
}

#[rstest]
#[case::all_see_it(Duration::from_secs(3))]
#[tokio::test(start_paused = true)]
async fn followers_hear_of_an_outage_and_of_its_end(#[case] outage: Duration) {
    let fixture = Fixture::start(10, 2).await;

    fixture.store.is_down.store(true, Ordering::Relaxed);
    fixture.store.changed.notify_waiters();
    sleep(outage).await;
    fixture.store.is_down.store(false, Ordering::Relaxed);
    fixture.store.put("a", b"1");
    sleep(Duration::from_secs(1)).await;

    assert_eq!(fixture.informed("a"), 10);
    for observer in &fixture.observers {
        let seen = observer.0.lock().expect("no panic");
        assert!(seen.outages >= 1 && seen.outages == seen.returns);
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn followers_hear_of_a_short_outage_at_its_end_if_they_missed_its_begin(
    #[values(1, 2)] readers: usize,
    #[values(200, 700)] outage_ms: u64,
) {
    let fixture = Fixture::start(10, readers).await;

    *fixture.zone.loss.lock().expect("no panic") = 1.0;
    fixture.store.is_down.store(true, Ordering::Relaxed);
    fixture.store.changed.notify_waiters();
    sleep(Duration::from_millis(outage_ms)).await;
    fixture.store.is_down.store(false, Ordering::Relaxed);
    *fixture.zone.loss.lock().expect("no panic") = 0.0;
    sleep(Duration::from_secs(3)).await;

    for observer in &fixture.observers {
        let seen = observer.0.lock().expect("no panic");
        assert_eq!((seen.outages, seen.returns), (1, 1));
    }
}

/// Guards against requests to replicas that have left: one reader was turned away by the store, and
/// the others took that for an outage and kept the replicas they missed for its grace.
#[rstest]
#[tokio::test(start_paused = true)]
async fn an_outage_of_one_reader_is_none_for_the_other_nodes(
    #[values(1, 2)] readers: usize,
    #[values(300, 3_000)] outage_ms: u64,
) {
    let fixture = Fixture::start(10, readers).await;

    *fixture.store.turned_away.lock().expect("no panic") = Some(0);
    fixture.store.put("a", b"1");
    sleep(Duration::from_millis(250)).await;
    let informed = fixture.informed("a");
    sleep(Duration::from_millis(outage_ms)).await;
    *fixture.store.turned_away.lock().expect("no panic") = None;
    fixture.store.put("b", b"1");
    sleep(Duration::from_secs(4)).await;

    assert!(informed >= 9, "{informed}");
    assert_eq!(fixture.informed("b"), 10);
    for observer in &fixture.observers[1..] {
        assert_eq!(observer.0.lock().expect("no panic").outages, 0);
    }
    let reader = fixture.observers[0].0.lock().expect("no panic");
    assert!(reader.outages >= 1 && reader.outages == reader.returns);
}

/// Load pattern: replicas come and go in waves while notices are lost and readers die.
#[rstest]
#[tokio::test(start_paused = true)]
async fn every_node_learns_every_change_in_time(
    #[values(0.0, 0.02, 0.3)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let fixture = Fixture::start(20, 2).await;
    *fixture.zone.loss.lock().expect("no panic") = loss;
    let mut rng = StdRng::seed_from_u64(seed);

    for round in 0..60 {
        if round == 30 {
            *fixture.zone.dead.lock().expect("no panic") = vec![0];
        }
        for _ in 0..rng.random_range(0..12) {
            let key = format!("r{}", rng.random_range(0..40));
            fixture.store.put(&key, &[b'x'; 200]);
        }
        sleep(Duration::from_millis(rng.random_range(50..1_500))).await;
    }
    sleep(WAIT).await;

    let keys: Vec<String> = fixture
        .store
        .rows
        .lock()
        .expect("no panic")
        .keys()
        .cloned()
        .collect();
    for key in keys {
        assert_eq!(fixture.informed(&key), 20, "{key}");
    }
}
