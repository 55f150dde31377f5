//! Feed of a table that a few nodes of each availability zone read for the others.
//!
//! A reader polls the platform and passes each answer on to its zone as a notice. The other nodes
//! follow the notices and call the platform only when a notice is missing: when they hear of a later
//! change than they have, or when no reader has passed anything on for as long as they would have
//! waited for an answer of their own. Each node thus knows of a change no later than with polls of
//! its own, whatever happens to the readers.
//!
//! A reader without an answer tells the others, who then ask the platform themselves: the outage may
//! be the reader's alone.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use tokio::{
    sync::{Mutex as AsyncMutex, mpsc},
    time::{Instant, sleep, sleep_until},
};
use verbenahead_services::{
    Error, FeedAnswer, FeedNotice, FeedPosition, FeedRow, NoticeContent, Result, Snapshot,
    TableFeed, TableName,
};

/// `FeedRole` is the part that a node takes in reading a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedRole {
    /// The node reads for itself only.
    Alone,
    /// The node reads and passes on what it reads.
    Reader,
    /// The node follows the notices of readers.
    Follower,
}

/// `FeedReaders` knows the readers of the node's availability zone.
pub trait FeedReaders: Send + Sync + 'static {
    /// Returns the present role of this node.
    fn role(&self) -> FeedRole;

    /// Passes a notice on to the other nodes of the zone. Notices may be lost.
    fn publish(&self, notice: &FeedNotice);

    /// Records that no reader passed anything on in time.
    fn on_silence(&self);
}

/// `SharedFeedOptions` sets the timing of a shared feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedFeedOptions {
    /// Delay after a read with changes, so that changes in quick succession are read in one call.
    pub batch_delay: Duration,
    /// Time within which a notice should follow the news of a later change.
    pub max_lag: Duration,
    /// Time after an outage in which a reader tells the followers of it.
    pub outage_memory: Duration,
    /// Largest value of a row that is passed on, in bytes.
    pub max_value: usize,
    /// Largest size of the rows in one notice, in bytes.
    pub max_notice: usize,
}

impl Default for SharedFeedOptions {
    fn default() -> Self {
        Self {
            batch_delay: Duration::from_millis(150),
            max_lag: Duration::from_millis(300),
            outage_memory: Duration::from_secs(2),
            max_value: 1_000,
            max_notice: 1_200,
        }
    }
}

/// Part of the wait of a follower for which a reader holds a poll, so that notices arrive well
/// before the followers read by themselves.
const READER_WAIT_RATIO: f64 = 0.5;

/// Number of notices that may wait to be processed.
const MAX_WAITING: usize = 256;

/// `SharedFeed` is the feed of one table, read together with the other nodes of the zone.
pub struct SharedFeed {
    inner: Arc<dyn TableFeed>,
    readers: Arc<dyn FeedReaders>,
    options: SharedFeedOptions,
    inbox: AsyncMutex<mpsc::Receiver<Incoming>>,
    state: Mutex<State>,
    /// Position of the last change that this node knows of.
    last_change: Arc<AtomicU64>,
}

#[derive(Debug)]
struct State {
    /// Time of the last answer of the platform, to this node or to a reader that passed it on.
    fresh_at: Instant,
    /// Earliest time of the next call of this node.
    next_call_at: Instant,
    /// Begin of the outage in which this node is.
    unavailable_since: Option<Instant>,
    /// Last outage of this node.
    last_outage: Option<PastOutage>,
    /// Whether a notice was missing when the last changes were delivered.
    is_behind: bool,
    /// Outage that a reader told of when the last changes were delivered.
    told_outage: Option<ToldOutage>,
}

#[derive(Debug, Clone, Copy)]
struct PastOutage {
    began_at: Instant,
    ended_at: Instant,
}

/// `ToldOutage` is an outage of a reader.
#[derive(Debug, Clone, Copy)]
enum ToldOutage {
    Present,
    Past { began_at: Instant },
}

