//! When the runs at a replica that stops begin to move to others.

use std::time::Duration;

/// `MoveMarginOptions` set the time that is planned for moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveMarginOptions {
    /// Shortest time before the announced stop at which moves begin. The notice may have been read up to two
    /// thirds of a second late, and other nodes share the network link of the replica.
    pub min: Duration,
    /// Time that is planned for each run, since a replica makes one copy at a time. A copy takes some tens of
    /// milliseconds.
    pub per_run: Duration,
    /// Time that is left at the end for the last run to go on elsewhere.
    pub reserve: Duration,
}

impl Default for MoveMarginOptions {
    fn default() -> Self {
        Self {
            min: Duration::from_millis(1_500),
            per_run: Duration::from_millis(40),
            reserve: Duration::from_millis(500),
        }
    }
}

/// Returns the time before the announced stop of a replica at which the moves of `runs` runs begin.
pub fn move_margin(runs: u32, options: &MoveMarginOptions) -> Duration {
    let planned = options.per_run.saturating_mul(runs);
    options.min.max(planned.saturating_add(options.reserve))
}
