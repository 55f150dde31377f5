//! Options of the fleet controller.

use std::time::Duration;

use verbenahead_state::{RetryOptions, lease::LeaseOptions};

/// `FleetControllerOptions` are the times of the fleet controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetControllerOptions {
    /// Time between two rounds.
    pub round_period: Duration,
    /// Times of the leases.
    pub lease: LeaseOptions,
    /// Bounds of one operation against the journals of starts.
    pub journal: RetryOptions,
    /// Time for which a start counts as running although its VM is not on the list. It must
    /// exceed the age of the list.
    pub listing_limit: Duration,
    /// Time after an unanswered request for a VM within which that request may still take effect,
    /// although the same request was refused later.
    pub unknown_limit: Duration,
    /// Time after which an engine that checks fencing numbers gets the same orders again.
    pub order_repeat: Duration,
    /// Time for which a lease is held before the first stop, so that the list shows what earlier
    /// holders stopped.
    pub stop_settle: Duration,
    /// Time from the announcement of a stop to the stop.
    pub stop_notice: Duration,
}

impl Default for FleetControllerOptions {
    fn default() -> Self {
        Self {
            round_period: Duration::from_secs(2),
            lease: LeaseOptions::default(),
            journal: RetryOptions::default(),
            listing_limit: Duration::from_secs(120),
            unknown_limit: Duration::from_secs(30),
            order_repeat: Duration::from_secs(30),
            stop_settle: Duration::from_secs(60),
            stop_notice: Duration::from_secs(30),
        }
    }
}
