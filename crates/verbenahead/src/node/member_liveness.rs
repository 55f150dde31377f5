//! Liveness of nodes according to the membership.

use verbenahead_membership::{MemberState, MembershipHandle};
use verbenahead_state::ledger::Claimant;

use crate::node::liveness::Liveness;

/// `MemberLiveness` treats an incarnation of a node as ended when the membership lists it as dead
/// or lists a later incarnation. A node that the membership does not list may be alive.
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
