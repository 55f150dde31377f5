//! Full exchanges of members with another node (anti-entropy).

use std::net::SocketAddr;

use rand::{Rng as _, seq::IndexedRandom as _};
use tokio::time::Instant;

use super::{Call, Detector};
use crate::{
    errors::Result,
    member::Member,
    message::{MemberExchange, StateDigest},
};

/// One in this many exchanges, on average, goes to a seed or to a member that is not alive, so that
/// groups separated by a network partition merge again.
const REJOIN_EXCHANGE_RATIO: u32 = 4;

/// Number of concurrent exchanges while no other member is alive or some seeds were not contacted
/// yet.
const JOIN_EXCHANGES: usize = 3;

impl Detector {
    /// Applies the request of an exchange and returns the answer.
    pub fn exchange_received(&mut self, exchange: &MemberExchange, now: Instant) -> MemberExchange {
        self.detect_freeze(now);
        let digest = self.digest();
        let is_equal = exchange.digest == digest;
        let is_request = exchange.members.is_empty();
        self.apply_message(&exchange.from, &exchange.members, now);
        let members = if is_equal || !is_request {
            Vec::new()
        } else {
            self.table.members().cloned().collect()
        };
        MemberExchange {
            from: self.me.clone(),
            digest,
            members,
        }
    }

    /// Applies the answer to an exchange and returns the calls to make.
    pub fn exchange_finished(
        &mut self,
        peer: SocketAddr,
        result: &Result<MemberExchange>,
        now: Instant,
    ) -> Vec<Call> {
        self.detect_freeze(now);
        let Ok(answer) = result else {
            return Vec::new();
        };
        self.merge_members(answer, now);
        if answer.members.is_empty() || self.digest() == answer.digest {
            return Vec::new();
        }
        let exchange = MemberExchange {
            from: self.me.clone(),
            digest: self.digest(),
            members: self.table.members().cloned().collect(),
        };
        vec![Call::Exchange { peer, exchange }]
    }

    pub(super) fn start_exchanges(&mut self, now: Instant) -> Vec<Call> {
        let mut alive: Vec<_> = self
            .table
            .members()
            .filter(|member| member.is_alive())
            .map(|member| member.address)
            .collect();
        alive.sort_unstable();
        let uncontacted = self.uncontacted_seeds(&alive);
        let is_joining = alive.is_empty() || !uncontacted.is_empty();
        let (period, count) = if is_joining {
            (self.options.probe_period, JOIN_EXCHANGES)
        } else {
            (self.options.exchange_period, 1)
        };
        self.next_exchange_at = now + period;
        let is_rejoin = alive.is_empty() || self.rng.random_ratio(1, REJOIN_EXCHANGE_RATIO);
        let candidates = if !uncontacted.is_empty() {
            uncontacted
        } else if is_rejoin {
            self.rejoin_addresses()
        } else {
            alive
        };
        let peers: Vec<_> = candidates
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        self.contacted_seeds.extend(&peers);
        peers.into_iter().map(|peer| self.exchange(peer)).collect()
    }

    /// Returns the seeds that were not contacted yet and at which no live member is known.
    ///
    /// When most seeds are addresses of nodes that are gone, nodes that start at the same time may
    /// find only each other. Contacting each seed once soon merges such a group with the others.
    fn uncontacted_seeds(&self, alive: &[SocketAddr]) -> Vec<SocketAddr> {
        let is_uncontacted = |seed: &&SocketAddr| {
            **seed != self.me.address
                && !self.contacted_seeds.contains(*seed)
                && !alive.contains(*seed)
        };
        self.seeds.iter().filter(is_uncontacted).copied().collect()
    }

    /// Returns the seeds and the addresses of members that are not alive, except this node's own.
    fn rejoin_addresses(&self) -> Vec<SocketAddr> {
        let lost = self
            .table
            .members()
            .filter(|member| !member.is_alive())
            .map(|member| member.address);
        let mut addresses: Vec<_> = self.seeds.iter().copied().chain(lost).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.me.address);
        addresses
    }

    /// Merges all members of another node. A node that is joining does not gossip them, because the
    /// others know each other already.
    fn merge_members(&mut self, answer: &MemberExchange, now: Instant) {
        let is_joining = !self.table.members().any(Member::is_alive);
        if !is_joining {
            self.apply_message(&answer.from, &answer.members, now);
            return;
        }
        for member in &answer.members {
            if member.node != self.me.node {
                self.table.apply_claim(member, now);
            }
        }
        let own = answer
            .members
            .iter()
            .filter(|member| member.node == self.me.node);
        let own: Vec<_> = own.cloned().collect();
        self.apply_message(&answer.from, &own, now);
    }

    fn exchange(&self, peer: SocketAddr) -> Call {
        Call::Exchange {
            peer,
            exchange: MemberExchange {
                from: self.me.clone(),
                digest: self.digest(),
                members: Vec::new(),
            },
        }
    }

    fn digest(&self) -> StateDigest {
        self.table.digest(&self.me)
    }
}
