//! Claims about members, made by this node or received from others.

use tokio::time::Instant;
use verbenahead_core::{Incarnation, NodeId};

use super::Detector;
use crate::{
    member::{Member, MemberState},
    member_table::Change,
};

impl Detector {
    /// Sets this node's own state and gossips it with a new incarnation.
    pub(super) fn announce_self(&mut self, state: MemberState) {
        self.me.state = state;
        self.me.incarnation = self.me.incarnation.next();
        self.own_version += 1;
        self.gossip.push(self.me.clone());
    }

    /// Returns the claims for a message to `node`. If this node holds it to be suspect or dead, the
    /// claims include that one, so that the node can refute it.
    pub(super) fn claims_for(&mut self, node: &NodeId) -> Vec<Member> {
        let members = self.table.present().count() + 1;
        let rounds = members.ilog2() + 1;
        let limit = self.options.retransmit_factor * rounds;
        let mut claims = self.gossip.take(self.options.max_claim_bytes, limit);
        let suspicion = self
            .table
            .get(node)
            .filter(|member| matches!(member.state, MemberState::Suspect | MemberState::Dead));
        if let Some(suspicion) = suspicion
            && !claims.contains(suspicion)
        {
            claims.push(suspicion.clone());
        }
        claims
    }

    /// Applies the sender and the claims of a message.
    pub(super) fn apply_message(&mut self, from: &Member, claims: &[Member], now: Instant) {
        self.last_contact = now;
        self.apply_claim(from, now);
        for claim in claims {
            self.apply_claim(claim, now);
        }
    }

    fn apply_claim(&mut self, claim: &Member, now: Instant) {
        if claim.node == self.me.node {
            self.refute(claim);
            return;
        }
        let change = self.table.apply_claim(claim, now);
        self.gossip_change(change);
    }

    /// Refutes a claim about this node that differs from its own state, by raising its incarnation
    /// above that of the claim.
    fn refute(&mut self, claim: &Member) {
        if claim.incarnation < self.me.incarnation || *claim == self.me {
            return;
        }
        self.me.incarnation = Incarnation(claim.incarnation.0.saturating_add(1));
        self.own_version += 1;
        self.health.degrade();
        self.gossip.push(self.me.clone());
    }

    /// Logs a change and queues it if it has to be gossiped.
    pub(super) fn gossip_change(&mut self, change: Option<Change>) {
        let Some(change) = change else {
            return;
        };
        tracing::debug!(
            member = %change.member.node,
            state = %change.member.state,
            incarnation = %change.member.incarnation,
            "member changed"
        );
        if change.must_gossip {
            self.gossip.push(change.member);
        }
    }
}
