//! The status of the deployment as seen by one node, and its text form.

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
    /// Name of the deployment; `None` until a manifest is known.
    pub deployment: Option<String>,
    /// Node that built the report.
    pub node: NodeId,
    /// Availability zone of that node.
    pub zone: AvailabilityZone,
    /// Time at which the report was built.
    #[serde(rename = "taken_at_ms")]
    pub taken_at: UnixMillis,
    /// Newest accepted manifest known to the node.
    pub head: Option<ManifestHead>,
    /// Reachability of the platform's table.
    pub table: TableView,
    /// All known nodes, including this one.
    pub nodes: Vec<NodeView>,
    /// Numbers of upstreams by service, availability zone and state.
    pub upstreams: Vec<UpstreamCount>,
    /// Reclaims in progress.
    pub reclaims: Vec<ReclaimView>,
}

/// `TableView` is the reachability of the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableView {
    /// Whether the last call was answered.
    pub is_reachable: bool,
    /// Milliseconds since the last answer; `None` if there was none yet.
    pub last_answer_age_ms: Option<u64>,
}

/// `NodeState` is the state of a node as known to the reporting node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum NodeState {
    /// The node is starting and does not accept requests yet.
    Joining,
    /// The node accepts requests.
    Serving,
    /// The node finishes its requests in progress and then stops.
    Draining,
    /// The node does not answer and may have failed.
    Suspect,
}

/// `NodeView` is the last known state of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeView {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// State of the node.
    pub state: NodeState,
    /// Generation in force on the node; zero when there is none or when it is not known.
    pub generation: Generation,
    /// Milliseconds since the last report of the node. Zero for the reporting node itself, and
    /// [`NEVER_HEARD`](Self::NEVER_HEARD) for a node that has not sent a report yet.
    pub last_heard_ms: u64,
    /// Version of the program that the node runs.
    pub version: String,
}

impl NodeView {
    /// Value of [`last_heard_ms`](Self::last_heard_ms) for a node that has not sent a report.
    pub const NEVER_HEARD: u64 = u64::MAX;

    /// Returns the time since the last report of the node, or `None` if there was none.
    pub fn last_heard(&self) -> Option<Duration> {
        let is_heard = self.last_heard_ms != Self::NEVER_HEARD;
        is_heard.then(|| Duration::from_millis(self.last_heard_ms))
    }
}

/// `UpstreamCount` is the number of upstreams of a service in a zone that share a state.
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
    /// VM that will be reclaimed.
    pub vm: VmId,
    /// Service of the VM, if it is an upstream.
    pub service: Option<ServiceId>,
    /// Availability zone of the VM, if known.
    pub zone: Option<AvailabilityZone>,
    /// Milliseconds until the VM stops.
    pub remaining_ms: u64,
}

/// `Agreement` compares the generations in force on the nodes with a wanted one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agreement<'a> {
    /// Generation to compare with.
    pub generation: Generation,
    /// Responsive nodes with an older generation in force.
    pub behind: Vec<&'a NodeView>,
    /// Nodes that do not answer, whatever their generation.
    pub unresponsive: Vec<&'a NodeView>,
}

impl Agreement<'_> {
    /// Returns whether all known nodes answer and none is behind.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && self.unresponsive.is_empty()
    }
}

impl StatusReport {
    /// Returns the text that is shown in place of the head when it is not known.
    pub(super) fn unknown_head_text(&self) -> String {
        match self.agreement().generation {
            Generation(0) => "no manifest is known".to_owned(),
            newest => format!("who published generation {newest} is not known here"),
        }
    }

    /// Compares the generations in force with the newest one of any node or the head.
    pub fn agreement(&self) -> Agreement<'_> {
        let in_force = self.nodes.iter().map(|node| node.generation);
        let head = self.head.iter().map(|head| head.generation);
        let newest = in_force.chain(head).max().unwrap_or_default();
        self.agreement_for(newest)
    }

    /// Compares the generations in force with `wanted`. A later generation is not behind.
    pub fn agreement_for(&self, wanted: Generation) -> Agreement<'_> {
        let is_unresponsive = |node: &&NodeView| node.state == NodeState::Suspect;
        let (unresponsive, responsive): (Vec<_>, Vec<_>) =
            self.nodes.iter().partition(is_unresponsive);
        let is_behind = |node: &&NodeView| node.generation < wanted;
        Agreement {
            generation: wanted,
            behind: responsive.into_iter().filter(is_behind).collect(),
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
            None => writeln!(f, "{}", self.unknown_head_text())?,
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
    let summary = if agreement.is_complete() {
        "in force on all nodes"
    } else {
        "NOT IN FORCE ON ALL NODES"
    };
    writeln!(f, "\ngeneration {} is {summary}", agreement.generation)?;
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