enum Incoming {
    /// A notice, with the time of its arrival.
    Notice(FeedNotice, Instant),
    Hint(FeedPosition),
}

/// `FeedInbox` takes in what other nodes tell about a table, and tells what this node knows of it.
#[derive(Clone)]
pub struct FeedInbox {
    incoming: mpsc::Sender<Incoming>,
    last_change: Arc<AtomicU64>,
}

impl FeedInbox {
    /// Takes in a notice of a reader.
    pub fn notice(&self, notice: FeedNotice) {
        // A dropped notice leaves a gap, which the next one shows.
        let _ = self
            .incoming
            .try_send(Incoming::Notice(notice, Instant::now()));
    }

    /// Takes in that another node knows of a change at this position.
    pub fn hint(&self, position: FeedPosition) {
        let _ = self.incoming.try_send(Incoming::Hint(position));
    }

    /// Returns the position of the last change that this node knows of.
    pub fn last_change(&self) -> FeedPosition {
        FeedPosition(self.last_change.load(Ordering::Relaxed))
    }
}

impl SharedFeed {
    /// Builds the feed of one table over the platform's feed, and the inbox for what other nodes
    /// tell about the table.
    pub fn new(
        inner: Arc<dyn TableFeed>,
        readers: Arc<dyn FeedReaders>,
        options: SharedFeedOptions,
    ) -> (Self, FeedInbox) {
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        let now = Instant::now();
        let last_change = Arc::new(AtomicU64::new(0));
        let feed = Self {
            inner,
            readers,
            options,
            inbox: AsyncMutex::new(rx),
            state: Mutex::new(State {
                fresh_at: now,
                next_call_at: now,
                unavailable_since: None,
                last_outage: None,
                is_behind: false,
                told_outage: None,
            }),
            last_change: Arc::clone(&last_change),
        };
        let inbox = FeedInbox {
            incoming: tx,
            last_change,
        };
        (feed, inbox)
    }

    /// Reads the changes from the platform.
    async fn read(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        let next_call_at = self.lock().next_call_at;
        sleep_until(next_call_at).await;
        let answer = self.inner.changes(table, since, wait).await;
        self.record(&answer);
        answer
    }

    fn record<T>(&self, answer: &Result<T>) {
        let now = Instant::now();
        let mut state = self.lock();
        if answer.is_err() {
            state.unavailable_since.get_or_insert(now);
            return;
        }
        state.fresh_at = now;
        if let Some(began_at) = state.unavailable_since.take() {
            state.last_outage = Some(PastOutage {
                began_at,
                ended_at: now,
            });
        }
    }

    fn record_changes(&self, rows: &[FeedRow]) {
        let last = rows.iter().map(|row| row.version.0).max();
        self.last_change
            .fetch_max(last.unwrap_or_default(), Ordering::Relaxed);
    }

    /// Reads the changes from the platform and passes them on.
    async fn read_for_zone(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        let was_unavailable = self.lock().unavailable_since.is_some();
        let answer = self.read(table, since, wait).await;
        let notice = |content| FeedNotice {
            table: table.0.to_owned(),
            from: since,
            to: since,
            content,
        };
        match &answer {
            Err(_) if !was_unavailable => self.readers.publish(&notice(NoticeContent::Outage)),
            Ok(FeedAnswer::Changes { rows, position }) => match self.recent_outage() {
                Some(recent) => self.readers.publish(&notice(NoticeContent::PastOutage {
                    age: recent.began_at.elapsed(),
                })),
                None => self.pass_on(table, since, *position, rows),
            },
            Err(_) | Ok(FeedAnswer::HistoryGone) => {}
        }
        if matches!(&answer, Ok(FeedAnswer::Changes { rows, .. }) if !rows.is_empty()) {
            self.lock().next_call_at = Instant::now() + self.options.batch_delay;
        }
        answer
    }

