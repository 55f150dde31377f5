//! The failure detector: which members are alive, leaving, suspect or dead.
//!
//! The detector does no input or output. It is told the time and what arrived, and returns the
//! calls to make.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng as _, rngs::StdRng, seq::IndexedRandom as _};
use tokio::time::Instant;
use verbenahead_core::{HashMap, Incarnation, NodeId};

use crate::{
    errors::{Error, Result},
    gossip::GossipQueue,
    health::LocalHealth,
    member::{Member, MemberState, NodeIdentity},
    member_chart::{MemberEvent, member_chart},
    member_table::{Change, MemberTable},
    message::{Ack, IndirectProbe, MemberExchange, Ping, StateDigest},
    options::MembershipOptions,
    probe::{Probe, ProbeId, Verdict},
    probe_ring::probe_targets,
};

/// Failed probes in turn after which a member is suspected although no helper answered.
const MAX_UNCONFIRMED_FAILURES: u32 = 3;

/// One exchange of this many goes to a seed or to a dead member, so that parted groups meet again.
const REJOIN_EXCHANGE_RATIO: u32 = 4;

/// Seeds that are asked at the same time while no other member is known.
const JOIN_EXCHANGES: usize = 3;

/// `Call` is a call that the owner of a detector has to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Send a ping and report the answer to [`Detector::ping_finished`].
    Ping {
        /// Probe to which the ping belongs, if its outcome matters.
        probe: Option<ProbeId>,
        /// Address of the member.
        peer: SocketAddr,
        /// The message.
        ping: Ping,
    },
    /// Ask a helper and report the answer to [`Detector::indirect_probe_finished`].
    ProbeIndirectly {
        /// Probe to which the call belongs.
        probe: ProbeId,
        /// Address of the helper.
        peer: SocketAddr,
        /// The message.
        request: IndirectProbe,
    },
    /// Exchange members and report the answer to [`Detector::exchange_finished`].
    Exchange {
        /// Address of the other node.
        peer: SocketAddr,
        /// The message.
        exchange: MemberExchange,
    },
}

/// `Detector` is the membership of one node as a state machine.
pub struct Detector {
    options: MembershipOptions,
    me: Member,
    table: MemberTable,
    gossip: GossipQueue,
    health: LocalHealth,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    probes: HashMap<ProbeId, Probe>,
    next_probe: ProbeId,
    round: Vec<NodeId>,
    next_probe_at: Instant,
    next_exchange_at: Instant,
    last_heard: Instant,
    last_seen: Instant,
    own_changes: u64,
}

impl Detector {
    /// Builds the detector of a node that knows only itself.
    ///
    /// # Errors
    ///
    /// [`Error::Chart`] when the embedded chart is faulty.
    pub fn try_new(
        options: MembershipOptions,
        identity: NodeIdentity,
        seeds: Vec<SocketAddr>,
        rng: StdRng,
        now: Instant,
    ) -> Result<Self> {
        Ok(Self {
            options,
            me: identity.into(),
            table: MemberTable::new(member_chart()?),
            gossip: GossipQueue::default(),
            health: LocalHealth::default(),
            rng,
            seeds,
            probes: HashMap::default(),
            next_probe: ProbeId::default(),
            round: Vec::new(),
            next_probe_at: now,
            next_exchange_at: now,
            last_heard: now,
            last_seen: now,
            own_changes: 0,
        })
    }

