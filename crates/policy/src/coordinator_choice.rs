//! Choice of the node that coordinates the placement of prompts at a replica.

use std::time::Duration;

use verbenahead_core::{HashMap, NodeId};

use crate::{
    collector_choice::{CollectorChoice, CollectorChoiceOptions},
    time::Timestamp,
};

/// Missing answers in a row after which a coordinator is passed over. With 3 in 100 messages lost, 6 in 100
/// inquiries have no answer, and coordinators passed over by some nodes only know a part of the prompts.
const MAX_MISSING: u32 = 2;

/// `CoordinatorChoice` ranks the nodes as coordinators of a replica and passes over those that recently did not
/// answer twice in a row.
#[derive(Debug, Clone)]
pub struct CoordinatorChoice {
    choice: CollectorChoice,
    missing: HashMap<NodeId, u32>,
}

impl Default for CoordinatorChoice {
    fn default() -> Self {
        Self {
            choice: CollectorChoice::new(CollectorChoiceOptions {
                // Nodes of an older version never answer.
                max_suspicion: Duration::from_secs(64),
                ..CollectorChoiceOptions::default()
            }),
            missing: HashMap::default(),
        }
    }
}

impl CoordinatorChoice {
    /// Returns the node among `nodes` that coordinates a replica, or `None` if all are passed over.
    pub fn coordinator<'a>(
        &self,
        replica: u32,
        nodes: impl IntoIterator<Item = &'a NodeId>,
        now: Timestamp,
    ) -> Option<&'a NodeId> {
        self.choice.collector(replica, nodes, now)
    }

    /// Records that a node did not answer in time. Returns whether it is passed over from now on.
    pub fn record_missing(&mut self, node: &NodeId, now: Timestamp) -> bool {
        let missing = self.missing.entry(node.clone()).or_default();
        *missing += 1;
        let is_silent = *missing >= MAX_MISSING && !self.choice.is_suspected(node, now);
        if is_silent {
            self.choice.suspect(node, now);
        }
        is_silent
    }

    /// Records that a node answered.
    pub fn record_answer(&mut self, node: &NodeId) {
        self.missing.remove(node);
        self.choice.clear(node);
    }

    /// Forgets the nodes that are not among `nodes`.
    pub fn retain(&mut self, is_known: impl Fn(&NodeId) -> bool) {
        self.missing.retain(|node, _| is_known(node));
    }
}
