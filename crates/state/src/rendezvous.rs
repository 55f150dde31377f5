//! Rendezvous hashing, which spreads services over nodes.
//!
//! All nodes that know the same members choose the same owner, and a node that comes or goes moves
//! only the services that it gains or had. Nodes that disagree for a while are kept apart by the
//! lease.

use verbenahead_core::{Digest, NodeId, ServiceId};

/// Returns the node that should hold the lease of a service, or `None` without nodes.
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
