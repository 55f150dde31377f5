//! A node's view of the deployment.

use std::{fmt, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead_core::{
    AvailabilityZone, Generation, Incarnation, NodeId, ServiceId, VmId, time::UnixMillis,
};

use super::backend::ManifestHead;

/// `StatusReport` is one node's view of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the deployment, once a manifest is known.
    pub deployment: Option<String>,
    /// Node whose view this is.
    pub node: NodeId,
    /// Availability zone of that node.
    pub zone: AvailabilityZone,
    /// When the view was taken.
    #[serde(rename = "taken_at_ms")]
    pub taken_at: UnixMillis,
    /// Newest accepted manifest that the node knows of.
    pub head: Option<ManifestHead>,
    /// Whether the platform's table answers.
    pub table: TableView,
    /// All nodes, this one among them.
    pub nodes: Vec<NodeView>,
    /// Numbers of upstreams by service, availability zone and state.
    pub upstreams: Vec<UpstreamCount>,
    /// Reclaims in progress.
    pub reclaims: Vec<ReclaimView>,
}

/// `TableView` says whether the platform's table answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableView {
    /// Whether the last call was answered.
    pub is_reachable: bool,
    /// Milliseconds since the last answer, if there was one.
    pub last_answer_age_ms: Option<u64>,
}

/// `NodeState` is the state of a node, as another one believes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum NodeState {
    /// The node starts and takes no requests yet.
    Joining,
    /// The node takes requests.
    Serving,
    /// The node stops after its requests have ended.
    Draining,
    /// The node does not answer and may be gone.
    Suspect,
}

/// `NodeView` is what is known of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// Id of the node.
    pub node: NodeId,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// State of the node.
    pub state: NodeState,
    /// Generation that is in force on the node. Zero when none is, or when it is not known.
    pub generation: Generation,
    /// Milliseconds since this was heard from the node. Zero for the node itself, and
    /// [`NEVER_HEARD`](Self::NEVER_HEARD) for a node that has not told anything yet.
    pub last_heard_ms: u64,
    /// Version of the program on the node.
    pub version: String,
}

impl NodeView {
    /// Stands for the age of what was never heard.
    pub const NEVER_HEARD: u64 = u64::MAX;

    /// Returns how long ago this was heard from the node, if ever.
    pub fn last_heard(&self) -> Option<Duration> {
        let is_heard = self.last_heard_ms != Self::NEVER_HEARD;
        is_heard.then(|| Duration::from_millis(self.last_heard_ms))
    }
}

/// `UpstreamCount` counts upstreams of a service in a zone that are in the same state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCount {
    /// Service of the upstreams.
    pub service: ServiceId,
    /// Availability zone of the upstreams.
    pub zone: AvailabilityZone,
    /// State of the upstreams, such as `live`.
    pub state: String,
    /// Number of upstreams.
    pub count: usize,
}

/// `ReclaimView` is one announced reclaim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimView {
    /// VM that will be taken back.
    pub vm: VmId,
    /// Service of the VM, if it is an upstream.
    pub service: Option<ServiceId>,
    /// Availability zone of the VM, if it is known.
    pub zone: Option<AvailabilityZone>,
    /// Milliseconds until the VM stops.
    pub remaining_ms: u64,
}

/// `Agreement` compares the generations that are in force on the nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agreement<'a> {
    /// Newest generation that any node or the head has.
    pub newest: Generation,
    /// Nodes that are heard from and have an older generation in force.
    pub behind: Vec<&'a NodeView>,
    /// Nodes that do not answer.
    pub unresponsive: Vec<&'a NodeView>,
}

impl Agreement<'_> {
    /// Returns whether every known node has the newest generation in force.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.unresponsive.is_empty()
    }
}

impl StatusReport {
    /// Says what is known of a head that the view lacks.
    pub(super) fn unknown_head(&self) -> String {
        match self.agreement().newest {
            Generation(0) => "no manifest is known".to_owned(),
            newest => format!("who published generation {newest} is not known here"),
        }
    }

