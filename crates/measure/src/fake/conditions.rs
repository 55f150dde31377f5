//! The conditions of a run.

use super::{moves::MoveRule, profile::Profile, retry::RetryRule};

/// `Reclaim` takes back a whole zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reclaim {
    /// Index of the zone.
    pub zone: usize,
    /// When the replicas stop, in seconds.
    pub at: f64,
    /// Time from the notice to the stop, in seconds.
    pub notice: f64,
}

/// `CacheEvents` tells how cache events reach the nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheEvents {
    /// Age of an event when it is received, in seconds.
    pub lag: f64,
    /// Part of the events that are lost.
    pub loss: f64,
}

/// `RunOptions` are the conditions of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Deployment.
    pub profile: Profile,
    /// Seed of all randomness.
    pub seed: u64,
    /// Length, in seconds.
    pub duration: f64,
    /// Time between two reports of a replica, in seconds.
    pub report_period: f64,
    /// Age of a report when it is received, in seconds.
    pub report_lag: f64,
    /// Late events of caches, if the engines publish them.
    pub cache_events: Option<CacheEvents>,
    /// Reclaim of a zone, if any.
    pub reclaim: Option<Reclaim>,
    /// What happens to the work of a reclaimed zone.
    pub moves: MoveRule,
    /// Part by which the load rises and falls.
    pub swing: f64,
    /// Burst of new conversations, if any.
    pub burst: Option<Burst>,
    /// What happens to attempts without a first token.
    pub retry: RetryRule,
}

/// `Burst` is a time of more new conversations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// When it begins, in seconds.
    pub from: f64,
    /// When it ends, in seconds.
    pub to: f64,
    /// How many times more conversations begin.
    pub factor: f64,
    /// Workspace that the additional conversations belong to; all when left out.
    pub workspace: Option<usize>,
}
