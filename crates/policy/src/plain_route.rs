//! The choice of an upstream for a call to a plain service.

use rand::Rng;
use verbenahead_core::AvailabilityZone;

use crate::route::CandidateState;

/// `PlainCandidate` is an upstream of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCandidate {
    /// Availability zone of the upstream.
    pub zone: AvailabilityZone,
    /// Whether it may get new work.
    pub state: CandidateState,
    /// Calls of this node that it has not answered.
    pub outstanding: u32,
}

/// Outstanding calls that leaving the availability zone counts as.
const ZONE_CALLS: u32 = 2;

/// Chooses the better of two upstreams drawn at random, one of them in the node's availability
/// zone where there is one. Returns the index, or `None` when no candidate is ready.
pub fn route_plain(
    zone: &AvailabilityZone,
    candidates: &[PlainCandidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let first = draw(candidates, rng, |c| c.zone == *zone);
    let Some(first) = first else {
        let left = draw(candidates, rng, |_| true)?;
        let right = draw(candidates, rng, |_| true)?;
        return Some(better(zone, candidates, left, right));
    };
    let second = draw(candidates, rng, |_| true)?;
    Some(better(zone, candidates, first, second))
}

fn draw(
    candidates: &[PlainCandidate],
    rng: &mut impl Rng,
    is_wanted: impl Fn(&PlainCandidate) -> bool,
) -> Option<usize> {
    let is_open = |c: &PlainCandidate| c.state == CandidateState::Ready && is_wanted(c);
    let count = candidates.iter().filter(|c| is_open(c)).count();
    if count == 0 {
        return None;
    }
    let nth = rng.random_range(0..count);
    let mut open = candidates.iter().enumerate().filter(|(_, c)| is_open(c));
    open.nth(nth).map(|(index, _)| index)
}

fn better(
    zone: &AvailabilityZone,
    candidates: &[PlainCandidate],
    left: usize,
    right: usize,
) -> usize {
    let load = |index: usize| {
        let candidate = &candidates[index];
        let crossing = if candidate.zone == *zone {
            0
        } else {
            ZONE_CALLS
        };
        candidate.outstanding.saturating_add(crossing)
    };
    if load(right) < load(left) {
        right
    } else {
        left
    }
}
