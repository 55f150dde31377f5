//! Units that a stand-in grants while the collector may be alive.
//!
//! A collector that some nodes find silent may still grant the whole quota to the others. Until its silence is
//! confirmed, a stand-in grants no more than a part of the permitted excess in any window.

use std::time::Duration;

use crate::time::Timestamp;

/// `StandInAllowance` tracks what a stand-in grants from one quota before the silence is confirmed.
#[derive(Debug, Clone, Default)]
pub struct StandInAllowance {
    spent: f64,
    /// Time of the last such grant.
    spent_at: Timestamp,
}

impl StandInAllowance {
    /// Returns whether `units` may be granted under an allowance of `allowed` units for each `window`. It is
    /// whole again only a window after the last grant, so that no window sees more than one.
    pub fn allows(&self, units: f64, allowed: f64, window: Duration, now: Timestamp) -> bool {
        self.spent(window, now) + units <= allowed
    }

    /// Records a grant.
    pub fn take(&mut self, units: f64, window: Duration, now: Timestamp) {
        self.spent = self.spent(window, now) + units;
        self.spent_at = now;
    }

    /// Returns whether nothing was granted within the last window.
    pub fn is_whole(&self, window: Duration, now: Timestamp) -> bool {
        now.since(self.spent_at) >= window
    }

    fn spent(&self, window: Duration, now: Timestamp) -> f64 {
        if self.is_whole(window, now) {
            0.0
        } else {
            self.spent
        }
    }
}