    /// Compares the generations that are in force with the newest one.
    pub fn agreement(&self) -> Agreement<'_> {
        let in_force = self.nodes.iter().map(|node| node.generation);
        let head = self.head.iter().map(|head| head.generation);
        let newest = in_force.chain(head).max().unwrap_or_default();
        self.agreement_for(newest)
    }

    /// Compares the generations that are in force with `wanted`. Later ones count as well.
    pub fn agreement_for(&self, wanted: Generation) -> Agreement<'_> {
        let is_unheard = |node: &&NodeView| node.state == NodeState::Suspect;
        let (unresponsive, heard): (Vec<_>, Vec<_>) = self.nodes.iter().partition(is_unheard);
        let is_behind = |node: &&NodeView| node.generation < wanted;
        Agreement {
            newest: wanted,
            behind: heard.into_iter().filter(is_behind).collect(),
            unresponsive,
        }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let deployment = self.deployment.as_deref().unwrap_or("no deployment yet");
        writeln!(
            f,
            "{deployment}, seen by {} in {} at {}",
            self.node, self.zone, self.taken_at
        )?;
        match &self.head {
            Some(head) => writeln!(f, "{head}")?,
            None => writeln!(f, "{}", self.unknown_head())?,
        }
        writeln!(f, "{}", self.table)?;
        write_nodes(f, self)?;
        write_upstreams(f, self)?;
        write_reclaims(f, self)
    }
}

impl fmt::Display for TableView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.is_reachable, self.last_answer_age_ms) {
            (true, _) => f.write_str("the table answers"),
            (false, Some(age)) => write!(f, "THE TABLE GIVES NO ANSWER for {} s", age / 1_000),
            (false, None) => f.write_str("THE TABLE HAS GIVEN NO ANSWER YET"),
        }
    }
}

fn write_nodes(f: &mut fmt::Formatter<'_>, report: &StatusReport) -> fmt::Result {
    let agreement = report.agreement();
    let verdict = if agreement.is_complete() {
        "in force on all nodes"
    } else {
        "NOT IN FORCE ON ALL NODES"
    };
    writeln!(f, "\ngeneration {} is {verdict}", agreement.newest)?;
    for node in &report.nodes {
        let id = node.node.as_str();
        let zone = node.zone.as_str();
        let state = node.state.to_string();
        let generation = node.generation;
        let heard = match node.last_heard() {
            Some(age) => format!("heard {} ms ago", age.as_millis()),
            None => "not heard yet".to_owned(),
        };
        writeln!(
            f,
            "  {id:<20} {zone:<12} {state:<9} generation {generation:<6} {heard}  {}",
            node.version
        )?;
    }
    Ok(())
}

fn write_upstreams(f: &mut fmt::Formatter<'_>, report: &StatusReport) -> fmt::Result {
    writeln!(f, "\nupstreams")?;
    for entry in &report.upstreams {
        let service = entry.service.as_str();
        let zone = entry.zone.as_str();
        writeln!(
            f,
            "  {service:<20} {zone:<12} {:<9} {}",
            entry.state, entry.count
        )?;
    }
    Ok(())
}

fn write_reclaims(f: &mut fmt::Formatter<'_>, report: &StatusReport) -> fmt::Result {
    write!(f, "\nreclaims in progress: {}", report.reclaims.len())?;
    for reclaim in &report.reclaims {
        let service = reclaim.service.as_ref().map_or("entry", AsRef::as_ref);
        let zone = reclaim.zone.as_ref().map_or("?", AsRef::as_ref);
        let left = reclaim.remaining_ms;
        write!(
            f,
            "\n  {:<20} {service:<12} {zone:<12} {left} ms left",
            reclaim.vm.as_str()
        )?;
    }
    Ok(())
}
