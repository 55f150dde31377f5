//! Periodic timer ticks, delivered over channels.

use std::time::Duration;

use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval_at},
};

/// `Tick` notifies a subscriber that its period has elapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Time of the tick on the monotonic clock.
    pub now: Instant,
    /// Delay of the tick past its planned time. A large value means that the process was paused.
    pub late_by: Duration,
}

/// `TimerService` sends periodic ticks to subscribers. In tests it follows the paused clock of
/// `tokio`.
#[derive(Debug, Clone, Copy, Default)]
pub struct TimerService;

impl TimerService {
    /// Subscribes to ticks every `period`. The first tick is sent after `first`.
    ///
    /// The channel holds one tick; a tick that finds it full is dropped. The ticks end when the
    /// receiver is dropped or closed.
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
