//! Whether other nodes live.

use verbenahead_state::ledger::Claimant;

/// `Liveness` tells which lives of nodes have ended.
pub trait Liveness: Send + Sync + 'static {
    /// Returns whether this life of a node is known to have ended.
    fn is_gone(&self, claimant: &Claimant) -> bool;
}
