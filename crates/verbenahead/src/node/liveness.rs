//! Whether other nodes live.

use verbenahead_state::ledger::Claimant;

/// `Liveness` tells which lives of nodes have ended.
pub trait Liveness: Send + Sync + 'static {
    /// Returns whether this life of a node is known to have ended.
    fn is_gone(&self, claimant: &Claimant) -> bool;
}

/// `NobodyGone` is used where a node has no peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NobodyGone;

impl Liveness for NobodyGone {
    fn is_gone(&self, _: &Claimant) -> bool {
        false
    }
}
