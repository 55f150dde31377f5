//! Exchanges of all members with another node.

use std::net::SocketAddr;

use rand::{Rng as _, seq::IndexedRandom as _};
use tokio::time::Instant;

use super::{Call, Detector};
use crate::{
    errors::Result,
    member::Member,
    message::{MemberExchange, StateDigest},
};

/// One exchange of this many goes to a seed or to a dead member, so that parted groups meet again.
const REJOIN_EXCHANGE_RATIO: u32 = 4;

/// Seeds that are asked at the same time while no other member is known or some were not asked yet.
const JOIN_EXCHANGES: usize = 3;

impl Detector {
    /// Takes one half of an exchange and returns the other.
    pub fn exchange_received(&mut self, exchange: &MemberExchange, now: Instant) -> MemberExchange {
        self.observe_time(now);
        let digest = self.digest();
        let is_equal = exchange.digest == digest;
        let is_request = exchange.members.is_empty();
        self.heard(&exchange.from, &exchange.members, now);
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

    /// Takes the answer to an exchange and returns the calls to make.
    pub fn exchange_finished(
        &mut self,
        peer: SocketAddr,
        result: &Result<MemberExchange>,
        now: Instant,
    ) -> Vec<Call> {
        self.observe_time(now);
        let Ok(answer) = result else {
            return Vec::new();
        };
        self.learn(answer, now);
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
        let unasked = self.unasked_seeds(&alive);
        let is_joining = alive.is_empty() || !unasked.is_empty();
        let (period, count) = if is_joining {
            (self.options.probe_period, JOIN_EXCHANGES)
        } else {
            (self.options.exchange_period, 1)
        };
        self.next_exchange_at = now + period;
        let is_rejoin = alive.is_empty() || self.rng.random_ratio(1, REJOIN_EXCHANGE_RATIO);
        let candidates = if !unasked.is_empty() {
            unasked
        } else if is_rejoin {
            self.lost_addresses()
        } else {
            alive
        };
        let peers: Vec<_> = candidates
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        self.asked_seeds.extend(&peers);
        peers.into_iter().map(|peer| self.exchange(peer)).collect()
    }

    /// Returns the seeds that no exchange went to yet and at which no live member is known.
    ///
    /// Nodes that start at the same time may find only each other among the addresses of nodes
    /// that are gone. Each address is asked once soon, so that such a group meets the others.
    fn unasked_seeds(&self, alive: &[SocketAddr]) -> Vec<SocketAddr> {
        let is_unasked = |seed: &&SocketAddr| {
            **seed != self.me.address && !self.asked_seeds.contains(*seed) && !alive.contains(*seed)
        };
        self.seeds.iter().filter(is_unasked).copied().collect()
    }

    /// Returns the seeds and the addresses of members that are not alive, without this node's own.
    fn lost_addresses(&self) -> Vec<SocketAddr> {
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

    /// Takes all members of another node. A node that joins passes nothing on, because the others
    /// know each other already.
    fn learn(&mut self, answer: &MemberExchange, now: Instant) {
        let is_joining = !self.table.members().any(Member::is_alive);
        if !is_joining {
            self.heard(&answer.from, &answer.members, now);
            return;
        }
        for member in &answer.members {
            if member.node != self.me.node {
                self.table.claim(member, now);
            }
        }
        let own = answer
            .members
            .iter()
            .filter(|member| member.node == self.me.node);
        let own: Vec<_> = own.cloned().collect();
        self.heard(&answer.from, &own, now);
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
