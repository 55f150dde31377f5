//! Liveness of other nodes.

use verbenahead_state::ledger::Claimant;

/// `Liveness` tells which incarnations of nodes have ended.
pub trait Liveness: Send + Sync + 'static {
    /// Returns whether an incarnation of a node is known to have ended.
    fn is_gone(&self, claimant: &Claimant) -> bool;
}
