//! Selects the subset of a large service's upstreams whose load one node tracks.
//!
//! A node keeps load views of a few upstreams per availability zone. They are selected by a
//! rendezvous hash of node and upstream, so the subset changes by one member when one upstream is
//! added or removed. The owners of a prefix are selected among all upstreams, in the subset or not,
//! since only the ids are needed: nodes with different subsets still agree on them.

use std::cmp::Reverse;

use verbenahead_core::{AvailabilityZone, HashMap, NodeId, UpstreamId};

use crate::hash;

/// `Member` is an upstream of a service that subsets are selected from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: AvailabilityZone,
}

/// Returns the indices of the members in a node's subset, at most `per_zone` in each availability
/// zone, in ascending order.
pub fn subset(node: &NodeId, members: &[Member], per_zone: usize) -> Vec<usize> {
    let key = hash::hash_bytes(0, node.as_str().as_bytes());
    let mut zones: HashMap<&AvailabilityZone, Vec<(u64, usize)>> = HashMap::default();
    for (index, member) in members.iter().enumerate() {
        let score = hash::rendezvous_score(key, member.upstream.as_str());
        zones.entry(&member.zone).or_default().push((score, index));
    }
    let mut selected = Vec::new();
    for mut ranked in zones.into_values() {
        ranked.sort_unstable_by_key(|(score, index)| (Reverse(*score), *index));
        selected.extend(ranked.into_iter().take(per_zone).map(|(_, index)| index));
    }
    selected.sort_unstable();
    selected
}

/// Returns the indices of the `count` members with the highest rendezvous scores for a key, highest
/// first. All nodes rank the members in the same order.
pub fn owners(key: u64, members: &[Member], count: usize) -> Vec<usize> {
    let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for (index, member) in members.iter().enumerate() {
        let score = hash::rendezvous_score(key, member.upstream.as_str());
        let place = best.partition_point(|(known, _)| *known >= score);
        if place < count {
            best.insert(place, (score, index));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, index)| index).collect()
}
