//! Liveness of nodes as the membership shows it.

use verbenahead_membership::{MemberState, MembershipHandle};
use verbenahead_state::ledger::Claimant;

use crate::node::liveness::Liveness;

/// `MemberLiveness` tells which lives of nodes the membership holds for dead. A node that the
/// membership does not know may live.
#[derive(Debug, Clone)]
pub struct MemberLiveness(pub MembershipHandle);

impl Liveness for MemberLiveness {
    fn is_gone(&self, claimant: &Claimant) -> bool {
        let members = self.0.members();
        let member = members.iter().find(|member| member.node == claimant.node);
        member.is_some_and(|member| {
            let is_dead = member.state == MemberState::Dead;
            let is_replaced = member.incarnation > claimant.incarnation;
            is_replaced || (is_dead && member.incarnation == claimant.incarnation)
        })
    }
}