    /// Returns this node as it sees itself.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns all known members with this node, in the order of their ids.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<_> = self.table.members().cloned().collect();
        members.push(self.me.clone());
        members.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        members
    }

    /// Returns a number that rises whenever [`members`](Self::members) changes.
    pub fn version(&self) -> u64 {
        self.table.version() + self.own_changes
    }

    /// Returns the time within which a probed member has to answer.
    pub fn probe_timeout(&self) -> Duration {
        self.options.probe_timeout * self.health.factor()
    }

    /// Replaces the addresses at which other nodes may be found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Carries out what is due and returns the calls to make.
    pub fn tick(&mut self, now: Instant) -> Vec<Call> {
        self.observe_time(now);
        self.expire(now);
        let mut calls = Vec::new();
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.options.probe_period;
            calls.extend(self.start_probe());
        }
        if now >= self.next_exchange_at {
            calls.extend(self.start_exchanges(now));
        }
        calls
    }

    /// Takes a ping and returns the answer.
    ///
    /// # Errors
    ///
    /// [`Error::WrongNode`] when the ping was meant for another node.
    pub fn ping_received(&mut self, ping: &Ping, now: Instant) -> Result<Ack> {
        self.observe_time(now);
        if ping.to != self.me.node {
            return Err(Error::WrongNode {
                wanted: ping.to.clone(),
                actual: self.me.node.clone(),
            });
        }
        self.heard(&ping.from, &ping.claims, now);
        Ok(Ack {
            from: self.me.clone(),
            claims: self.claims_for(&ping.from.node),
            news: StateDigest::default(),
        })
    }

    /// Takes the outcome of a ping and returns the calls to make.
    pub fn ping_finished(
        &mut self,
        probe: Option<ProbeId>,
        result: &Result<Ack>,
        now: Instant,
    ) -> Vec<Call> {
        self.observe_time(now);
        let probe = probe.filter(|probe| self.probes.contains_key(probe));
        match result {
            Ok(ack) => {
                self.heard(&ack.from, &ack.claims, now);
                self.table.note_answer(&ack.from.node);
                if let Some(probe) = probe {
                    self.probes.remove(&probe);
                    self.health.improve();
                }
                Vec::new()
            }
            Err(_) => probe.map_or_else(Vec::new, |probe| self.ask_helpers(probe, now)),
        }
    }

    /// Takes the answer of a helper.
    pub fn indirect_probe_finished(&mut self, probe: ProbeId, result: &Result<bool>, now: Instant) {
        self.observe_time(now);
        if result.is_ok() {
            self.last_heard = now;
        }
        let Some(state) = self.probes.get_mut(&probe) else {
            return;
        };
        if let Some(verdict) = state.helper_answered(result.as_ref().ok().copied()) {
            self.conclude(probe, verdict, now);
        }
    }

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
        self.heard(&answer.from, &answer.members, now);
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

    /// Tells the others that this node drains. Returns the calls to make.
    pub fn leave(&mut self) -> Vec<Call> {
        if self.me.state == MemberState::Leaving {
            return Vec::new();
        }
        self.announce_self(MemberState::Leaving);
        self.ping_all_targets()
    }

    /// Tells the others that this node is about to end. Returns the calls to make.
    pub fn depart(&mut self) -> Vec<Call> {
        self.announce_self(MemberState::Dead);
        self.ping_all_targets()
    }

    fn announce_self(&mut self, state: MemberState) {
        self.me.state = state;
        self.me.incarnation = self.me.incarnation.next();
        self.own_changes += 1;
        self.gossip.push(self.me.clone());
    }

    fn ping_all_targets(&mut self) -> Vec<Call> {
        let targets = self.targets();
        let members = targets
            .iter()
            .filter_map(|node| self.table.get(node).cloned());
        let members: Vec<_> = members.collect();
        members
            .iter()
            .map(|member| self.ping(member, None))
            .collect()
    }

    /// Notices that the process was frozen. All timeouts that ran meanwhile are void, because the
    /// answers may have been lost on this side.
    fn observe_time(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_seen);
        self.last_seen = now;
        if gap < self.options.freeze_threshold {
            return;
        }
        tracing::warn!(
            gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX),
            "membership made no progress; its timeouts start again"
        );
        self.probes.clear();
        self.table.restart_timers(now);
        self.health.degrade();
        self.last_heard = now;
        self.next_exchange_at = now;
        self.next_probe_at = now;
    }

    fn expire(&mut self, now: Instant) {
        let timeout = self.options.suspicion_timeout * self.health.factor();
        for node in self.table.expired_suspects(timeout, self.last_heard, now) {
            let change = self
                .table
                .observe(&node, MemberEvent::SuspicionExpired, now);
            self.pass_on(change);
        }
        for node in self.table.expired_dead(self.options.dead_retention, now) {
            let change = self
                .table
                .observe(&node, MemberEvent::RetentionExpired, now);
            self.pass_on(change);
        }
    }

    fn targets(&self) -> Vec<NodeId> {
        let others: Vec<_> = self.table.present().map(|m| m.node.clone()).collect();
        probe_targets(&self.me.node, &others)
    }

    fn start_probe(&mut self) -> Option<Call> {
        let member = self.next_target()?;
        let id = self.next_probe;
        self.next_probe = id.next();
        let probe = Probe::new(member.node.clone(), member.address);
        self.probes.insert(id, probe);
        Some(self.ping(&member, Some(id)))
    }

    /// Returns the members to probe one after another, in a new order in each round.
    fn next_target(&mut self) -> Option<Member> {
        loop {
            if self.round.is_empty() {
                self.round = self.targets();
            }
            if self.round.is_empty() {
                return None;
            }
            let index = self.rng.random_range(..self.round.len());
            let node = self.round.swap_remove(index);
            let member = self.table.get(&node).filter(|m| m.is_present());
            if let Some(member) = member {
                return Some(member.clone());
            }
        }
    }

    fn ping(&mut self, member: &Member, probe: Option<ProbeId>) -> Call {
        Call::Ping {
            probe,
            peer: member.address,
            ping: Ping {
                to: member.node.clone(),
                from: self.me.clone(),
                claims: self.claims_for(&member.node),
                news: StateDigest::default(),
            },
        }
    }

    /// Returns the claims for a message to `node`. A suspect is always told of the suspicion, so
    /// that it can refute it.
    fn claims_for(&mut self, node: &NodeId) -> Vec<Member> {
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

    fn ask_helpers(&mut self, id: ProbeId, now: Instant) -> Vec<Call> {
        let Some(probe) = self.probes.get(&id) else {
            return Vec::new();
        };
        let target = probe.target.clone();
        let request = IndirectProbe {
            target: target.clone(),
            address: probe.address,
        };
        let candidates: Vec<_> = self
            .table
            .members()
            .filter(|member| member.is_alive() && member.node != target)
            .map(|member| member.address)
            .collect();
        let helpers: Vec<_> = candidates
            .choose_multiple(&mut self.rng, self.options.indirect_probes)
            .copied()
            .collect();
        let Some(probe) = self.probes.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(verdict) = probe.wait_for(helpers.len()) {
            self.conclude(id, verdict, now);
        }
        helpers
            .into_iter()
            .map(|peer| Call::ProbeIndirectly {
                probe: id,
                peer,
                request: request.clone(),
            })
            .collect()
    }

    fn conclude(&mut self, id: ProbeId, verdict: Verdict, now: Instant) {
        let Some(probe) = self.probes.remove(&id) else {
            return;
        };
        match verdict {
            Verdict::Reached => self.table.note_answer(&probe.target),
            Verdict::Failed => {
                let change = self
                    .table
                    .observe(&probe.target, MemberEvent::ProbeFailed, now);
                self.pass_on(change);
            }
            Verdict::Unconfirmed => {
                self.health.degrade();
                if self.table.count_unconfirmed(&probe.target) >= MAX_UNCONFIRMED_FAILURES {
                    let event = MemberEvent::ProbeUnconfirmed;
                    let change = self.table.observe(&probe.target, event, now);
                    self.pass_on(change);
                }
            }
        }
    }

    fn start_exchanges(&mut self, now: Instant) -> Vec<Call> {
        let alive: Vec<_> = self
            .table
            .members()
            .filter(|member| member.is_alive())
            .map(|member| member.address)
            .collect();
        let is_alone = alive.is_empty();
        let period = if is_alone {
            self.options.probe_period
        } else {
            self.options.exchange_period
        };
        self.next_exchange_at = now + period;
        let is_rejoin = is_alone || self.rng.random_ratio(1, REJOIN_EXCHANGE_RATIO);
        let candidates = if is_rejoin {
            self.lost_addresses()
        } else {
            alive
        };
        let count = if is_alone { JOIN_EXCHANGES } else { 1 };
        let peers: Vec<_> = candidates
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        peers.into_iter().map(|peer| self.exchange(peer)).collect()
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

    fn heard(&mut self, from: &Member, claims: &[Member], now: Instant) {
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

    fn pass_on(&mut self, change: Option<Change>) {
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
