//! Waiting until a manifest is in force on every node.

use std::{collections::BTreeSet, fmt, time::Duration};

use serde::Serialize;
use tokio::time::{Instant, sleep};
use verbenahead::operators::{NodeView, StatusReport};
use verbenahead_core::{Generation, NodeId};

use crate::cli::client::OperatorClient;

/// Time between two looks at the status.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// `InForce` says where a manifest was seen in force.
#[derive(Debug, Clone, Serialize)]
pub(super) struct InForce {
    /// Whether every known node has it in force.
    pub(super) is_complete: bool,
    /// Nodes that have it in force.
    pub(super) nodes: usize,
    /// Nodes that answer and do not have it in force.
    pub(super) behind: Vec<NodeId>,
    /// Nodes that are not heard from.
    pub(super) not_heard_from: Vec<NodeId>,
    /// Nodes that were known during the wait and are held for gone now, without having been seen
    /// with the manifest in force.
    pub(super) gone: Vec<NodeId>,
    /// Why the last look failed, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) failure: Option<String>,
}

impl InForce {
    fn of(status: &StatusReport, generation: Generation) -> Self {
        let agreement = status.agreement_for(generation);
        let names = |nodes: &[&NodeView]| nodes.iter().map(|node| node.node.clone()).collect();
        let late = agreement.behind.len() + agreement.unresponsive.len();
        Self {
            is_complete: agreement.is_complete(),
            nodes: status.nodes.len() - late,
            behind: names(&agreement.behind),
            not_heard_from: names(&agreement.unresponsive),
            gone: Vec::new(),
            failure: None,
        }
    }

    fn unseen() -> Self {
        Self {
            is_complete: false,
            nodes: 0,
            behind: Vec::new(),
            not_heard_from: Vec::new(),
            gone: Vec::new(),
            failure: None,
        }
    }
}

impl fmt::Display for InForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_complete {
            write!(f, "in force on all nodes ({})", self.nodes)?;
            return self.write_gone(f);
        }
        let late = self.behind.len() + self.not_heard_from.len();
        write!(
            f,
            "in force on {} of {} nodes",
            self.nodes,
            self.nodes + late
        )?;
        if !self.behind.is_empty() {
            write!(f, "; not in force on {}", names(&self.behind))?;
        }
        if !self.not_heard_from.is_empty() {
            write!(f, "; not heard from {}", names(&self.not_heard_from))?;
        }
        self.write_gone(f)?;
        match &self.failure {
            Some(failure) => write!(f, "; the last look failed: {failure}"),
            None => Ok(()),
        }
    }
}

impl InForce {
    fn write_gone(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.gone.is_empty() {
            return Ok(());
        }
        write!(f, "; gone while waiting {}", names(&self.gone))
    }
}

fn names(nodes: &[NodeId]) -> String {
    let names: Vec<_> = nodes.iter().map(NodeId::as_str).collect();
    names.join(", ")
}

/// Looks at the status until every known node has the generation in force, or the limit passes.
pub(super) async fn wait(
    client: &OperatorClient,
    generation: Generation,
    limit: Duration,
) -> InForce {
    let deadline = Instant::now() + limit;
    let mut seen = InForce::unseen();
    let mut lacking = BTreeSet::new();
    loop {
        match look(client).await {
            Ok(status) => {
                seen = InForce::of(&status, generation);
                seen.gone = note_lacking(&mut lacking, &seen, &status);
            }
            Err(failure) => seen.failure = Some(failure),
        }
        if seen.is_complete || Instant::now() + POLL_PERIOD > deadline {
            return seen;
        }
        sleep(POLL_PERIOD).await;
    }
}

/// Notes the nodes that lack the manifest, and returns those that left the view lacking it.
fn note_lacking(
    lacking: &mut BTreeSet<NodeId>,
    seen: &InForce,
    status: &StatusReport,
) -> Vec<NodeId> {
    let lack_now = || seen.behind.iter().chain(&seen.not_heard_from);
    let is_known = |id: &NodeId| status.nodes.iter().any(|node| node.node == *id);
    lacking.retain(|id| !is_known(id));
    let gone = lacking.iter().cloned().collect();
    lacking.extend(lack_now().cloned());
    gone
}

async fn look(client: &OperatorClient) -> Result<StatusReport, String> {
    let answer = client.get("/v1/status").await;
    answer
        .and_then(|answer| answer.json())
        .map_err(|e| e.to_string())
}
