//! Whether a node wants new requests.

use std::sync::atomic::{AtomicU8, Ordering};

use derive_more::Display;
use serde::{Deserialize, Serialize};

const JOINING: u8 = 0;
const SERVING: u8 = 1;
const DRAINING: u8 = 2;

/// `Readiness` holds the state that the readiness check reports.
#[derive(Debug, Default)]
pub struct Readiness(AtomicU8);

/// `ReadinessState` is one state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum ReadinessState {
    /// The node does not know yet what is in force.
    Joining,
    /// The node serves.
    Serving,
    /// The node takes no new requests.
    Draining,
}

impl Readiness {
    /// Says that the node serves.
    pub fn set_serving(&self) {
        self.0.store(SERVING, Ordering::Release);
    }

    /// Says that the node takes no new requests.
    pub fn set_draining(&self) {
        self.0.store(DRAINING, Ordering::Release);
    }

    /// Returns the state.
    pub fn state(&self) -> ReadinessState {
        match self.0.load(Ordering::Acquire) {
            JOINING => ReadinessState::Joining,
            SERVING => ReadinessState::Serving,
            _ => ReadinessState::Draining,
        }
    }
}
