//! Whether a node accepts new requests.

use std::sync::atomic::{AtomicU8, Ordering};

use derive_more::Display;
use serde::{Deserialize, Serialize};

const JOINING: u8 = 0;
const SERVING: u8 = 1;
const DRAINING: u8 = 2;

/// `Readiness` holds the state that the readiness check reports.
#[derive(Debug, Default)]
pub struct Readiness(AtomicU8);

/// `ReadinessState` is the state of a node that the readiness check reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ReadinessState {
    /// The node does not know the manifest in force yet.
    Joining,
    /// The node serves requests.
    Serving,
    /// The node accepts no new requests.
    Draining,
}

impl Readiness {
    /// Sets the state to [`ReadinessState::Serving`].
    pub fn set_serving(&self) {
        self.0.store(SERVING, Ordering::Release);
    }

    /// Sets the state to [`ReadinessState::Draining`].
    pub fn set_draining(&self) {
        self.0.store(DRAINING, Ordering::Release);
    }

    /// Returns the current state.
    pub fn state(&self) -> ReadinessState {
        match self.0.load(Ordering::Acquire) {
            JOINING => ReadinessState::Joining,
            SERVING => ReadinessState::Serving,
            _ => ReadinessState::Draining,
        }
    }
}
