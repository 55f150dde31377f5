//! Options of a simulated run.

use super::{moves::MoveRule, profile::Profile, retry::RetryRule};

/// `Reclaim` is the reclaim of all reclaimable replicas of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reclaim {
    /// Index of the zone.
    pub zone: usize,
    /// When the replicas stop, in seconds.
    pub at: f64,
    /// Time from the notice to the stop, in seconds.
    pub notice: f64,
}

/// `CacheEvents` describes how cache events reach the nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheEvents {
    /// Age of an event when it is received, in seconds.
    pub lag: f64,
    /// Fraction of the events that are lost.
    pub loss: f64,
}

/// `RunOptions` configures a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Deployment.
    pub profile: Profile,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Simulated time of the run, in seconds.
    pub duration: f64,
    /// Time between two reports of a replica, in seconds.
    pub report_period: f64,
    /// Age of a report when it is received, in seconds.
    pub report_lag: f64,
    /// Delay and loss of cache events, if the engines publish them.
    pub cache_events: Option<CacheEvents>,
    /// Reclaim of a zone, if any.
    pub reclaim: Option<Reclaim>,
    /// How the requests of a reclaimed zone continue.
    pub moves: MoveRule,
    /// Amplitude of the sinusoidal load variation, as a fraction of the mean rate.
    pub swing: f64,
    /// Burst of new conversations, if any.
    pub burst: Option<Burst>,
    /// Handling of attempts without a first token in time.
    pub retry: RetryRule,
}

/// `Burst` is a period with a higher rate of new conversations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// When it begins, in seconds.
    pub from: f64,
    /// When it ends, in seconds.
    pub to: f64,
    /// Factor on the rate of new conversations.
    pub factor: f64,
    /// Workspace of the additional conversations; `None` spreads them over all.
    pub workspace: Option<usize>,
}
