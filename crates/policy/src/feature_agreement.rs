//! Decides which features all nodes may use while nodes of different builds run side by side.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::{FeatureLevel, NodeId};

/// `FeatureView` is what a node knows of the features of all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeatureView {
    /// Level that this build knows.
    pub known: FeatureLevel,
    /// Level that was in force last, as the table has it, if it was read.
    pub remembered: Option<FeatureLevel>,
    /// Time since the list of nodes was first read, or `None` if it was not.
    pub listed_for: Option<Duration>,
    /// Levels that the other nodes announced; `None` for a node that no report has arrived of.
    pub others: BTreeMap<NodeId, Option<FeatureLevel>>,
}

/// `FeatureDecision` is the level in force, with its reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FeatureDecision {
    /// Level in force.
    pub level: FeatureLevel,
    /// Nodes that hold the level below the one that this build knows.
    pub held_back_by: Vec<NodeId>,
    /// Whether the level follows from what all nodes announced, rather than from the start of this node.
    pub is_settled: bool,
}

/// Time after the first reading of the list in which a listed node is awaited. A node that runs answers the first
/// report of a starting one at once; the rows of those that ended are listed too.
pub const LISTED_WAIT: Duration = Duration::from_secs(5);

/// Decides the level in force: the lowest that any node is known to know. Until the list of nodes was read and its
/// nodes were heard of or awaited for [`LISTED_WAIT`], the level is 0. A node that is not heard of after that
/// counts with the level that is remembered, since all nodes had announced it when it came in force.
pub fn features_in_force(view: &FeatureView) -> FeatureDecision {
    let Some(listed_for) = view.listed_for else {
        return FeatureDecision::default();
    };
    let is_awaited = listed_for < LISTED_WAIT;
    let assumed = match is_awaited {
        true => FeatureLevel::UNSTATED,
        false => view.remembered.unwrap_or_default(),
    };
    let level_of = |announced: &Option<FeatureLevel>| announced.unwrap_or(assumed);
    let level = view.others.values().map(level_of).min();
    let behind = view
        .others
        .iter()
        .filter(|(_, announced)| level_of(announced) < view.known);
    FeatureDecision {
        level: level.map_or(view.known, |level| level.min(view.known)),
        held_back_by: behind.map(|(node, _)| node.clone()).collect(),
        is_settled: !is_awaited || view.others.values().all(Option::is_some),
    }
}
