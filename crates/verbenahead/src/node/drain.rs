//! The signal that a node leaves.

use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// `DrainState` says how far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// The node serves.
    Serving,
    /// The node takes no new requests. Requests that run at the deadline move to other nodes.
    Draining {
        /// Time at which what still runs moves.
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
    /// Starts the drain, or brings its deadline forward.
    pub fn start(&self, deadline: Instant) {
        self.0.send_if_modified(|state| {
            let is_sooner = match *state {
                DrainState::Serving => true,
                DrainState::Draining { deadline: known } => deadline < known,
            };
            if is_sooner {
                *state = DrainState::Draining { deadline };
            }
            is_sooner
        });
    }

    /// Returns a view of the signal.
    pub fn subscribe(&self) -> DrainView {
        DrainView(self.0.subscribe())
    }
}

/// `DrainView` follows the drain of a node.
#[derive(Debug, Clone)]
pub struct DrainView(watch::Receiver<DrainState>);

impl DrainView {
    /// Returns whether the node drains.
    pub fn is_draining(&self) -> bool {
        *self.0.borrow() != DrainState::Serving
    }

    /// Waits until what still runs has to move.
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
