//! Choice of the node that collects a quota.

use std::time::Duration;

use verbenahead_core::{HashMap, NodeId};

use crate::{hash::rendezvous_score, time::Timestamp};

/// `CollectorChoiceOptions` sets how long a node that did not answer is passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CollectorChoiceOptions {
    /// Time for which a node is passed over after its first missing answer.
    pub first_suspicion: Duration,
    /// Upper bound of that time, which doubles with each further missing answer.
    pub max_suspicion: Duration,
}

impl Default for CollectorChoiceOptions {
    fn default() -> Self {
        Self {
            first_suspicion: Duration::from_secs(2),
            max_suspicion: Duration::from_secs(16),
        }
    }
}

/// `CollectorChoice` ranks the nodes as collectors of a quota and passes over those that recently
/// did not answer.
#[derive(Debug, Clone, Default)]
pub struct CollectorChoice {
    options: CollectorChoiceOptions,
    suspects: HashMap<NodeId, Suspicion>,
}

#[derive(Debug, Clone, Copy)]
struct Suspicion {
    duration: Duration,
    until: Timestamp,
}

impl CollectorChoice {
    /// Builds a choice that suspects no node.
    pub fn new(options: CollectorChoiceOptions) -> Self {
        Self {
            options,
            suspects: HashMap::default(),
        }
    }

    /// Returns the node among `nodes` that collects the quota of `workspace`, or `None` if all are
    /// suspected.
    pub fn collector<'a>(
        &self,
        workspace: u32,
        nodes: impl IntoIterator<Item = &'a NodeId>,
        now: Timestamp,
    ) -> Option<&'a NodeId> {
        let nodes = nodes
            .into_iter()
            .filter(|node| !self.is_suspected(node, now));
        first_choice(workspace, nodes)
    }

    /// Records that a node did not answer in time.
    pub fn suspect(&mut self, node: &NodeId, now: Timestamp) {
        let before = self.suspects.get(node).map(|suspicion| suspicion.duration);
        let duration = before.map_or(self.options.first_suspicion, |before| {
            (before * 2).min(self.options.max_suspicion)
        });
        let until = now.plus(duration);
        self.suspects
            .insert(node.clone(), Suspicion { duration, until });
    }

    /// Records that a node was heard from. Returns whether it had been suspected.
    pub fn clear(&mut self, node: &NodeId) -> bool {
        self.suspects.remove(node).is_some()
    }

    /// Returns the number of nodes that are passed over.
    pub fn suspected_count(&self, now: Timestamp) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| now < suspect.until).count()
    }

    /// Returns whether a node is passed over.
    pub fn is_suspected(&self, node: &NodeId, now: Timestamp) -> bool {
        self.suspects
            .get(node)
            .is_some_and(|suspicion| now < suspicion.until)
    }
}

/// Returns the first `count` choices among `nodes` for a key, the first one first.
pub fn first_choices<'a>(
    key: u64,
    nodes: impl IntoIterator<Item = &'a NodeId>,
    count: usize,
) -> Vec<&'a NodeId> {
    let score = |node: &NodeId| rendezvous_score(key, node.as_str());
    let mut scored: Vec<(u64, &NodeId)> = nodes.into_iter().map(|n| (score(n), n)).collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, node)| node).collect()
}

/// Returns the first choice among `nodes` for the quota of `workspace`, or `None` without nodes.
pub fn first_choice<'a>(
    workspace: u32,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let score = |node: &NodeId| rendezvous_score(u64::from(workspace), node.as_str());
    nodes.into_iter().max_by_key(|node| (score(node), *node))
}

/// Returns whether `node` precedes `other` as collector of the quota of `workspace`.
pub fn is_preferred(workspace: u32, node: &NodeId, other: &NodeId) -> bool {
    let score = |node: &NodeId| rendezvous_score(u64::from(workspace), node.as_str());
    (score(node), node) > (score(other), other)
}

/// Returns the number of nodes among `nodes` that precede `own` as collectors of the quota of `workspace`.
pub fn stand_in_rank<'a>(
    workspace: u32,
    own: &NodeId,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> u32 {
    let nodes = nodes.into_iter();
    let before = nodes.filter(|node| is_preferred(workspace, node, own));
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
