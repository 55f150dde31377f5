//! SWIM-style failure detector, which tracks the members that are alive, leaving, suspect or dead.
//!
//! The detector performs no I/O. Its methods take the current time and the messages that arrived,
//! and return the calls to make.

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

/// `Call` is a network call that the owner of a detector has to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Send a ping and report the answer to [`Detector::ping_finished`].
    Ping {
        /// Probe to which the ping belongs, or `None` when its outcome is not evaluated.
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

/// `Detector` is the membership of one node as a state machine without I/O.
pub struct Detector {
    options: MembershipOptions,
    me: Member,
    table: MemberTable,
    gossip: GossipQueue,
    health: LocalHealth,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    /// Seeds to which an exchange was started.
    contacted_seeds: HashSet<SocketAddr>,
    /// Probes in progress.
    probes: HashMap<ProbeId, Probe>,
    next_probe: ProbeId,
    /// Members that are still to be probed in the current round.
    probe_round: Vec<NodeId>,
    next_probe_at: Instant,
    next_exchange_at: Instant,
    /// Time of the last message from another member.
    last_contact: Instant,
    /// Latest time that was passed to the detector. A gap reveals a freeze.
    last_activity: Instant,
    /// Number of changes to this node's own entry.
    own_version: u64,
}

impl Detector {
    /// Builds the detector of a node that knows only itself.
    ///
    /// # Errors
    ///
    /// [`Error::Chart`](crate::Error::Chart) when the embedded state chart is invalid.
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
            contacted_seeds: HashSet::default(),
            probes: HashMap::default(),
            next_probe: ProbeId::default(),
            probe_round: Vec::new(),
            next_probe_at: now,
            next_exchange_at: now,
            last_contact: now,
            last_activity: now,
            own_version: 0,
        })
    }

    /// Returns this node's own entry.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns all known members including this node, sorted by id.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<_> = self.table.members().cloned().collect();
        members.push(self.me.clone());
        members.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        members
    }

    /// Returns a counter that increases whenever [`members`](Self::members) changes.
    pub fn version(&self) -> u64 {
        self.table.version() + self.own_version
    }

    /// Returns the current timeout of a probe.
    pub fn probe_timeout(&self) -> Duration {
        self.options.probe_timeout * self.health.factor()
    }

    /// Replaces the seeds, the addresses at which other nodes may be found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.contacted_seeds.retain(|seed| seeds.contains(seed));
        if seeds.iter().any(|seed| !self.seeds.contains(seed)) {
            // New seeds are contacted at the next tick.
            self.next_exchange_at = self.last_activity;
        }
        self.seeds = seeds;
    }

    /// Performs the work that is due and returns the calls to make. After
    /// [`depart`](Self::depart) there are none, so that the calls in progress can finish.
    pub fn tick(&mut self, now: Instant) -> Vec<Call> {
        self.detect_freeze(now);
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

    /// Announces that this node is draining. Returns the calls to make.
    pub fn leave(&mut self) -> Vec<Call> {
        if self.me.state == MemberState::Leaving {
            return Vec::new();
        }
        self.announce_self(MemberState::Leaving);
        self.ping_all_targets()
    }

    /// Announces that this node is about to stop. Returns the calls to make.
    pub fn depart(&mut self) -> Vec<Call> {
        self.announce_self(MemberState::Dead);
        self.ping_all_targets()
    }

    /// Detects that the process was frozen. All timeouts that ran meanwhile are restarted, because
    /// answers may have been lost on this node's side.
    fn detect_freeze(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_activity);
        self.last_activity = now;
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
        self.last_contact = now;
        self.next_exchange_at = now;
        self.next_probe_at = now;
    }

    /// Removes dead members whose retention time has passed.
    fn expire(&mut self, now: Instant) {
        for node in self.table.expired_dead(self.options.dead_retention, now) {
            let event = MemberEvent::RetentionExpired;
            let change = self.table.observe(&node, event, false, now);
            self.gossip_change(change);
        }
    }
}
