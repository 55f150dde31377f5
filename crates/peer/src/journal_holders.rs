//! Placement of journals by rendezvous hashing.
//!
//! The order of the nodes depends only on the id of the request and the members, so that any node
//! finds the holder without a directory.

use verbenahead_core::{AvailabilityZone, NodeId, RequestId};
use verbenahead_membership::{Member, MemberState};

/// Returns the nodes that may hold the journal of a request, in order of preference: nodes of other
/// availability zones than the owner's, then those of its zone, then suspects. The owner itself,
/// leaving nodes and dead nodes hold no journals.
pub fn journal_holders(
    request: RequestId,
    owner: &NodeId,
    owner_zone: &AvailabilityZone,
    members: &[Member],
) -> Vec<NodeId> {
    let mut holders: Vec<_> = ranked(request, members)
        .into_iter()
        .filter(|member| member.node != *owner)
        .collect();
    holders.sort_by_key(|member| (!member.is_alive(), member.zone == *owner_zone));
    holders
        .into_iter()
        .map(|member| member.node.clone())
        .collect()
}

/// Returns the nodes to ask for the journal of a request whose owner is unknown, the most likely
/// holder first.
///
/// The holder is the first node of the ranking outside the owner's zone. It is therefore the first
/// of all nodes or, when that one is in the owner's zone, the first node of another zone.
pub fn journal_lookup_order(request: RequestId, members: &[Member]) -> Vec<NodeId> {
    let mut order = ranked(request, members);
    order.sort_by_key(|member| !member.is_alive());
    let first_zone = order.first().map(|first| first.zone.clone());
    let second = order
        .iter()
        .position(|member| member.is_alive() && Some(&member.zone) != first_zone.as_ref());
    if let Some(second) = second {
        order[1..=second].rotate_right(1);
    }
    order
        .into_iter()
        .map(|member| member.node.clone())
        .collect()
}

/// Returns the members that can hold journals, ordered by descending score.
fn ranked(request: RequestId, members: &[Member]) -> Vec<&Member> {
    let can_hold =
        |member: &&Member| matches!(member.state, MemberState::Alive | MemberState::Suspect);
    let mut ranked: Vec<_> = members
        .iter()
        .filter(can_hold)
        .map(|member| (score(request, &member.node), member))
        .collect();
    ranked.sort_unstable_by(|(a, m), (b, n)| b.cmp(a).then_with(|| m.node.cmp(&n.node)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the rendezvous score of a node: the FNV-1a hash of the name of the node, mixed with the
/// random bits of the request id.
fn score(request: RequestId, node: &NodeId) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let name = node.as_str().bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let [high, low] = [request.0 >> 64, request.0].map(|part| part as u64);
    mix(mix(name ^ high) ^ low)
}

/// Applies the finalizer of SplitMix64, which spreads each input bit over all output bits.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
