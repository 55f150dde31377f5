//! The choice of an upstream for a request to a model service.

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
    route_score::{BestScores, Scorer},
};

/// `Affinity` tells which prefix of a request decides where it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Affinity {
    /// Hash of the deciding prefix. All nodes rank the upstreams for it in the same order.
    pub key: u64,
    /// Size of the prefix that an earlier request of the same conversation may have left cached.
    pub tokens: Tokens,
}

/// `RouteRequest` is what the routing decision needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteRequest<'a> {
    /// Availability zone of the node.
    pub zone: &'a AvailabilityZone,
    /// Size of the prompt, with the tokens of the answer that exist already.
    pub prompt: Tokens,
    /// Deciding prefix, if the prompt has a whole block.
    pub affinity: Option<Affinity>,
    /// Longest time to the first token that meets the objective.
    pub objective: Duration,
}

/// `CandidateState` says whether an upstream may get new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum CandidateState {
    /// It may get new work.
    #[default]
    Ready,
    /// It stops soon.
    Leaving,
    /// Its circuit breaker is open.
    CircuitOpen,
    /// It may be dead.
    Suspected,
    /// It has just refused a request for lack of room.
    Full,
}

/// `Candidate` is an upstream that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream.
    pub zone: AvailabilityZone,
    /// Whether it may get new work.
    pub state: CandidateState,
    /// Its load at the time of the decision.
    pub load: LoadEstimate,
    /// Size of the prompt's prefix that it should have cached.
    pub cached: Tokens,
    /// Price of its VM.
    pub price: HourlyPrice,
}

/// `Choice` is the outcome of a routing decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Predicted time to the first token.
    pub predicted_first_token: Duration,
    /// Tokens of the prompt that should have to be processed.
    pub uncached: Tokens,
}

/// `RouteOptions` tune the decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteOptions {
    /// Candidates that are drawn at random, beside those that the prefix speaks for; at most 13.
    /// Where no more are ready, all of them are scored.
    pub samples: usize,
    /// Part by which the queue of a candidate with affinity may exceed the mean queue.
    pub load_bound: f64,
    /// Time by which the queue of a candidate with affinity may exceed the mean in any case; it
    /// grows with the weight of recomputed tokens.
    pub load_slack: Duration,
    /// Part of the prefix that the first-ranked candidate of a key is believed to have cached
    /// although this node has not sent it there, between 0 and 1.
    pub owner_belief: f64,
    /// Time by which a score may exceed the best one and still be drawn.
    pub tie_time: Duration,
    /// Time that a price of twice the lowest counts as.
    pub price_time: Duration,
    /// Time that leaving the availability zone counts as.
    pub zone_time: Duration,
    /// Weight of each second beyond the objective.
    pub late_weight: f64,
}

impl Default for RouteOptions {
    fn default() -> Self {
        Self {
            samples: 3,
            load_bound: 0.25,
            load_slack: Duration::from_millis(200),
            owner_belief: 0.95,
            tie_time: Duration::from_millis(1),
            price_time: Duration::from_millis(20),
            zone_time: Duration::from_millis(3),
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
/// the deciding prefix, and the one with the longest cached prefix.
///
/// A candidate is taken for its prefix only while its queue stays within a bound of the mean.
/// Near ties are broken at random. Both keep nodes that see the same late reports from choosing
/// the same upstream. Returns `None` when no candidate is ready.
pub fn route_with(
    req: &RouteRequest<'_>,
    candidates: &[Candidate],
    weights: &RoutingWeights,
    options: &RouteOptions,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let survey = Survey::of(candidates);
    if survey.ready == 0 {
        return None;
    }
    let bound = survey.queue_bound(weights, options);
    let picks = pick_by_prefix(req, candidates, bound);
    let scorer = Scorer {
        req,
        weights,
        options,
        lowest_price: survey.lowest_price,
    };
    let mut best = BestScores::new(options.tie_time);
    for pick in picks.all() {
        best.offer(scorer.score(pick.index, &candidates[pick.index], pick.belief(options)));
    }
    let mut offer = |index: usize| {
        if !picks.contains(index) {
            best.offer(scorer.score(index, &candidates[index], 0.0));
        }
    };
    if survey.ready <= options.samples {
        ready(candidates).for_each(|(index, _)| offer(index));
    } else {
        (0..options.samples).for_each(|_| offer(survey.draw(candidates, rng)));
    }
    best.draw(rng)
}

fn ready(candidates: &[Candidate]) -> impl Iterator<Item = (usize, &Candidate)> {
    let is_ready = |(_, c): &(usize, &Candidate)| c.state == CandidateState::Ready;
    candidates.iter().enumerate().filter(is_ready)
}

/// `Survey` sums up the candidates that are ready.
struct Survey {
    ready: usize,
    mean_queue: f64,
    lowest_price: f64,
}

impl Survey {
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

    fn queue_bound(&self, weights: &RoutingWeights, options: &RouteOptions) -> f64 {
        let slack = options.load_slack.as_secs_f64() * (1.0 + weights.recomputed_tokens);
        self.mean_queue * (1.0 + options.load_bound) + slack
    }

    /// Draws a ready candidate. There must be one.
    fn draw(&self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        if self.ready == candidates.len() {
            return rng.random_range(0..candidates.len());
        }
        let nth = rng.random_range(0..self.ready);
        let drawn = ready(candidates).nth(nth);
        drawn.map_or(0, |(index, _)| index)
    }
}