    /// Returns the outage that ended so recently that followers may not have heard of it.
    fn recent_outage(&self) -> Option<PastOutage> {
        let last_outage = self.lock().last_outage;
        last_outage.filter(|outage| outage.ended_at.elapsed() < self.options.outage_memory)
    }

    /// Publishes the rows in as many notices as needed. Each one continues where the one before
    /// ended, so a lost one shows as a gap.
    fn pass_on(&self, table: TableName, from: FeedPosition, to: FeedPosition, rows: &[FeedRow]) {
        let size = |row: &FeedRow| row.key.len() + row.value.as_ref().map_or(0, bytes::Bytes::len);
        let notice = |from, to, content| FeedNotice {
            table: table.0.to_owned(),
            from,
            to,
            content,
        };
        if rows.iter().any(|row| size(row) > self.options.max_value) {
            self.readers
                .publish(&notice(from, to, NoticeContent::Omitted));
            return;
        }
        let mut from = from;
        let mut chunk: Vec<FeedRow> = Vec::new();
        let mut bytes = 0;
        for row in rows {
            // Rows that changed in one transaction have the same version and stay together.
            let continues = chunk.last().is_some_and(|last| last.version == row.version);
            if bytes + size(row) > self.options.max_notice && !chunk.is_empty() && !continues {
                let end = chunk
                    .last()
                    .map_or(from, |last| FeedPosition(last.version.0));
                let rows = std::mem::take(&mut chunk);
                self.readers
                    .publish(&notice(from, end, NoticeContent::Rows(rows)));
                from = end;
                bytes = 0;
            }
            bytes += size(row);
            chunk.push(row.clone());
        }
        self.readers
            .publish(&notice(from, to, NoticeContent::Rows(chunk)));
    }

    /// Waits for notices of readers, and reads from the platform when one is missing.
    async fn follow(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        let (is_behind, told_outage) = {
            let mut state = self.lock();
            (
                std::mem::take(&mut state.is_behind),
                state.told_outage.take(),
            )
        };
        if let Some(outage) = told_outage {
            return self.check_outage(table, since, outage).await;
        }
        if is_behind {
            return self.read(table, since, Duration::ZERO).await;
        }
        let mut inbox = self.inbox.lock().await;
        let mut late_at: Option<Instant> = None;
        loop {
            let silent_at = self.lock().fresh_at + wait;
            let until = late_at.map_or(silent_at, |late_at| late_at.min(silent_at));
            let incoming = tokio::select! {
                incoming = inbox.recv() => incoming,
                () = sleep_until(until) => {
                    if Instant::now() >= silent_at {
                        self.readers.on_silence();
                    }
                    return self.read(table, since, Duration::ZERO).await;
                }
            };
            match incoming {
                None => return self.read(table, since, wait).await,
                Some(Incoming::Hint(position)) if position > since => {
                    late_at.get_or_insert(Instant::now() + self.options.max_lag);
                }
                Some(Incoming::Hint(_)) => {}
                Some(Incoming::Notice(notice, at)) => match self.apply(notice, at, since) {
                    Applied::Nothing => {}
                    Applied::Changes(mut rows, mut position) => {
                        while let Ok(Incoming::Notice(next, at)) = inbox.try_recv() {
                            match self.apply(next, at, position) {
                                Applied::Nothing => {}
                                Applied::Changes(more, end) => {
                                    rows.extend(more);
                                    position = end;
                                }
                                // The changes so far are delivered, and the next call reads on.
                                Applied::Missing => {
                                    self.lock().is_behind = true;
                                    break;
                                }
                                Applied::Outage(outage) => {
                                    self.lock().told_outage = Some(outage);
                                    break;
                                }
                            }
                        }
                        return Ok(FeedAnswer::Changes { rows, position });
                    }
                    Applied::Missing => return self.read(table, since, Duration::ZERO).await,
                    Applied::Outage(outage) => {
                        return self.check_outage(table, since, outage).await;
                    }
                },
            }
        }
    }

