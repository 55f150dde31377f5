//! Claims about members, from this node and from others.

use tokio::time::Instant;
use verbenahead_core::{Incarnation, NodeId};

use super::Detector;
use crate::{
    member::{Member, MemberState},
    member_table::Change,
};

impl Detector {
    pub(super) fn announce_self(&mut self, state: MemberState) {
        self.me.state = state;
        self.me.incarnation = self.me.incarnation.next();
        self.own_changes += 1;
        self.gossip.push(self.me.clone());
    }

    /// Returns the claims for a message to `node`. A suspect is always told of the suspicion, so
    /// that it can refute it.
    pub(super) fn claims_for(&mut self, node: &NodeId) -> Vec<Member> {
        let members = self.table.present().count() + 1;
        let rounds = members.ilog2() + 1;
        let limit = self.options.retransmit_factor * rounds;
        let mut claims = self.gossip.take(self.options.max_claim_bytes, limit);
        let accused = self
            .table
            .get(node)
            .filter(|member| matches!(member.state, MemberState::Suspect | MemberState::Dead));
        if let Some(accused) = accused
            && !claims.contains(accused)
        {
            claims.push(accused.clone());
        }
        claims
    }

    pub(super) fn heard(&mut self, from: &Member, claims: &[Member], now: Instant) {
        self.last_heard = now;
        self.claim(from, now);
        for claim in claims {
            self.claim(claim, now);
        }
    }

    fn claim(&mut self, claim: &Member, now: Instant) {
        if claim.node == self.me.node {
            self.refute(claim);
            return;
        }
        let change = self.table.claim(claim, now);
        self.pass_on(change);
    }

    /// Outbids a claim about this node that is not what it says of itself.
    fn refute(&mut self, claim: &Member) {
        if claim.incarnation < self.me.incarnation || *claim == self.me {
            return;
        }
        self.me.incarnation = Incarnation(claim.incarnation.0.saturating_add(1));
        self.own_changes += 1;
        self.health.degrade();
        self.gossip.push(self.me.clone());
    }

    pub(super) fn pass_on(&mut self, change: Option<Change>) {
        let Some(change) = change else {
            return;
        };
        tracing::debug!(
            member = %change.member.node,
            state = %change.member.state,
            incarnation = %change.member.incarnation,
            "member changed"
        );
        if change.is_news {
            self.gossip.push(change.member);
        }
    }
}
