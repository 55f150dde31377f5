//! Messages about rollouts of a software version.

use std::time::Duration;

use verbenahead_core::FencingNumber;

use crate::report::NameKey;

/// `Share` is a part of the requests of a service, in 1/10,000.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
pub struct Share(pub u16);

impl Share {
    /// All requests.
    pub const ALL: Self = Self(10_000);
}

/// `RolloutPhase` tells how far a rollout is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RolloutPhase {
    /// There is no verdict yet.
    #[default]
    Running,
    /// The target serves like any other version.
    Succeeded,
    /// The target gets no requests.
    RolledBack,
}

/// `RolloutMessage` tells a node which share of the requests of a service goes to the target of a
/// rollout. The holder of the duty lease sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutMessage {
    /// Key of the service.
    pub service: NameKey,
    /// Key of the target version.
    pub target: NameKey,
    /// Version of the row with the order. A later order has a higher one.
    pub order: u64,
    /// Fencing number of the sender's lease.
    pub fencing: FencingNumber,
    /// Sequence number among the messages of one lease.
    pub sequence: u64,
    /// Share in force.
    pub share: Share,
    /// Time for which the share is valid.
    pub validity: Duration,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Keys of versions that get no requests.
    pub barred: Vec<NameKey>,
}

/// `RolloutCounts` counts the attempts of one node at the replicas of a service, since the order of a
/// rollout became known there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Key of the service.
    pub service: NameKey,
    /// Version of the row with the order.
    pub order: u64,
    /// Attempts at all replicas.
    pub attempts: u64,
    /// Attempts at replicas of the target.
    pub target_attempts: u64,
    /// Share in force at the node.
    pub share: Share,
    /// Sequence number of the message that set the share; 0 if none is valid.
    pub sequence: u64,
    /// Attempts that have not ended at replicas of other versions than the target.
    pub open_old: u32,
    /// Longest recent attempt at replicas of other versions than the target.
    pub longest: Duration,
    /// Outcomes by route and version.
    pub outcomes: Vec<RolloutOutcomes>,
}

/// `RolloutOutcomes` counts the outcomes of the attempts of one route at the target, or at the other
/// versions while the target got requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutOutcomes {
    /// Key of the route's name.
    pub route: NameKey,
    /// Whether the attempts were at the target.
    pub is_target: bool,
    /// Attempts with a successful answer.
    pub answered: u64,
    /// Attempts that the replica answered with a server error.
    pub failed: u64,
    /// Attempts whose answer did not come or broke off.
    pub lost: u64,
    /// Numbers of answers by their time, in the buckets of the policy crate.
    pub times: Vec<u32>,
}
