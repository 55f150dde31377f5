//! Measures the bytes of messages about placement, which the reports of the node leave room for.

use std::sync::atomic::Ordering;

use verbenahead_relay::PromptPlacement;

/// Weight of the last step in the moving average, so that a burst does not stop the reports.
const WEIGHT: f64 = 0.1;

/// `PlacementBytes` is a moving average of the bytes sent in a step of the reporter.
#[derive(Debug, Default)]
pub(super) struct PlacementBytes {
    last: u64,
    average: f64,
}

impl PlacementBytes {
    /// Ends a step. Returns the bytes that a step takes.
    pub(super) fn per_step(&mut self, placement: &PromptPlacement) -> usize {
        let total = placement.counts().bytes.load(Ordering::Relaxed);
        let sent = total.saturating_sub(std::mem::replace(&mut self.last, total));
        self.average += WEIGHT * (sent as f64 - self.average);
        self.average as usize
    }
}
