//! A timer service that the parts of a process subscribe to.

use std::time::Duration;

use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval_at},
};

/// `Tick` tells a subscriber that its period has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Time of the tick on the monotonic clock.
    pub now: Instant,
    /// How much later than planned the tick came. A large value means that the process was paused.
    pub late_by: Duration,
}

/// `TimerService` hands out periodic ticks. It follows the paused clock of `tokio` in tests.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerService;

impl TimerService {
    /// Subscribes to ticks at `period`, the first of them after `first`.
    ///
    /// Ticks that the subscriber has no room for are dropped. The ticks end when the receiver is
    /// dropped or closed.
    ///
    /// # Panics
    ///
    /// When `period` is zero or when called outside a `tokio` runtime.
    pub fn subscribe(&self, first: Duration, period: Duration) -> mpsc::Receiver<Tick> {
        let (tx, rx) = mpsc::channel(1);
        tokio::spawn(send_ticks(tx, first, period));
        rx
    }
}

async fn send_ticks(tx: mpsc::Sender<Tick>, first: Duration, period: Duration) {
    let mut interval = interval_at(Instant::now() + first, period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let planned = tokio::select! {
            planned = interval.tick() => planned,
            () = tx.closed() => return,
        };
        let now = Instant::now();
        let tick = Tick {
            now,
            late_by: now.saturating_duration_since(planned),
        };
        if let Err(mpsc::error::TrySendError::Closed(_)) = tx.try_send(tick) {
            return;
        }
    }
}
