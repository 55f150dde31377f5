//! Directory of the nodes that callers may use.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use rand::{Rng, seq::IndexedRandom};

/// `NodeEntry` is a node as callers know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeEntry {
    /// Id of the node.
    pub name: String,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Whether no fault is active on the node. New requests go to faulty nodes too, as with a load
    /// balancer that has not noticed yet; streams are resumed at healthy ones.
    pub is_healthy: bool,
}

/// `NodeDirectory` lists the running nodes.
#[derive(Debug, Default)]
pub struct NodeDirectory {
    nodes: Mutex<Vec<NodeEntry>>,
}

impl NodeDirectory {
    /// Adds a node, or replaces its entry.
    pub fn put(&self, node: NodeEntry) {
        let mut nodes = self.lock();
        nodes.retain(|known| known.name != node.name);
        nodes.push(node);
    }

    /// Marks a node as healthy or faulty.
    pub fn set_healthy(&self, name: &str, is_healthy: bool) {
        for node in self.lock().iter_mut().filter(|node| node.name == name) {
            node.is_healthy = is_healthy;
        }
    }

    /// Removes a node.
    pub fn remove(&self, name: &str) {
        self.lock().retain(|node| node.name != name);
    }

    /// Returns all nodes.
    pub fn all(&self) -> Vec<NodeEntry> {
        self.lock().clone()
    }

    /// Returns the healthy nodes.
    pub fn healthy(&self) -> Vec<NodeEntry> {
        let nodes = self.lock();
        nodes
            .iter()
            .filter(|node| node.is_healthy)
            .cloned()
            .collect()
    }

    /// Draws one of all nodes.
    pub fn draw(&self, rng: &mut impl Rng) -> Option<NodeEntry> {
        self.lock().choose(rng).cloned()
    }

    /// Draws a healthy node, another one than `last` if there is one.
    pub fn draw_healthy(&self, rng: &mut impl Rng, last: &str) -> Option<NodeEntry> {
        let healthy = self.healthy();
        let others: Vec<_> = healthy.iter().filter(|node| node.name != last).collect();
        match others.choose(rng) {
            Some(node) => Some((*node).clone()),
            None => healthy.first().cloned(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<NodeEntry>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
