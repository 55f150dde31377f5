//! Regular work of the quotas that all nodes share: which quotas this node collects, and which nodes it reaches.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::IndexedRandom;
use verbenahead_core::{HashSet, NodeId};
use verbenahead_manifest::RouteTable;
use verbenahead_membership::{NameKey, QuotaMessage, Roster};
use verbenahead_policy::{Timestamp, first_choice, is_preferred};

use super::{SharedQuotas, State};

/// Number of random nodes that are probed in a step.
const PROBES_PER_STEP: usize = 4;

/// Number of suspected nodes that are probed in a step, which is 0.6 KB/s each way.
const MAX_SUSPECTS_PER_STEP: usize = 4;

impl SharedQuotas {
    /// Records that the process runs, updates the quotas that this node collects, and probes other
    /// nodes as required. Call it every quarter of a second.
    pub fn step(self: &Arc<Self>, routes: Option<&RouteTable>) {
        let now = self.now();
        let (needs_reach, suspects) = {
            let roster = self.roster.lock();
            let mut state = self.lock();
            let reach = state.probes.ratio(now);
            state.collector.step(reach, now);
            state.forget_unused_replicas();
            state.forget_late_answers(now);
            if let Some(routes) = routes {
                self.update_collected(&mut state, &roster, routes, now);
            }
            (
                state.collector.needs_reach(now),
                self.replaced(&state, &roster, now),
            )
        };
        if needs_reach {
            self.probe_sample(now);
        }
        for (node, address) in suspects {
            self.probe_suspect(&node, address, now);
        }
    }

    /// Returns the number of collectors that this node passes over, and of quotas for which it stands in.
    pub fn suspected_and_stand_ins(&self) -> (usize, usize) {
        let now = self.now();
        let state = self.lock();
        let stand_ins = state.collector.stand_ins().count();
        (state.choice.suspected_count(now), stand_ins)
    }

    /// Updates the quotas whose first choice is this node.
    fn update_collected(
        &self,
        state: &mut State,
        roster: &Roster,
        routes: &RouteTable,
        now: Timestamp,
    ) {
        let as_of = Some((roster.revision(), routes.generation().0));
        if !self.is_listed() || std::mem::replace(&mut state.collecting_as_of, as_of) == as_of {
            return;
        }
        let known: HashSet<&NodeId> = roster.serving_nodes().collect();
        state.timing.retain(|node| known.contains(node));
        let before = std::mem::take(&mut state.collecting_since);
        for workspace in routes.workspaces().filter(|w| w.quota.is_some()) {
            let key = NameKey::from(&workspace.id);
            let nodes = roster.serving_nodes().chain([&self.own]);
            if first_choice(key.0, nodes) == Some(&self.own) {
                let since = before.get(&key).copied().unwrap_or(now);
                state.collecting_since.insert(key, since);
            }
        }
        let is_first = |quota: &NameKey| {
            let nodes = roster.serving_nodes().chain([&self.own]);
            first_choice(quota.0, nodes) == Some(&self.own)
        };
        state.replicas_since.retain(|quota, _| is_first(quota));
    }

    /// Returns suspected nodes that this node stands in for, with their addresses: those that precede it, since
    /// each of them collects the quota if it is alive.
    fn replaced(
        &self,
        state: &State,
        roster: &Roster,
        now: Timestamp,
    ) -> Vec<(NodeId, SocketAddr)> {
        let mut replaced = Vec::new();
        for quota in state.collector.stand_ins() {
            let nodes = roster.serving_nodes().filter(|node| {
                is_preferred(quota, node, &self.own) && state.choice.is_suspected(node, now)
            });
            for node in nodes {
                if replaced.len() >= MAX_SUSPECTS_PER_STEP {
                    return replaced;
                }
                if let Some(address) = roster.address_of(node)
                    && !replaced.iter().any(|(other, _)| other == node)
                {
                    replaced.push((node.clone(), address));
                }
            }
        }
        replaced
    }

    /// Probes some random nodes, to learn which part of the nodes this one is in contact with.
    fn probe_sample(&self, now: Timestamp) {
        let addresses = self.roster.lock().addresses();
        for to in addresses.choose_multiple(&mut rand::rng(), PROBES_PER_STEP) {
            let number = self.next_number();
            self.lock().probes.record_sent(number, now);
            self.transport.send(*to, &QuotaMessage::Probe { number });
        }
    }

    /// Probes a suspected node. An answer in time or late ends the suspicion if the time that is then allowed to
    /// the node is long enough, so that this node soon stops standing in for it.
    fn probe_suspect(&self, node: &NodeId, address: SocketAddr, now: Timestamp) {
        let number = self.next_number();
        self.lock().expect_answer(number, node, None, now);
        self.transport
            .send(address, &QuotaMessage::Probe { number });
    }
}
