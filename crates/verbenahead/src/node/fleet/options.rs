//! Options of the fleet controller.

use std::time::Duration;

use verbenahead_state::{RetryOptions, lease::LeaseOptions};

/// `FleetControllerOptions` configures the fleet controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetControllerOptions {
    /// Time between two rounds.
    pub round_period: Duration,
    /// Options of the leases.
    pub lease: LeaseOptions,
    /// Retries of one operation on a start journal.
    pub journal: RetryOptions,
    /// Time for which a started VM counts as running although the list does not contain it yet. It
    /// must exceed the age of the list.
    pub listing_timeout: Duration,
    /// Time within which an unanswered start request may still take effect, even if a repetition
    /// of it is refused.
    pub unknown_outcome_timeout: Duration,
    /// Interval at which an engine that checks fencing numbers receives the same orders again.
    pub order_repeat_interval: Duration,
    /// Time for which a lease must be held before the first stop, so that the list shows the stops
    /// of earlier holders.
    pub min_lease_age_for_stops: Duration,
    /// Time between the announcement of a stop and the stop.
    pub stop_notice: Duration,
}

impl Default for FleetControllerOptions {
    fn default() -> Self {
        Self {
            round_period: Duration::from_secs(2),
            lease: LeaseOptions::default(),
            journal: RetryOptions::default(),
            listing_timeout: Duration::from_secs(120),
            unknown_outcome_timeout: Duration::from_secs(30),
            order_repeat_interval: Duration::from_secs(30),
            min_lease_age_for_stops: Duration::from_secs(60),
            stop_notice: Duration::from_secs(30),
        }
    }
}
