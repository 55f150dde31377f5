//! Orders of the operator to move the traffic of a service to another software version.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead_core::{ServiceId, SoftwareVersion};

/// `RolloutOrder` orders that the traffic of a service moves to replicas of one software version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: ServiceId,
    /// Version to which it moves.
    pub target: SoftwareVersion,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// `RolloutState` is the state of a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// There is no verdict yet.
    #[default]
    Running,
    /// All traffic is at the target. Replicas of other versions stop at once.
    Succeeded,
    /// The target gets no traffic. Its replicas leave.
    RolledBack,
}
