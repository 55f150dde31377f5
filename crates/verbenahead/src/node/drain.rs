//! Signals the drain of a node to its tasks.

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// `DrainState` is the progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// The node serves.
    Serving,
    /// The node accepts no new requests.
    Draining {
        /// Time at which the remaining requests move to other nodes.
        deadline: Instant,
    },
}

/// `DrainSignal` starts the drain of a node.
#[derive(Debug)]
pub struct DrainSignal(watch::Sender<DrainState>);

impl Default for DrainSignal {
    fn default() -> Self {
        Self(watch::Sender::new(DrainState::Serving))
    }
}

impl DrainSignal {
    /// Starts the drain, or moves its deadline to an earlier time. A later deadline is ignored.
    pub fn start(&self, deadline: Instant) {
        self.0.send_if_modified(|state| {
            let is_earlier = match *state {
                DrainState::Serving => true,
                DrainState::Draining { deadline: current } => deadline < current,
            };
            if is_earlier {
                *state = DrainState::Draining { deadline };
            }
            is_earlier
        });
    }

    /// Returns a receiver of the signal.
    pub fn subscribe(&self) -> DrainView {
        DrainView(self.0.subscribe())
    }
}

/// `DrainView` observes the drain of a node.
#[derive(Debug, Clone)]
pub struct DrainView(watch::Receiver<DrainState>);

impl DrainView {
    /// Returns whether the node drains.
    pub fn is_draining(&self) -> bool {
        *self.0.borrow() != DrainState::Serving
    }

    /// Waits until the deadline of the drain, at which the remaining requests have to move.
    pub async fn wait_for_deadline(&mut self) {
        loop {
            let state = *self.0.borrow_and_update();
            match state {
                DrainState::Serving => {
                    if self.0.changed().await.is_err() {
                        return std::future::pending().await;
                    }
                }
                DrainState::Draining { deadline } => tokio::select! {
                    () = sleep_until(deadline) => return,
                    Ok(()) = self.0.changed() => {}
                },
            }
        }
    }
}
