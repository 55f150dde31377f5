//! Scores of candidates, in seconds; lower is better.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::units::Tokens;
use verbenahead_manifest::RoutingWeights;

use crate::route::{Candidate, Choice, RouteOptions, RouteRequest};

/// `Scored` is a candidate with its score.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scored {
    choice: Choice,
    score: f64,
}

/// `Scorer` computes the scores of one routing decision.
pub(crate) struct Scorer<'a> {
    pub(crate) req: &'a RouteRequest<'a>,
    pub(crate) weights: &'a RoutingWeights,
    pub(crate) options: &'a RouteOptions,
    pub(crate) lowest_price: f64,
}

impl Scorer<'_> {
    /// Scores a candidate that is assumed to have at least the fraction `assumed_cached_ratio` of
    /// the affinity prefix cached.
    pub(crate) fn score(
        &self,
        index: usize,
        candidate: &Candidate,
        assumed_cached_ratio: f64,
    ) -> Scored {
        let uncached = self.uncached(candidate, assumed_cached_ratio);
        let prefill = candidate.load.prefill_time(uncached);
        let first_token = candidate.load.queue_time() + prefill;
        let late = first_token.saturating_sub(self.req.objective);
        let score = self.weights.first_token * first_token.as_secs_f64()
            + self.weights.recomputed_tokens * prefill.as_secs_f64()
            + self.weights.cost * self.price_seconds(candidate)
            + self.weights.zone_crossing * self.zone_seconds(candidate)
            + self.options.late_weight * late.as_secs_f64();
        Scored {
            choice: Choice {
                index,
                predicted_first_token: first_token,
                uncached,
            },
            score,
        }
    }

    fn uncached(&self, candidate: &Candidate, assumed_cached_ratio: f64) -> Tokens {
        let prefix = self.req.affinity.map_or(0, |affinity| affinity.tokens.0);
        let assumed = (prefix as f64 * assumed_cached_ratio) as u64;
        let cached = candidate.cached.0.max(assumed);
        Tokens(self.req.prompt.0.saturating_sub(cached))
    }

    fn price_seconds(&self, candidate: &Candidate) -> f64 {
        if self.lowest_price <= 0.0 {
            return 0.0;
        }
        let excess = candidate.price.0 / self.lowest_price - 1.0;
        excess * self.options.price_penalty.as_secs_f64()
    }

    fn zone_seconds(&self, candidate: &Candidate) -> f64 {
        match candidate.zone == *self.req.zone {
            true => 0.0,
            false => self.options.zone_penalty.as_secs_f64(),
        }
    }
}

/// Maximum number of candidates scored in one decision: 13 drawn at random, 3 selected by prefix.
const MAX_SCORED: usize = 16;

/// `ScoredCandidates` holds the scored candidates of one decision.
pub(crate) struct ScoredCandidates {
    tie_seconds: f64,
    scored: [Option<Scored>; MAX_SCORED],
    len: usize,
    lowest: f64,
}

impl ScoredCandidates {
    pub(crate) fn new(tie_time: Duration) -> Self {
        Self {
            tie_seconds: tie_time.as_secs_f64(),
            scored: [None; MAX_SCORED],
            len: 0,
            lowest: f64::INFINITY,
        }
    }

    pub(crate) fn push(&mut self, scored: Scored) {
        if self.len == MAX_SCORED {
            return;
        }
        self.lowest = self.lowest.min(scored.score);
        self.scored[self.len] = Some(scored);
        self.len += 1;
    }

    /// Draws at random among the candidates whose score is within `tie_time` of the best.
    pub(crate) fn draw_tied(&self, rng: &mut impl Rng) -> Option<Choice> {
        let limit = self.lowest + self.tie_seconds;
        let is_tied = |scored: &&Scored| scored.score <= limit;
        let tied = || self.scored.iter().flatten().filter(is_tied);
        let nth = rng.random_range(0..tied().count().max(1));
        tied().nth(nth).map(|scored| scored.choice)
    }

    /// Returns the choice of [`draw_tied`](Self::draw_tied) and up to `count - 1` others with the next lowest
    /// scores. A candidate that was drawn several times counts once.
    pub(crate) fn shortlist(&self, count: usize, rng: &mut impl Rng) -> Vec<Choice> {
        let mut scored: Vec<&Scored> = self.scored.iter().flatten().collect();
        scored.sort_by(|left, right| left.score.total_cmp(&right.score));
        let mut choices: Vec<Choice> = self.draw_tied(rng).into_iter().collect();
        for scored in scored {
            let index = scored.choice.index;
            if choices.len() < count && choices.iter().all(|choice| choice.index != index) {
                choices.push(scored.choice);
            }
        }
        choices
    }
}
