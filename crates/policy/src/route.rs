//! Chooses an upstream for a request to a model service.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::{
    AvailabilityZone, UpstreamId,
    units::{HourlyPrice, Tokens},
};
use verbenahead_manifest::RoutingWeights;

use crate::{
    load::LoadEstimate,
    route_pick::pick_by_prefix,
    route_score::{ScoredCandidates, Scorer},
};

/// `Affinity` describes the prefix of a prompt by which its request is routed, the affinity prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Affinity {
    /// Hash of the affinity prefix. All nodes rank the upstreams for it in the same order.
    pub key: u64,
    /// Size of the part of the prompt that an earlier request of the conversation may have cached.
    pub tokens: Tokens,
}

/// `RouteRequest` describes a request to be routed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteRequest<'a> {
    /// Availability zone of the node.
    pub zone: &'a AvailabilityZone,
    /// Size of the prompt, including answer tokens that are already generated.
    pub prompt: Tokens,
    /// Affinity prefix, if the prompt has one.
    pub affinity: Option<Affinity>,
    /// Service-level objective for the time to the first token.
    pub objective: Duration,
}

/// `CandidateState` says whether an upstream may get new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum CandidateState {
    /// The upstream may get new work.
    #[default]
    Ready,
    /// The upstream stops soon.
    Leaving,
    /// The circuit breaker of the upstream is open.
    CircuitOpen,
    /// The upstream is suspected to be dead.
    Suspected,
    /// The upstream recently refused a request because it had no capacity.
    Full,
}

/// `Candidate` is an upstream that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: AvailabilityZone,
    /// Whether the upstream may get new work.
    pub state: CandidateState,
    /// Estimated load at the time of the decision.
    pub load: LoadEstimate,
    /// Size of the prompt's prefix that the upstream is expected to have cached.
    pub cached: Tokens,
    /// Price of the upstream's VM.
    pub price: HourlyPrice,
}

/// `Choice` is the result of a routing decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Predicted time to the first token.
    pub predicted_first_token: Duration,
    /// Tokens of the prompt that the upstream is expected to process.
    pub uncached: Tokens,
}

/// `RouteOptions` configures the routing decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteOptions {
    /// Number of candidates drawn at random in addition to those selected by prefix; at most 13. If
    /// no more candidates are ready, all of them are scored.
    pub samples: usize,
    /// Fraction by which the queue of a candidate selected by prefix may exceed the mean queue.
    pub load_bound: f64,
    /// Time added to the bound on the queue of a candidate selected by prefix, so that the bound is
    /// above zero when the mean is zero. It grows with the weight of recomputed tokens.
    pub load_slack: Duration,
    /// Fraction of the prefix that its owner is assumed to have cached although this node has not
    /// sent it there, between 0 and 1. For the second-ranked candidate one minus this fraction is
    /// assumed.
    pub owner_cached_ratio: f64,
    /// Difference to the best score up to which a candidate counts as tied.
    pub tie_time: Duration,
    /// Penalty for a price of twice the lowest.
    pub price_penalty: Duration,
    /// Penalty for a candidate in another availability zone.
    pub zone_penalty: Duration,
    /// Weight of each second by which the predicted first token misses the objective.
    pub late_weight: f64,
}

impl Default for RouteOptions {
    fn default() -> Self {
        Self {
            samples: 3,
            load_bound: 0.25,
            load_slack: Duration::from_millis(200),
            owner_cached_ratio: 0.95,
            tie_time: Duration::from_millis(1),
            price_penalty: Duration::from_millis(20),
            zone_penalty: Duration::from_millis(3),
            late_weight: 4.0,
        }
    }
}

/// Chooses an upstream with the default options. Returns `None` when no candidate is ready.
pub fn route(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    weights: &RoutingWeights,
    rng: &mut impl Rng,
) -> Option<Choice> {
    route_with(req, candidates, weights, &RouteOptions::default(), rng)
}

