//! How well this node itself does.

/// Highest score. Timeouts are at most one more than this times their base.
const MAX_SCORE: u32 = 4;

/// `LocalHealth` lengthens the timeouts of a node that is slow or cut off itself, so that it does
/// not suspect the others for its own fault.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records that something went well.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records a sign that this node is at fault.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns the factor for timeouts.
    pub(crate) fn factor(self) -> u32 {
        self.score + 1
    }
}
