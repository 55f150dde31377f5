//! Options of the admission to a service that lacks places.

use std::time::Duration;

/// `PriorityAdmissionOptions` sets when requests are refused and how quickly this changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityAdmissionOptions {
    /// Fraction of taken slots below which everything is admitted if nothing waits.
    pub spare_below: f64,
    /// Fraction of taken slots from which places are taken to be lacking.
    pub lacking_from: f64,
    /// Wait of the least urgent requests that is accepted, as a fraction of their objective.
    pub accepted_wait: f64,
    /// Excess of the wait, as a fraction of the accepted one, below which nothing is refused although the admitted
    /// fraction is still low.
    pub short_excess: f64,
    /// Time between two changes of the admitted fraction. The queue shows the effect of a change in the
    /// reports of the next second.
    pub step: Duration,
    /// Number of steps in a row with too long a queue before anything is refused.
    pub patience: u32,
    /// Fraction of the waiting requests by which they become fewer in a second from which no step lowers the
    /// admitted fraction.
    pub falling: f64,
    /// Part of the excess of the wait by which a step lowers the admitted fraction.
    pub gain: f64,
    /// Largest fraction by which a step lowers the admitted fraction.
    pub max_cut: f64,
    /// Excess of the wait, as a multiple of the accepted one, from which requests of the next more urgent rank
    /// are refused too.
    pub next_rank_excess: f64,
    /// Number of steps in a row with such an excess before they are.
    pub next_rank_patience: u32,
    /// Amount by which a step raises the admitted fraction.
    pub recovery: f64,
    /// Smallest fraction of a rank and of a workspace that is admitted, so that none starves.
    pub floor: f64,
    /// Factor on the admitted fraction for requests that miss their objective anyway.
    pub hopeless: f64,
    /// Longest time for which a request is held, as a fraction of its objective.
    pub max_hold: f64,
    /// Time constant of the demand of ranks.
    pub demand_memory: Duration,
    /// Time constant of the demand of workspaces, which send fewer requests to a node.
    pub workspace_memory: Duration,
    /// Largest number of workspaces whose demand is known.
    pub max_workspaces: usize,
}

impl Default for PriorityAdmissionOptions {
    fn default() -> Self {
        Self {
            spare_below: 0.5,
            lacking_from: 0.95,
            accepted_wait: 0.5,
            short_excess: 0.0,
            step: Duration::from_millis(500),
            patience: 3,
            falling: 0.25,
            gain: 0.3,
            max_cut: 0.15,
            next_rank_excess: 8.0,
            next_rank_patience: 6,
            recovery: 0.1,
            floor: 0.35,
            hopeless: 0.75,
            max_hold: 0.125,
            demand_memory: Duration::from_secs(4),
            workspace_memory: Duration::from_secs(10),
            max_workspaces: 256,
        }
    }
}
