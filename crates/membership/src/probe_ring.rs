//! Selection of the members that a node probes.

use verbenahead_core::{Digest, NodeId};

/// Returns the members out of `others` that `me` probes.
///
/// The members are ordered on a ring by the digests of their ids, and `me` probes those at the
/// distances 1, 2, 4, 8 and so on after it. Each member is then probed by as many others as it
/// probes itself, any two members are connected by a short path of probes, and a node keeps few
/// connections.
pub(crate) fn probe_targets(me: &NodeId, others: &[NodeId]) -> Vec<NodeId> {
    let position = position(me);
    let mut ring: Vec<_> = others
        .iter()
        .map(|node| (self::position(node), node))
        .collect();
    ring.sort_unstable();
    let start = ring.partition_point(|(other, _)| *other < position);
    let mut targets = Vec::new();
    let mut distance = 1;
    while distance <= ring.len() {
        let index = (start + distance - 1) % ring.len();
        targets.push(ring[index].1.clone());
        distance *= 2;
    }
    targets
}

fn position(node: &NodeId) -> [u8; 32] {
    Digest::of(node.as_str()).0
}
