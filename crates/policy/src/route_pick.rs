//! Selects candidates that are likely to have the prefix of a request cached.

use verbenahead_core::units::Tokens;

use crate::{
    hash,
    route::{Candidate, CandidateState, RouteOptions, RouteRequest},
};

/// `PrefixPick` is a candidate selected by prefix.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefixPick {
    pub(crate) index: usize,
    rank: PrefixRank,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PrefixRank {
    Owner,
    SecondOwner,
    LongestCached,
}

impl PrefixPick {
    /// Returns the fraction of the prefix that is assumed to be cached.
    pub(crate) fn assumed_cached_ratio(self, options: &RouteOptions) -> f64 {
        match self.rank {
            PrefixRank::Owner => options.owner_cached_ratio,
            PrefixRank::SecondOwner => 1.0 - options.owner_cached_ratio,
            PrefixRank::LongestCached => 0.0,
        }
    }
}

/// `PrefixPicks` are up to three distinct candidates selected by prefix.
#[derive(Debug, Default)]
pub(crate) struct PrefixPicks {
    owner: Option<usize>,
    second: Option<usize>,
    cached: Option<usize>,
}

impl PrefixPicks {
    pub(crate) fn all(&self) -> impl Iterator<Item = PrefixPick> {
        let cached = self.cached.filter(|c| !self.is_owner(*c));
        let ranked = [
            (self.owner, PrefixRank::Owner),
            (self.second, PrefixRank::SecondOwner),
            (cached, PrefixRank::LongestCached),
        ];
        ranked
            .into_iter()
            .filter_map(|(index, rank)| index.map(|index| PrefixPick { index, rank }))
    }

    pub(crate) fn contains(&self, index: usize) -> bool {
        self.is_owner(index) || self.cached == Some(index)
    }

    fn is_owner(&self, index: usize) -> bool {
        self.owner == Some(index) || self.second == Some(index)
    }
}

/// Selects the two ready candidates that rank first for the affinity prefix and the one with the
/// longest cached prefix, among those with a queue time of at most `bound` seconds.
pub(crate) fn pick_by_prefix(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    bound: f64,
) -> PrefixPicks {
    let mut picks = PrefixPicks::default();
    let mut scores = (0, 0);
    let mut longest = Tokens(0);
    for (index, candidate) in candidates.iter().enumerate() {
        let is_ready = candidate.state == CandidateState::Ready;
        if !is_ready || candidate.load.queue_time().as_secs_f64() > bound {
            continue;
        }
        if candidate.cached > longest {
            longest = candidate.cached;
            picks.cached = Some(index);
        }
        let Some(affinity) = req.affinity else {
            continue;
        };
        let score = hash::rendezvous_score(affinity.key, candidate.upstream.as_str());
        if picks.owner.is_none() || score > scores.0 {
            picks.second = picks.owner.replace(index);
            scores = (score, scores.0);
        } else if picks.second.is_none() || score > scores.1 {
            picks.second = Some(index);
            scores.1 = score;
        }
    }
    picks
}