/// Chooses an upstream among a few candidates: some drawn at random, the two that rank first for
/// the affinity prefix, and the one with the longest cached prefix.
///
/// A candidate is selected by prefix only while its queue is within a bound on the mean queue. Near
/// ties are broken at random. Both prevent nodes with the same outdated reports from choosing the
/// same upstream. Returns `None` when no candidate is ready.
pub fn route_with(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    weights: &RoutingWeights,
    options: &RouteOptions,
    rng: &mut impl Rng,
) -> Option<Choice> {
    score_candidates(req, candidates, weights, options, rng)?.draw_tied(rng)
}

/// Returns the choice of [`route`] and up to `count - 1` others with the next lowest scores. It is empty when
/// no candidate is ready.
pub fn route_shortlist(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    weights: &RoutingWeights,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<Choice> {
    let options = RouteOptions::default();
    let scored = score_candidates(req, candidates, weights, &options, rng);
    scored.map_or_else(Vec::new, |scored| scored.shortlist(count, rng))
}

/// Scores a few candidates. Returns `None` when no candidate is ready.
fn score_candidates(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    weights: &RoutingWeights,
    options: &RouteOptions,
    rng: &mut impl Rng,
) -> Option<ScoredCandidates> {
    let summary = ReadySummary::of(candidates);
    if summary.ready == 0 {
        return None;
    }
    let bound = summary.queue_bound(weights, options);
    let picks = pick_by_prefix(req, candidates, bound);
    let scorer = Scorer {
        req,
        weights,
        options,
        lowest_price: summary.lowest_price,
    };
    let mut scored = ScoredCandidates::new(options.tie_time);
    for pick in picks.all() {
        scored.push(scorer.score(
            pick.index,
            &candidates[pick.index],
            pick.assumed_cached_ratio(options),
        ));
    }
    let mut score = |index: usize| {
        if !picks.contains(index) {
            scored.push(scorer.score(index, &candidates[index], 0.0));
        }
    };
    if summary.ready <= options.samples {
        ready(candidates).for_each(|(index, _)| score(index));
    } else {
        (0..options.samples).for_each(|_| score(summary.draw(candidates, rng)));
    }
    Some(scored)
}

fn ready(candidates: &[Candidate]) -> impl Iterator<Item = (usize, &Candidate)> {
    let is_ready = |(_, c): &(usize, &Candidate)| c.state == CandidateState::Ready;
    candidates.iter().enumerate().filter(is_ready)
}

/// `ReadySummary` aggregates the ready candidates.
struct ReadySummary {
    /// Number of ready candidates.
    ready: usize,
    /// Mean queue time, in seconds.
    mean_queue: f64,
    lowest_price: f64,
}

impl ReadySummary {
    fn of(candidates: &[Candidate]) -> Self {
        let mut ready = 0;
        let mut queue = 0.0;
        let mut lowest_price = f64::INFINITY;
        for (_, candidate) in self::ready(candidates) {
            ready += 1;
            queue += candidate.load.queue_time().as_secs_f64();
            lowest_price = lowest_price.min(candidate.price.0);
        }
        Self {
            ready,
            mean_queue: queue / ready.max(1) as f64,
            lowest_price,
        }
    }

    /// Returns the longest queue time of a candidate selected by prefix, in seconds.
    fn queue_bound(&self, weights: &RoutingWeights, options: &RouteOptions) -> f64 {
        let slack = options.load_slack.as_secs_f64() * (1.0 + weights.recomputed_tokens);
        self.mean_queue * (1.0 + options.load_bound) + slack
    }

    /// Returns the index of a ready candidate drawn at random. At least one must be ready.
    fn draw(&self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        if self.ready == candidates.len() {
            return rng.random_range(0..candidates.len());
        }
        let nth = rng.random_range(0..self.ready);
        let drawn = ready(candidates).nth(nth);
        drawn.map_or(0, |(index, _)| index)
    }
}
