//! Follows a table over its feed.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};
use verbenahead_services::{
    Error, FeedAnswer, FeedPosition, FeedRow, Result, Snapshot, TableFeed, TableName,
};

/// `FollowerOptions` pace a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Longest time for which the platform holds a call without changes. An answer that got lost is
    /// noticed only after this time. Each wait is drawn from the upper part of it, so that the
    /// calls of the nodes spread.
    pub poll_timeout: Duration,
    /// Longest pause before a failed call is repeated for the first time. Pauses are drawn, so
    /// that the nodes do not come back together.
    pub first_backoff: Duration,
    /// Longest pause of all. It adds to the time after which a change is in force when the
    /// platform returns.
    pub max_backoff: Duration,
    /// Pause after a change, so that changes that come together are read together.
    pub batch_delay: Duration,
}

/// Smallest part of the longest wait that is drawn.
const MIN_WAIT_PART: f64 = 0.7;

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            poll_timeout: Duration::from_secs(25),
            first_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_millis(600),
            batch_delay: Duration::from_millis(150),
        }
    }
}

/// `TableObserver` takes in what a follower reads.
pub trait TableObserver: Send + 'static {
    /// Takes in the whole table.
    fn on_snapshot(&mut self, snapshot: Snapshot);

    /// Takes in changed rows.
    fn on_changes(&mut self, rows: Vec<FeedRow>);

    /// Notes that the platform does not answer any more.
    fn on_unavailable(&mut self, error: &Error);

    /// Notes that the platform answers again, before what it answered is taken in.
    fn on_available(&mut self);

    /// Returns when [`on_deadline`](Self::on_deadline) is due, if it is.
    fn deadline(&self) -> Option<Instant> {
        None
    }

    /// Does what was put off.
    fn on_deadline(&mut self) {}
}

/// `FollowerHandle` keeps a follower running. Dropping it ends the task.
#[derive(Debug, Clone)]
pub struct FollowerHandle {
    refresh: mpsc::Sender<()>,
}

impl FollowerHandle {
    /// Asks for the whole table at once, because somebody knows of a change that the feed has not
    /// brought.
    pub fn refresh(&self) {
        // A refresh that waits already covers this one.
        let _ = self.refresh.try_send(());
    }
}

/// Starts a task that follows a table.
///
/// # Panics
///
/// When called outside a `tokio` runtime.
pub fn follow(
    feed: Arc<dyn TableFeed>,
    table: TableName,
    options: FollowerOptions,
    observer: impl TableObserver,
) -> FollowerHandle {
    let (refresh, refreshes) = mpsc::channel(1);
    let follower = Follower {
        feed,
        table,
        options,
        observer,
        refreshes,
        position: None,
        is_lost: false,
        backoff: options.first_backoff,
    };
    tokio::spawn(follower.run());
    FollowerHandle { refresh }
}

struct Follower<O> {
    feed: Arc<dyn TableFeed>,
    table: TableName,
    options: FollowerOptions,
    observer: O,
    refreshes: mpsc::Receiver<()>,
    /// Where the feed goes on, or `None` when the table has to be read whole.
    position: Option<FeedPosition>,
    is_lost: bool,
    backoff: Duration,
}

/// `Read` is what one call brought.
enum Read {
    Snapshot(Snapshot),
    Feed(FeedAnswer),
}

/// `Woken` is why the follower goes on.
enum Woken {
    Read(Result<Read>),
    Refresh,
    Deadline,
    Closed,
}

impl<O: TableObserver> Follower<O> {
    async fn run(mut self) {
        loop {
            match self.wait().await {
                Woken::Read(Ok(read)) => {
                    if self.take_in(read) && !self.pause(self.options.batch_delay).await {
                        return;
                    }
                }
                Woken::Read(Err(error)) => {
                    self.note_lost(&error);
                    let backoff = self.next_backoff();
                    if !self.pause(backoff).await {
                        return;
                    }
                }
                Woken::Refresh => self.position = None,
                Woken::Deadline => self.observer.on_deadline(),
                Woken::Closed => return,
            }
        }
    }

    async fn wait(&mut self) -> Woken {
        let deadline = self.observer.deadline();
        let feed = Arc::clone(&self.feed);
        let read = read(feed, self.table, self.position, self.next_wait());
        tokio::pin!(read);
        loop {
            tokio::select! {
                read = &mut read => return Woken::Read(read),
                refresh = self.refreshes.recv() => match refresh {
                    // A snapshot is on its way already.
                    Some(()) if self.position.is_none() => {}
                    Some(()) => return Woken::Refresh,
                    None => return Woken::Closed,
                },
                () = sleep_until_some(deadline) => return Woken::Deadline,
            }
        }
    }

    /// Returns how long the platform may hold the next call.
    fn next_wait(&self) -> Duration {
        // A call that is held tells nothing about whether the platform is back.
        if self.is_lost {
            return Duration::ZERO;
        }
        let part = rand::rng().random_range(MIN_WAIT_PART..=1.0);
        self.options.poll_timeout.mul_f64(part)
    }

    /// Takes in what was read. Returns whether it brought changes.
    fn take_in(&mut self, read: Read) -> bool {
        self.backoff = self.options.first_backoff;
        if self.is_lost {
            self.is_lost = false;
            self.observer.on_available();
        }
        match read {
            Read::Snapshot(snapshot) => {
                self.position = Some(snapshot.position);
                self.observer.on_snapshot(snapshot);
                false
            }
            Read::Feed(FeedAnswer::Changes { rows, position }) => {
                self.position = Some(position);
                let has_changes = !rows.is_empty();
                if has_changes {
                    self.observer.on_changes(rows);
                }
                has_changes
            }
            Read::Feed(FeedAnswer::HistoryGone) => {
                tracing::info!(table = %self.table, "history is gone, the table is read again");
                self.position = None;
                false
            }
        }
    }

    fn note_lost(&mut self, error: &Error) {
        if !self.is_lost {
            self.is_lost = true;
            self.observer.on_unavailable(error);
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let pause = self.backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(self.options.max_backoff);
        pause
    }

    /// Waits before the next call. Returns whether the follower goes on.
    async fn pause(&mut self, pause: Duration) -> bool {
        let until = Instant::now() + pause;
        loop {
            let deadline = self.observer.deadline();
            tokio::select! {
                () = sleep_until(until) => return true,
                refresh = self.refreshes.recv() => match refresh {
                    Some(()) => {}
                    None => return false,
                },
                () = sleep_until_some(deadline) => self.observer.on_deadline(),
            }
        }
    }
}

async fn read(
    feed: Arc<dyn TableFeed>,
    table: TableName,
    position: Option<FeedPosition>,
    wait: Duration,
) -> Result<Read> {
    match position {
        None => feed.snapshot(table).await.map(Read::Snapshot),
        Some(since) => feed.changes(table, since, wait).await.map(Read::Feed),
    }
}

async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => sleep(Duration::MAX).await,
    }
}
