//! The graceful shutdown of the node, as its requests see it.

use std::future::pending;

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// `DrainTimes` are the times of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimes {
    /// Time from which a request is refused if its deadline is after `ends_at` and it has not been sent to a
    /// replica.
    pub refuses_at: Instant,
    /// Time at which each request without a response gets one of the node.
    pub ends_at: Instant,
}

/// `Drain` tells requests how far the shutdown of the node has got.
#[derive(Debug)]
pub(crate) struct Drain(watch::Sender<Option<DrainTimes>>);

impl Default for Drain {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Drain {
    /// Starts the shutdown. Only the first call has an effect.
    pub(crate) fn start(&self, times: DrainTimes) {
        self.0.send_if_modified(|started| {
            let is_first = started.is_none();
            *started = started.or(Some(times));
            is_first
        });
    }

    pub(crate) fn has_started(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns whether a request with this deadline may be sent to a replica now.
    pub(crate) fn admits(&self, deadline: Instant) -> bool {
        let times = *self.0.borrow();
        times.is_none_or(|times| Instant::now() < times.refusal_of(deadline))
    }

    /// Returns whether a request of another node with this deadline may be passed on. That node can ask others.
    pub(crate) fn admits_forwarded(&self, deadline: Instant) -> bool {
        let times = *self.0.borrow();
        times.is_none_or(|times| deadline <= times.ends_at)
    }

    /// Waits until a request with this deadline that has not been sent to a replica is refused.
    pub(crate) async fn wait_refused(&self, deadline: Instant) {
        sleep_until(self.times().await.refusal_of(deadline)).await;
    }

    /// Waits until each request without a response gets one of the node.
    pub(crate) async fn wait_over(&self) {
        sleep_until(self.times().await.ends_at).await;
    }

    async fn times(&self) -> DrainTimes {
        let mut started = self.0.subscribe();
        match started.wait_for(Option::is_some).await.map(|times| *times) {
            Ok(Some(times)) => times,
            Ok(None) | Err(_) => pending().await,
        }
    }
}

impl DrainTimes {
    fn refusal_of(&self, deadline: Instant) -> Instant {
        match deadline <= self.ends_at {
            true => self.ends_at,
            false => self.refuses_at,
        }
    }
}
