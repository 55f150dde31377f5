//! Task that follows the changes of a table through its feed.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};
use verbenahead_services::{
    Error, FeedAnswer, FeedPosition, FeedRow, Result, Snapshot, TableFeed, TableName,
};

/// `FollowerOptions` sets the timing of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Longest time for which the platform holds a poll while there are no changes. A lost response
    /// is noticed only after this time. The timeout of each poll is drawn at random between
    /// `MIN_POLL_TIMEOUT_RATIO` times this value and this value, so that the polls of the nodes
    /// spread out.
    pub poll_timeout: Duration,
    /// Longest delay before the first retry of a failed call. Delays are randomised, so that the
    /// nodes do not retry at the same time.
    pub first_backoff: Duration,
    /// Upper bound on the delay before a retry. After an outage of the platform it adds to the
    /// time until a change is in force.
    pub max_backoff: Duration,
    /// Delay after a change, so that changes in quick succession are read in one call.
    pub batch_delay: Duration,
}

/// Smallest poll timeout as a ratio of `poll_timeout`.
const MIN_POLL_TIMEOUT_RATIO: f64 = 0.7;

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

/// `TableObserver` processes what a follower reads.
pub trait TableObserver: Send + 'static {
    /// Processes a snapshot of the whole table.
    fn on_snapshot(&mut self, snapshot: Snapshot);

    /// Processes changed rows.
    fn on_changes(&mut self, rows: Vec<FeedRow>);

    /// Called when the platform stops answering.
    fn on_unavailable(&mut self, error: &Error);

    /// Called when the platform answers again, before its answer is processed.
    fn on_available(&mut self);

    /// Returns the time at which [`on_deadline`](Self::on_deadline) is to be called, if any.
    fn deadline(&self) -> Option<Instant> {
        None
    }

    /// Runs deferred work at the [`deadline`](Self::deadline).
    fn on_deadline(&mut self) {}
}

/// `FollowerHandle` keeps a follower running. The task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct FollowerHandle {
    refresh: mpsc::Sender<()>,
}

impl FollowerHandle {
    /// Requests a snapshot of the table, for a caller that knows of a change that the feed has not
    /// delivered.
    pub fn refresh(&self) {
        // A pending refresh covers this one.
        let _ = self.refresh.try_send(());
    }
}

/// Starts a task that follows a table and passes what it reads to `observer`.
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
        is_unavailable: false,
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
    /// Position from which the feed continues, or `None` when a snapshot is needed.
    position: Option<FeedPosition>,
    is_unavailable: bool,
    backoff: Duration,
}

/// `ReadResult` is the result of one call.
enum ReadResult {
    Snapshot(Snapshot),
    Feed(FeedAnswer),
}

/// `WakeReason` is the reason why a wait ended.
enum WakeReason {
    Read(Result<ReadResult>),
    Refresh,
    Deadline,
    Closed,
}

impl<O: TableObserver> Follower<O> {
    async fn run(mut self) {
        loop {
            match self.wait().await {
                WakeReason::Read(Ok(read)) => {
                    if self.process_read(read) && !self.pause(self.options.batch_delay).await {
                        return;
                    }
                }
                WakeReason::Read(Err(error)) => {
                    self.report_unavailable(&error);
                    let backoff = self.next_backoff();
                    if !self.pause(backoff).await {
                        return;
                    }
                }
                WakeReason::Refresh => self.position = None,
                WakeReason::Deadline => self.observer.on_deadline(),
                WakeReason::Closed => return,
            }
        }
    }

    async fn wait(&mut self) -> WakeReason {
        let deadline = self.observer.deadline();
        let feed = Arc::clone(&self.feed);
        let read = read(feed, self.table, self.position, self.next_poll_timeout());
        tokio::pin!(read);
        loop {
            tokio::select! {
                read = &mut read => return WakeReason::Read(read),
                refresh = self.refreshes.recv() => match refresh {
                    // A snapshot is already being read.
                    Some(()) if self.position.is_none() => {}
                    Some(()) => return WakeReason::Refresh,
                    None => return WakeReason::Closed,
                },
                () = sleep_until_optional(deadline) => return WakeReason::Deadline,
            }
        }
    }

    /// Returns the timeout of the next poll.
    fn next_poll_timeout(&self) -> Duration {
        // A held poll does not show whether the platform is available again.
        if self.is_unavailable {
            return Duration::ZERO;
        }
        let ratio = rand::rng().random_range(MIN_POLL_TIMEOUT_RATIO..=1.0);
        self.options.poll_timeout.mul_f64(ratio)
    }

    /// Passes a result to the observer. Returns whether it contained changes.
    fn process_read(&mut self, read: ReadResult) -> bool {
        self.backoff = self.options.first_backoff;
        if self.is_unavailable {
            self.is_unavailable = false;
            self.observer.on_available();
        }
        match read {
            ReadResult::Snapshot(snapshot) => {
                self.position = Some(snapshot.position);
                self.observer.on_snapshot(snapshot);
                false
            }
            ReadResult::Feed(FeedAnswer::Changes { rows, position }) => {
                self.position = Some(position);
                let has_changes = !rows.is_empty();
                if has_changes {
                    self.observer.on_changes(rows);
                }
                has_changes
            }
            ReadResult::Feed(FeedAnswer::HistoryGone) => {
                tracing::info!(
                    table = %self.table,
                    "feed position expired, reading the table again",
                );
                self.position = None;
                false
            }
        }
    }

    fn report_unavailable(&mut self, error: &Error) {
        if !self.is_unavailable {
            self.is_unavailable = true;
            self.observer.on_unavailable(error);
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let pause = self.backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(self.options.max_backoff);
        pause
    }

    /// Waits before the next call. Returns `false` when all handles are dropped.
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
                () = sleep_until_optional(deadline) => self.observer.on_deadline(),
            }
        }
    }
}

async fn read(
    feed: Arc<dyn TableFeed>,
    table: TableName,
    position: Option<FeedPosition>,
    poll_timeout: Duration,
) -> Result<ReadResult> {
    match position {
        None => feed.snapshot(table).await.map(ReadResult::Snapshot),
        Some(since) => feed
            .changes(table, since, poll_timeout)
            .await
            .map(ReadResult::Feed),
    }
}

async fn sleep_until_optional(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => sleep(Duration::MAX).await,
    }
}
