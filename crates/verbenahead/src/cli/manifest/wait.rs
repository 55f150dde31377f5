//! Waits until a manifest is in force on every node.

use std::{collections::BTreeSet, fmt, time::Duration};

use serde::Serialize;
use tokio::time::{Instant, sleep};
use verbenahead::operators::{NodeView, StatusReport};
use verbenahead_core::{Generation, NodeId};

use crate::cli::client::OperatorClient;

/// Time between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// `InForceReport` says on which nodes a manifest was last seen in force.
#[derive(Debug, Clone, Serialize)]
pub(super) struct InForceReport {
    /// Whether every known node has it in force.
    pub(super) is_complete: bool,
    /// Number of nodes that have it in force.
    pub(super) nodes: usize,
    /// Nodes that respond and do not have it in force.
    pub(super) behind: Vec<NodeId>,
    /// Nodes that do not respond.
    pub(super) not_heard_from: Vec<NodeId>,
    /// Nodes that were removed from the membership during the wait and were never seen with the
    /// manifest in force.
    pub(super) gone: Vec<NodeId>,
    /// Reason why the last status request failed, if it did.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) failure: Option<String>,
}

impl InForceReport {
    fn from_status(status: &StatusReport, generation: Generation) -> Self {
        let agreement = status.agreement_for(generation);
        let names = |nodes: &[&NodeView]| nodes.iter().map(|node| node.node.clone()).collect();
        let pending = agreement.behind.len() + agreement.unresponsive.len();
        Self {
            is_complete: agreement.is_complete(),
            nodes: status.nodes.len() - pending,
            behind: names(&agreement.behind),
            not_heard_from: names(&agreement.unresponsive),
            gone: Vec::new(),
            failure: None,
        }
    }

    fn without_status() -> Self {
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

impl fmt::Display for InForceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_complete {
            write!(f, "in force on all nodes ({})", self.nodes)?;
            return self.write_gone(f);
        }
        let pending = self.behind.len() + self.not_heard_from.len();
        write!(
            f,
            "in force on {} of {} nodes",
            self.nodes,
            self.nodes + pending
        )?;
        if !self.behind.is_empty() {
            write!(f, "; not in force on {}", join_names(&self.behind))?;
        }
        if !self.not_heard_from.is_empty() {
            write!(f, "; not heard from {}", join_names(&self.not_heard_from))?;
        }
        self.write_gone(f)?;
        match &self.failure {
            Some(failure) => write!(f, "; the last status request failed: {failure}"),
            None => Ok(()),
        }
    }
}

impl InForceReport {
    fn write_gone(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.gone.is_empty() {
            return Ok(());
        }
        write!(f, "; gone while waiting {}", join_names(&self.gone))
    }
}

fn join_names(nodes: &[NodeId]) -> String {
    let names: Vec<_> = nodes.iter().map(NodeId::as_str).collect();
    names.join(", ")
}

/// Polls the status until every known node has the generation in force, or the limit passes.
pub(super) async fn wait_until_in_force(
    client: &OperatorClient,
    generation: Generation,
    limit: Duration,
) -> InForceReport {
    let deadline = Instant::now() + limit;
    let mut report = InForceReport::without_status();
    let mut pending_nodes = BTreeSet::new();
    loop {
        match read_status(client).await {
            Ok(status) => {
                report = InForceReport::from_status(&status, generation);
                report.gone = update_pending_nodes(&mut pending_nodes, &report, &status);
            }
            Err(failure) => report.failure = Some(failure),
        }
        if report.is_complete || Instant::now() + POLL_INTERVAL > deadline {
            return report;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Updates the nodes without the manifest, and returns those that left the membership without it.
fn update_pending_nodes(
    pending_nodes: &mut BTreeSet<NodeId>,
    report: &InForceReport,
    status: &StatusReport,
) -> Vec<NodeId> {
    let pending_now = || report.behind.iter().chain(&report.not_heard_from);
    let is_known = |id: &NodeId| status.nodes.iter().any(|node| node.node == *id);
    pending_nodes.retain(|id| !is_known(id));
    let gone = pending_nodes.iter().cloned().collect();
    pending_nodes.extend(pending_now().cloned());
    gone
}

async fn read_status(client: &OperatorClient) -> Result<StatusReport, String> {
    let answer = client.get("/v1/status").await;
    answer
        .and_then(|answer| answer.json())
        .map_err(|e| e.to_string())
}
