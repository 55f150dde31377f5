//! Selects a replica from which another one can fetch the cached prefix of a prompt.

use crate::{
    hash,
    route::{Candidate, CandidateState, RouteRequest},
};

/// Minimum number of tokens for which a fetch is cheaper than a prefill. A fetch has a fixed cost
/// of some milliseconds.
const MIN_FETCHED_TOKENS: u64 = 200;

/// Returns the index of the candidate from which the one at `chosen` should fetch the affinity
/// prefix of a request. Returns `None` when only a little is missing there or no source exists.
///
/// The candidate with the longest known cached prefix is taken. This node only knows the prompts
/// that it sent itself; other nodes sent theirs to the owner of the prefix at that time. Ties are
/// therefore broken by rendezvous score, which ranks the current or the previous owner first.
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
        let score = hash::rendezvous_score(affinity.key, candidate.upstream.as_str());
        (candidate.cached, score)
    });
    best.map(|(index, _)| index)
}
