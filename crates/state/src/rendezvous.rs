//! Rendezvous hashing, which distributes services over nodes.
//!
//! All nodes with the same view of the members choose the same owner. When a node joins or leaves,
//! only the services that it gains or had change their owner. While views differ, the lease
//! ensures that at most one node acts for a service.

use verbenahead_core::{Digest, NodeId, ServiceId};

/// Returns the node that should hold the lease of a service, or `None` if there are no nodes.
pub fn owner<'a>(
    service: &ServiceId,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    nodes
        .into_iter()
        .max_by_key(|node| (score(service, node), *node))
}

fn score(service: &ServiceId, node: &NodeId) -> Digest {
    Digest::of(format!("{service}/{node}"))
}
