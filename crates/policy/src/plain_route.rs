//! Chooses an upstream for a call to a plain service, one without prompts.

use rand::Rng;
use verbenahead_core::AvailabilityZone;

use crate::{
    plain_wait::{PlainLoad, route_by_wait},
    route::CandidateState,
};

/// `PlainCandidate` is an upstream of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainCandidate {
    /// Availability zone of the upstream.
    pub zone: AvailabilityZone,
    /// Whether the upstream may get new work.
    pub state: CandidateState,
    /// Number of unanswered calls of this node.
    pub outstanding: u32,
    /// Expected load, if the upstream states the speed of its machine.
    pub load: Option<PlainLoad>,
}

/// Penalty of an upstream in another availability zone, in outstanding calls.
const ZONE_PENALTY_CALLS: u32 = 2;

/// Chooses an upstream by the expected time of the call if any states the speed of its machine, and
/// otherwise the less loaded of two ready upstreams that are drawn at random. The first is drawn from
/// the node's availability zone if that has any. Returns the index, or `None` when no candidate is
/// ready.
pub fn route_plain(
    zone: &AvailabilityZone,
    candidates: &[PlainCandidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    if candidates.iter().any(|candidate| candidate.load.is_some()) {
        return route_by_wait(zone, candidates, rng);
    }
    let first = draw(candidates, rng, |c| c.zone == *zone);
    let Some(first) = first else {
        let left = draw(candidates, rng, |_| true)?;
        let right = draw(candidates, rng, |_| true)?;
        return Some(less_loaded(zone, candidates, left, right));
    };
    let second = draw(candidates, rng, |_| true)?;
    Some(less_loaded(zone, candidates, first, second))
}

fn draw(
    candidates: &[PlainCandidate],
    rng: &mut impl Rng,
    is_accepted: impl Fn(&PlainCandidate) -> bool,
) -> Option<usize> {
    let is_eligible = |c: &PlainCandidate| c.state == CandidateState::Ready && is_accepted(c);
    let count = candidates.iter().filter(|c| is_eligible(c)).count();
    if count == 0 {
        return None;
    }
    let nth = rng.random_range(0..count);
    let mut eligible = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| is_eligible(c));
    eligible.nth(nth).map(|(index, _)| index)
}

fn less_loaded(
    zone: &AvailabilityZone,
    candidates: &[PlainCandidate],
    left: usize,
    right: usize,
) -> usize {
    let load = |index: usize| {
        let candidate = &candidates[index];
        let penalty = if candidate.zone == *zone {
            0
        } else {
            ZONE_PENALTY_CALLS
        };
        candidate.outstanding.saturating_add(penalty)
    };
    if load(right) < load(left) {
        right
    } else {
        left
    }
}
