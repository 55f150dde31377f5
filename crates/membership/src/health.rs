//! Local health of this node, as in the Lifeguard extensions of SWIM.

/// Highest score. The timeout factor is at most `MAX_SCORE + 1`.
const MAX_SCORE: u32 = 4;

/// `LocalHealth` lengthens the timeouts of a node that is itself slow or partitioned, so that it
/// does not suspect others because of its own fault.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records a sign that this node works well, such as an answered probe.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records a sign that this node is at fault.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Returns the factor by which timeouts are multiplied.
    pub(crate) fn factor(self) -> u32 {
        self.score + 1
    }
}
