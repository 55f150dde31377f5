//! What a link does with its connections.

use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::control::LinkChange;

/// `LinkMode` is what happens to the bytes of a connection.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum LinkMode {
    /// Bytes pass.
    #[default]
    Pass,
    /// The connection is closed.
    Cut,
    /// Bytes towards the link's other end are lost, without a sign to either end.
    SilentTo,
    /// Bytes from the link's other end are lost, without a sign to either end.
    SilentFrom,
    /// Bytes of both directions are lost, without a sign to either end.
    Silent,
}

impl LinkMode {
    fn loses_to(self) -> bool {
        matches!(self, Self::SilentTo | Self::Silent)
    }

    fn loses_from(self) -> bool {
        matches!(self, Self::SilentFrom | Self::Silent)
    }
}

/// `NewConnections` is what happens to connections that are made after a change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NewConnections {
    /// They have the mode of the change.
    #[default]
    Same,
    /// They pass.
    Pass,
}

/// `Direction` is one of the two directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    /// Towards the link's other end.
    To,
    /// From the link's other end.
    From,
}

/// `Damage` is what a connection has suffered. It is never undone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Damage {
    pub(super) is_cut: bool,
    loses_to: bool,
    loses_from: bool,
}

impl Damage {
    fn add(&mut self, mode: LinkMode) {
        self.is_cut |= mode == LinkMode::Cut;
        self.loses_to |= mode.loses_to();
        self.loses_from |= mode.loses_from();
    }

    pub(super) fn is_silent(self) -> bool {
        self.loses_to || self.loses_from
    }

    pub(super) fn loses(self, direction: Direction) -> bool {
        match direction {
            Direction::To => self.loses_to,
            Direction::From => self.loses_from,
        }
    }
}

/// `LinkState` is the state that all connections follow.
#[derive(Debug, Clone)]
pub(super) struct LinkState {
    /// Modes that the connections of their time were put into, oldest first.
    modes: Vec<LinkMode>,
    mode_of_new: LinkMode,
    pub(super) delay: Duration,
}

impl LinkState {
    pub(super) fn new(delay: Duration) -> Self {
        Self {
            modes: Vec::new(),
            mode_of_new: LinkMode::Pass,
            delay,
        }
    }

    pub(super) fn apply(&mut self, change: LinkChange) {
        self.modes.push(change.mode);
        self.mode_of_new = match change.new_connections {
            NewConnections::Same => change.mode,
            NewConnections::Pass => LinkMode::Pass,
        };
        if let Some(delay_ms) = change.delay_ms {
            self.delay = Duration::from_millis(delay_ms);
        }
    }

    /// Returns where a connection that is made now begins.
    pub(super) fn birth(&self) -> Birth {
        Birth {
            mode: self.mode_of_new,
            change_count: self.modes.len(),
        }
    }

    /// Returns what a connection has suffered so far.
    pub(super) fn damage(&self, birth: Birth) -> Damage {
        let mut damage = Damage::default();
        damage.add(birth.mode);
        let later = self.modes.iter().skip(birth.change_count);
        later.for_each(|mode| damage.add(*mode));
        damage
    }
}

/// `Birth` is the state of the link when a connection was made.
#[derive(Debug, Clone, Copy)]
pub(super) struct Birth {
    mode: LinkMode,
    change_count: usize,
}
