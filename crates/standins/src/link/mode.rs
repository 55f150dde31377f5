//! Fault modes of a link and their effect on connections.

use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::control::LinkChange;

/// `LinkMode` is the fault applied to a connection.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum LinkMode {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// The connection is closed.
    Cut,
    /// Bytes to the target are dropped silently; neither end is notified.
    SilentTo,
    /// Bytes from the target are dropped silently; neither end is notified.
    SilentFrom,
    /// Bytes in both directions are dropped silently; neither end is notified.
    Silent,
}

impl LinkMode {
    fn drops_to(self) -> bool {
        matches!(self, Self::SilentTo | Self::Silent)
    }

    fn drops_from(self) -> bool {
        matches!(self, Self::SilentFrom | Self::Silent)
    }
}

/// `NewConnections` is the mode of connections accepted after a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NewConnections {
    /// The mode of the change.
    #[default]
    Same,
    /// [`LinkMode::Pass`].
    Pass,
    /// None are accepted: no process listens.
    Refused,
    /// None are accepted: attempts to connect get no answer.
    Unanswered,
}

/// `Direction` is one of the two directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    /// To the target.
    To,
    /// From the target.
    From,
}

/// `Faults` is the set of faults applied to a connection. A fault is never undone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Faults {
    pub(super) is_cut: bool,
    drops_to: bool,
    drops_from: bool,
}

impl Faults {
    fn add(&mut self, mode: LinkMode) {
        self.is_cut |= mode == LinkMode::Cut;
        self.drops_to |= mode.drops_to();
        self.drops_from |= mode.drops_from();
    }

    pub(super) fn is_silent(self) -> bool {
        self.drops_to || self.drops_from
    }

    pub(super) fn drops(self, direction: Direction) -> bool {
        match direction {
            Direction::To => self.drops_to,
            Direction::From => self.drops_from,
        }
    }
}

/// `LinkState` is the state that all connections of a link watch.
#[derive(Debug, Clone)]
pub(super) struct LinkState {
    /// Mode of each change, oldest first. Each applies to the connections open at the change.
    modes: Vec<LinkMode>,
    new_connection_mode: LinkMode,
    pub(super) new_connections: NewConnections,
    pub(super) delay: Duration,
}

impl LinkState {
    pub(super) fn new(delay: Duration) -> Self {
        Self {
            modes: Vec::new(),
            new_connection_mode: LinkMode::Pass,
            new_connections: NewConnections::Same,
            delay,
        }
    }

    pub(super) fn apply(&mut self, change: LinkChange) {
        self.modes.push(change.mode);
        self.new_connection_mode = match change.new_connections {
            NewConnections::Same => change.mode,
            _ => LinkMode::Pass,
        };
        self.new_connections = change.new_connections;
        if let Some(delay_ms) = change.delay_ms {
            self.delay = Duration::from_millis(delay_ms);
        }
    }

    /// Returns the initial state of a connection accepted now.
    pub(super) fn initial_state(&self) -> InitialState {
        InitialState {
            mode: self.new_connection_mode,
            change_count: self.modes.len(),
        }
    }

    /// Returns the faults applied so far to a connection with the given initial state.
    pub(super) fn faults(&self, initial: InitialState) -> Faults {
        let mut faults = Faults::default();
        faults.add(initial.mode);
        let later = self.modes.iter().skip(initial.change_count);
        later.for_each(|mode| faults.add(*mode));
        faults
    }
}

/// `InitialState` is the state of the link when a connection was accepted.
#[derive(Debug, Clone, Copy)]
pub(super) struct InitialState {
    mode: LinkMode,
    change_count: usize,
}
