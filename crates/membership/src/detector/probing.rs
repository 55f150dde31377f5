//! Direct and indirect probes of members.

use std::time::Duration;

use rand::{Rng as _, seq::IndexedRandom as _};
use tokio::time::Instant;
use verbenahead_core::NodeId;

use super::{Call, Detector};
use crate::{
    errors::{Error, Result},
    member::{Member, MemberState},
    member_chart::MemberEvent,
    message::{Ack, IndirectProbe, Ping, StateDigest},
    probe::{Probe, ProbeId, ProbeOutcome},
    probe_ring::probe_targets,
};

/// Number of consecutive failed probes after which a member is suspected although no helper
/// answered.
const MAX_UNCONFIRMED_FAILURES: u32 = 3;

impl Detector {
    /// Applies a ping and returns the answer.
    ///
    /// # Errors
    ///
    /// [`Error::WrongNode`] when the ping is addressed to another node.
    pub fn ping_received(&mut self, ping: &Ping, now: Instant) -> Result<Ack> {
        self.detect_freeze(now);
        if ping.to != self.me.node {
            return Err(Error::WrongNode {
                wanted: ping.to.clone(),
                actual: self.me.node.clone(),
            });
        }
        self.apply_message(&ping.from, &ping.claims, now);
        Ok(Ack {
            from: self.me.clone(),
            claims: self.claims_for(&ping.from.node),
            news: StateDigest::default(),
        })
    }

    /// Applies the result of a ping and returns the calls to make.
    pub fn ping_finished(
        &mut self,
        probe: Option<ProbeId>,
        result: &Result<Ack>,
        now: Instant,
    ) -> Vec<Call> {
        self.detect_freeze(now);
        let probe = probe.filter(|probe| self.probes.contains_key(probe));
        match result {
            Ok(ack) => {
                self.apply_message(&ack.from, &ack.claims, now);
                self.table.record_answer(&ack.from.node);
                if let Some(probe) = probe {
                    self.probes.remove(&probe);
                    self.health.improve();
                }
                Vec::new()
            }
            Err(_) => probe.map_or_else(Vec::new, |probe| self.ask_helpers(probe, now)),
        }
    }

    /// Applies the answer of a helper.
    pub fn indirect_probe_finished(&mut self, probe: ProbeId, result: &Result<bool>, now: Instant) {
        self.detect_freeze(now);
        if result.is_ok() {
            self.last_contact = now;
        }
        let Some(state) = self.probes.get_mut(&probe) else {
            return;
        };
        if let Some(outcome) = state.helper_answered(result.as_ref().ok().copied()) {
            self.finish_probe(probe, outcome, now);
        }
    }

    /// Returns a ping for each member that this node probes.
    pub(super) fn ping_all_targets(&mut self) -> Vec<Call> {
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

    fn targets(&self) -> Vec<NodeId> {
        let others: Vec<_> = self.table.present().map(|m| m.node.clone()).collect();
        probe_targets(&self.me.node, &others)
    }

    pub(super) fn start_probe(&mut self) -> Option<Call> {
        let member = self.next_target()?;
        Some(self.probe(&member))
    }

    /// Probes once more the suspects that did not refute the suspicion in time.
    ///
    /// A node whose probe targets include the suspect does so first. The others wait twice as long,
    /// so that they need not probe the suspect at all once it has been declared dead.
    pub(super) fn probe_overdue_suspects(&mut self, now: Instant) -> Vec<Call> {
        let is_suspect = |member: &&Member| member.state == MemberState::Suspect;
        let mut suspects: Vec<_> = self.table.members().filter(is_suspect).cloned().collect();
        if suspects.is_empty() {
            return Vec::new();
        }
        let targets = self.targets();
        let timeout = self.suspicion_timeout();
        suspects.retain(|suspect| {
            let factor = if targets.contains(&suspect.node) {
                1
            } else {
                2
            };
            let node = &suspect.node;
            let is_probed = self.probes.values().any(|probe| probe.target == *node);
            !is_probed
                && self
                    .table
                    .is_overdue(node, factor * timeout, self.last_contact, now)
        });
        suspects.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        suspects.iter().map(|suspect| self.probe(suspect)).collect()
    }

    fn suspicion_timeout(&self) -> Duration {
        self.options.suspicion_timeout * self.health.factor()
    }

    fn probe(&mut self, member: &Member) -> Call {
        let id = self.next_probe;
        self.next_probe = id.next();
        let probe = Probe::new(member.node.clone(), member.address);
        self.probes.insert(id, probe);
        self.ping(member, Some(id))
    }

    /// Returns the next member to probe. Each round covers all targets in a new random order.
    fn next_target(&mut self) -> Option<Member> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round = self.targets();
            }
            if self.probe_round.is_empty() {
                return None;
            }
            let index = self.rng.random_range(..self.probe_round.len());
            let node = self.probe_round.swap_remove(index);
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

    /// Starts the indirect probes after a direct ping failed.
    fn ask_helpers(&mut self, id: ProbeId, now: Instant) -> Vec<Call> {
        let Some(probe) = self.probes.get(&id) else {
            return Vec::new();
        };
        let target = probe.target.clone();
        let request = IndirectProbe {
            target: target.clone(),
            address: probe.address,
        };
        let mut candidates: Vec<_> = self
            .table
            .members()
            .filter(|member| member.is_alive() && member.node != target)
            .map(|member| member.address)
            .collect();
        candidates.sort_unstable();
        let helpers: Vec<_> = candidates
            .choose_multiple(&mut self.rng, self.options.indirect_probes)
            .copied()
            .collect();
        let Some(probe) = self.probes.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(outcome) = probe.wait_for(helpers.len()) {
            self.finish_probe(id, outcome, now);
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

    fn finish_probe(&mut self, id: ProbeId, outcome: ProbeOutcome, now: Instant) {
        let Some(probe) = self.probes.remove(&id) else {
            return;
        };
        let node = probe.target;
        match outcome {
            ProbeOutcome::Reached => {
                self.table.record_answer(&node);
                self.table.restart_timer(&node, now);
            }
            ProbeOutcome::Failed => self.probe_failed(&node, now),
            ProbeOutcome::Unconfirmed => {
                self.health.degrade();
                self.table.restart_timer(&node, now);
                if self.table.record_unconfirmed_failure(&node) >= MAX_UNCONFIRMED_FAILURES {
                    let event = MemberEvent::ProbeUnconfirmed;
                    let change = self.table.observe(&node, event, false, now);
                    self.gossip_change(change);
                }
            }
        }
    }

    fn probe_failed(&mut self, node: &NodeId, now: Instant) {
        let timeout = self.suspicion_timeout();
        let is_overdue = self.table.is_overdue(node, timeout, self.last_contact, now);
        let event = MemberEvent::ProbeFailed;
        let change = self.table.observe(node, event, is_overdue, now);
        self.gossip_change(change);
    }

    /// Returns a ping of a member on behalf of another node that could not reach it.
    pub fn relayed_ping(&mut self, to: NodeId) -> Ping {
        Ping {
            claims: self.claims_for(&to),
            to,
            from: self.me.clone(),
            news: StateDigest::default(),
        }
    }
}
