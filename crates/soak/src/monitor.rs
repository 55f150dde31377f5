//! Checks of generations, readiness and membership through the operators' listeners.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderMap, HeaderValue, Method};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};
use verbenahead_standins::client::JsonClient;

use crate::{
    deployment::Deployment, invariant::BrokenInvariant, node_directory::NodeEntry,
    node_process::OPERATOR_KEY,
};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for a node to answer a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time from the end of faults until all nodes are ready and know each other.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(45);

/// Longest time until an accepted generation is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

/// `NodeStatus` is the status that a node reports of itself and the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// Generation in force on the node.
    pub generation: u64,
    /// Nodes that serve, as the node believes.
    pub serving: BTreeSet<String>,
}

/// `GenerationMonitor` checks that no node's generation decreases.
#[derive(Debug, Default)]
pub struct GenerationMonitor {
    highest: Mutex<BTreeMap<String, u64>>,
}

impl GenerationMonitor {
    /// Reads the status of all running nodes and checks their generations.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] when the generation of a node decreased.
    pub async fn check_generations(&self, deployment: &Deployment) -> Result<(), BrokenInvariant> {
        let nodes = deployment.directory.all();
        let reading = nodes.iter().map(read_status);
        for (node, status) in nodes.iter().zip(join_all(reading).await) {
            if let Some(status) = status {
                self.check_generation(&node.name, status.generation)?;
            }
        }
        Ok(())
    }

    fn check_generation(&self, node: &str, generation: u64) -> Result<(), BrokenInvariant> {
        let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        let known = highest.entry(node.to_owned()).or_default();
        if generation < *known {
            let detail = format!("{node} went from {known} to {generation}");
            return Err(
                BrokenInvariant::new("no generation falls", detail).with_nodes([node.to_owned()])
            );
        }
        *known = generation;
        Ok(())
    }
}

/// Waits until all nodes are ready and each sees exactly these as serving, then marks all as
/// healthy.
///
/// # Errors
///
/// [`BrokenInvariant`] when that takes longer than 45 s.
pub async fn wait_until_settled(deployment: &Deployment) -> Result<(), BrokenInvariant> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let nodes = deployment.directory.all();
        let names: BTreeSet<_> = nodes.iter().map(|node| node.name.clone()).collect();
        let seen = join_all(nodes.iter().map(read_status)).await;
        let ready = join_all(nodes.iter().map(is_ready)).await;
        let knows_all = |status: &Option<NodeStatus>| {
            status
                .as_ref()
                .is_some_and(|status| status.serving == names)
        };
        if ready.iter().all(|ready| *ready) && seen.iter().all(knows_all) {
            for name in &names {
                deployment.directory.set_healthy(name, true);
            }
            return Ok(());
        }
        if Instant::now() > deadline {
            let detail = format!("{names:?} are ready: {ready:?}, and see {seen:?}");
            return Err(BrokenInvariant::new(
                "nodes find each other after faults",
                detail,
            ));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a generation or a later one is in force on all nodes.
///
/// # Errors
///
/// [`BrokenInvariant`] when that takes longer than 12 s.
pub async fn wait_in_force(
    deployment: &Deployment,
    generation: u64,
) -> Result<(), BrokenInvariant> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let nodes = deployment.directory.all();
        let seen = join_all(nodes.iter().map(read_status)).await;
        let late: Vec<_> = nodes
            .iter()
            .zip(&seen)
            .filter(|(_, status)| {
                status
                    .as_ref()
                    .is_none_or(|status| status.generation < generation)
            })
            .map(|(node, status)| (node.name.clone(), status.as_ref().map(|s| s.generation)))
            .collect();
        if late.is_empty() {
            return Ok(());
        }
        if Instant::now() > deadline {
            let detail = format!("{generation} was accepted; {late:?}");
            let broken =
                BrokenInvariant::new("an accepted generation is in force within 12 s", detail);
            return Err(broken.with_nodes(late.into_iter().map(|(name, _)| name)));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Builds the header fields of an operator.
pub fn operator_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&format!("Bearer {OPERATOR_KEY}")) {
        headers.insert("authorization", value);
    }
    headers
}

async fn read_status(node: &NodeEntry) -> Option<NodeStatus> {
    let client = JsonClient::new(node.operators);
    let call = client.call(Method::GET, "/v1/status", operator_headers(), Bytes::new());
    let reply = timeout(STATUS_TIMEOUT, call).await.ok()?.ok()?;
    let report: Value = serde_json::from_slice(&reply.body).ok()?;
    let views = report["nodes"].as_array()?;
    let own = views.iter().find(|view| view["node"] == node.name)?;
    let serving = views.iter().filter(|view| view["state"] == "serving");
    let names = serving.filter_map(|view| view["node"].as_str());
    Some(NodeStatus {
        generation: own["generation"].as_u64()?,
        serving: names.map(str::to_owned).collect(),
    })
}

async fn is_ready(node: &NodeEntry) -> bool {
    let client = JsonClient::new(node.operators);
    let call = client.call(Method::GET, "/readyz", HeaderMap::new(), Bytes::new());
    let reply = timeout(STATUS_TIMEOUT, call).await;
    reply.is_ok_and(|reply| reply.is_ok_and(|reply| reply.status.is_success()))
}