    /// Asks the platform whether the outage of a reader is one for this node as well.
    ///
    /// # Errors
    ///
    /// When the platform does not answer now, or may not have answered during the outage.
    async fn check_outage(
        &self,
        table: TableName,
        since: FeedPosition,
        outage: ToldOutage,
    ) -> Result<FeedAnswer> {
        let reached_at = self.lock().fresh_at;
        // All nodes of the zone hear of the outage at once.
        sleep(self.options.batch_delay.mul_f64(rand::random::<f64>())).await;
        let answer = self.read(table, since, Duration::ZERO).await?;
        match outage {
            ToldOutage::Past { began_at } if reached_at < began_at => {
                self.lock().unavailable_since = Some(began_at);
                Err(Error::unavailable(
                    "platform",
                    "a reader of the zone had no answer",
                ))
            }
            ToldOutage::Past { .. } | ToldOutage::Present => {
                tracing::info!(table = %table, "outage of a reader is none for this node");
                Ok(answer)
            }
        }
    }

    /// Applies a notice that arrived at `at` to a follower at the position `since`.
    fn apply(&self, notice: FeedNotice, at: Instant, since: FeedPosition) -> Applied {
        match notice.content {
            NoticeContent::Outage => return Applied::Outage(ToldOutage::Present),
            NoticeContent::PastOutage { age } => {
                let began_at = at.checked_sub(age).unwrap_or(at);
                return Applied::Outage(ToldOutage::Past { began_at });
            }
            NoticeContent::Rows(_) | NoticeContent::Omitted => {}
        }
        if notice.from > since {
            return Applied::Missing;
        }
        {
            let mut state = self.lock();
            state.fresh_at = state.fresh_at.max(at);
        }
        if notice.to <= since {
            return Applied::Nothing;
        }
        match notice.content {
            NoticeContent::Rows(mut rows) => {
                rows.retain(|row| row.version.0 > since.0);
                Applied::Changes(rows, notice.to)
            }
            NoticeContent::Omitted | NoticeContent::Outage | NoticeContent::PastOutage { .. } => {
                Applied::Missing
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Applied` is the effect of a notice on a follower.
enum Applied {
    /// The notice shows that there are no later changes.
    Nothing,
    /// The changes up to a position.
    Changes(Vec<FeedRow>, FeedPosition),
    /// Changes before the notice are missing, or it does not contain its changes.
    Missing,
    /// The platform does not answer a reader, or did not until recently.
    Outage(ToldOutage),
}

#[async_trait]
impl TableFeed for SharedFeed {
    async fn snapshot(&self, table: TableName) -> Result<Snapshot> {
        let snapshot = self.inner.snapshot(table).await;
        self.record(&snapshot);
        if let Ok(snapshot) = &snapshot {
            self.record_changes(&snapshot.rows);
        }
        snapshot
    }

    async fn changes(
        &self,
        table: TableName,
        since: FeedPosition,
        wait: Duration,
    ) -> Result<FeedAnswer> {
        let answer = match self.readers.role() {
            FeedRole::Alone => {
                let answer = self.read(table, since, wait).await;
                if matches!(&answer, Ok(FeedAnswer::Changes { rows, .. }) if !rows.is_empty()) {
                    self.lock().next_call_at = Instant::now() + self.options.batch_delay;
                }
                answer
            }
            FeedRole::Reader => {
                let wait = wait.mul_f64(READER_WAIT_RATIO);
                self.read_for_zone(table, since, wait).await
            }
            // After an error, the follower of the table asks for an answer at once.
            FeedRole::Follower if wait.is_zero() => self.read(table, since, wait).await,
            FeedRole::Follower => self.follow(table, since, wait).await,
        };
        if let Ok(FeedAnswer::Changes { rows, .. }) = &answer {
            self.record_changes(rows);
        }
        answer
    }
}
