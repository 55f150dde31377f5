//! The failure detector: which members are alive, leaving, suspect or dead.
//!
//! The detector does no input or output. It is told the time and what arrived, and returns the
//! calls to make.

mod claiming;
mod exchanging;
mod probing;

use std::{net::SocketAddr, time::Duration};

use rand::rngs::StdRng;
use tokio::time::Instant;
use verbenahead_core::{HashMap, HashSet, NodeId};

use crate::{
    errors::Result,
    gossip::GossipQueue,
    health::LocalHealth,
    member::{Member, MemberState, NodeIdentity},
    member_chart::{MemberEvent, member_chart},
    member_table::MemberTable,
    message::{IndirectProbe, MemberExchange, Ping},
    options::MembershipOptions,
    probe::{Probe, ProbeId},
};

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
    asked_seeds: HashSet<SocketAddr>,
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
            asked_seeds: HashSet::default(),
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
        self.asked_seeds.retain(|seed| seeds.contains(seed));
        if seeds.iter().any(|seed| !self.seeds.contains(seed)) {
            // New addresses are asked at the next tick.
            self.next_exchange_at = self.last_seen;
        }
        self.seeds = seeds;
    }

    /// Carries out what is due and returns the calls to make. After [`depart`](Self::depart) there
    /// are none, so that those under way come to an end.
    pub fn tick(&mut self, now: Instant) -> Vec<Call> {
        self.observe_time(now);
        if self.me.state == MemberState::Dead {
            return Vec::new();
        }
        self.expire(now);
        let mut calls = self.probe_overdue_suspects(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.options.probe_period;
            calls.extend(self.start_probe());
        }
        if now >= self.next_exchange_at {
            calls.extend(self.start_exchanges(now));
        }
        calls
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
        for node in self.table.expired_dead(self.options.dead_retention, now) {
            let event = MemberEvent::RetentionExpired;
            let change = self.table.observe(&node, event, false, now);
            self.pass_on(change);
        }
    }
}
