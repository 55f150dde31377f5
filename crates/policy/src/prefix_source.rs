//! Which replica should hold the shared parts of a prompt that goes to another one.

use crate::{
    hash,
    route::{Candidate, CandidateState, RouteRequest},
};

/// Fewest tokens for which a fetch is cheaper than processing them again. A fetch has a fixed
/// cost of some milliseconds.
const MIN_FETCHED_TOKENS: u64 = 200;

/// Returns the index of the candidate from which the one at `chosen` should fetch the shared parts
/// of a prompt, if any should hold more of them.
///
/// This node knows what it sent itself. What other nodes sent went to the candidate that ranks
/// first for the parts, or ranked first before others came.
pub fn prefix_source(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    chosen: usize,
) -> Option<usize> {
    let affinity = req.affinity?;
    let missing = affinity
        .tokens
        .0
        .saturating_sub(candidates[chosen].cached.0);
    if missing < MIN_FETCHED_TOKENS {
        return None;
    }
    let others = candidates.iter().enumerate().filter(|(index, candidate)| {
        *index != chosen && candidate.state != CandidateState::Suspected
    });
    let best = others.max_by_key(|(_, candidate)| {
        let rank = hash::rendezvous_score(affinity.key, candidate.upstream.as_str());
        (candidate.cached, rank)
    });
    best.map(|(index, _)| index)
}
