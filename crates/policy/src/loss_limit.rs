//! Limit on the lost answers that count as failures of a version.

use std::time::Duration;

use crate::time::Timestamp;

/// `LossLimit` counts lost answers as failures, at most [`MAX_LOSSES`] in [`LOSS_PERIOD`]. A replica that
/// crashes loses all its open answers at once, which says no more of its version than one loss.
#[derive(Debug, Clone, Copy, Default)]
pub struct LossLimit {
    seen: u64,
    counted: u64,
    period_from: Timestamp,
    in_period: u64,
}

/// Losses that count within a period.
const MAX_LOSSES: u64 = 2;

/// Time over which losses are limited.
const LOSS_PERIOD: Duration = Duration::from_secs(1);

impl LossLimit {
    /// Takes in the number of answers that were lost so far. Returns the number that counts.
    pub fn update(&mut self, lost: u64, now: Timestamp) -> u64 {
        if now.since(self.period_from) >= LOSS_PERIOD {
            self.period_from = now;
            self.in_period = 0;
        }
        let new = lost
            .saturating_sub(self.seen)
            .min(MAX_LOSSES - self.in_period);
        self.seen = self.seen.max(lost);
        self.in_period += new;
        self.counted += new;
        self.counted
    }
}
