//! Which nodes hold the journal of a request.
//!
//! The order of the nodes follows from the id of the request and the members alone, so that any
//! node finds the holder without asking anyone where it is.

use verbenahead_core::{AvailabilityZone, NodeId, RequestId};
use verbenahead_membership::{Member, MemberState};

/// Returns the nodes that may hold the journal of a request, the best first: nodes of other
/// availability zones than the owner's, then those of its zone, then suspects. The owner itself,
/// leaving and dead nodes hold nothing.
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

/// Returns the nodes to ask for the journal of a request whose owner is not known, the likeliest
/// first.
///
/// The holder is the first in the order that is not in the owner's zone. So it is the first of
/// all, or, when that one is in the owner's zone, the first of another zone.
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

/// Returns the members that can hold journals, by descending score.
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

/// Returns the rendezvous score of a node: FNV-1a over the name of the node, then mixed with the
/// random bits of the request.
fn score(request: RequestId, node: &NodeId) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let name = node.as_str().bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let [high, low] = [request.0 >> 64, request.0].map(|part| part as u64);
    mix(mix(name ^ high) ^ low)
}

/// Spreads each bit over all others, as the finalizer of SplitMix64 does.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
