//! Plans the moves of the work of upstreams that are reclaimed.
//!
//! A stream that is expected to end before the upstream stops, by its measured token rate, stays.
//! Of the others, as many as the time allows move with their KV cache. The rest are recomputed at
//! the target where the prefill ends first, which favours long cached prefixes. The remaining time
//! is used to move the caches of answers that ended recently, because their conversations may
//! continue.

use std::{cmp::Reverse, time::Duration};

use verbenahead_core::units::{TokenRate, Tokens};

use crate::{
    hash,
    load::LoadEstimate,
    route::{Candidate, CandidateState},
};

/// `ReclaimOptions` configures the plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReclaimOptions {
    /// Safety margin before the stop, in which nothing is planned.
    pub margin: Duration,
    /// Safety factor on the expected remaining time of a stream.
    pub safety_factor: f64,
    /// Time by which the queue of the owner of a prefix may exceed the shortest queue.
    pub target_slack: Duration,
}

impl Default for ReclaimOptions {
    fn default() -> Self {
        Self {
            margin: Duration::from_millis(500),
            safety_factor: 1.2,
            target_slack: Duration::from_millis(500),
        }
    }
}

/// `LeavingWork` is a stream at a leaving upstream, or the KV cache of an answer that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeavingWork {
    /// Index of the leaving upstream.
    pub upstream: usize,
    /// Maximum number of tokens that the answer may still produce; `None` for an ended answer.
    pub max_remaining_tokens: Option<Tokens>,
    /// Measured time between tokens.
    pub interval: Duration,
    /// Size of the prompt and the answer so far.
    pub context: Tokens,
    /// Key of the affinity prefix, by which later requests are routed.
    pub key: u64,
    /// Time since the end of the answer; zero for a stream.
    pub idle: Duration,
}

/// `LeavingUpstream` is an upstream that is being reclaimed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeavingUpstream {
    /// Time until the upstream stops.
    pub remaining: Duration,
    /// Rate at which this node may export KV caches; zero if the upstream has no export.
    pub export_rate: TokenRate,
}

/// `MoveKind` is how a piece of work is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MoveKind {
    /// The stream stays, because it ends in time or there is no target.
    Stay,
    /// The KV cache is transferred to the target, and a stream continues there without a prefill.
    Transfer,
    /// The stream continues at the target after a prefill of the uncached tokens.
    Recompute,
    /// The KV cache of an ended answer is discarded.
    Drop,
}

/// `Move` is the planned handling of one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// Index of the work.
    pub work: usize,
    /// How the work is handled.
    pub kind: MoveKind,
    /// Index of the target, if the work moves.
    pub target: Option<usize>,
    /// Delay before the move begins.
    pub delay: Duration,
}

/// Plans the moves of all work of the leaving upstreams. `cached` takes the index of a piece of
/// work and the index of a target and returns the tokens of the work that the target has cached.
pub fn plan_moves(
    work: &[LeavingWork],
    leaving: &[LeavingUpstream],
    targets: &[Candidate],
    options: &ReclaimOptions,
    cached: impl Fn(usize, usize) -> Tokens,
) -> Vec<Move> {
    let mut planner = Planner {
        leaving,
        targets,
        options,
        cached,
        export_ends: vec![Duration::ZERO; leaving.len()],
        planned_prefill: vec![Duration::ZERO; targets.len()],
        loads: targets.iter().map(|target| target.load).collect(),
    };
    let mut order: Vec<_> = (0..work.len()).collect();
    // Streams come before ended answers. Streams are ordered by size, largest first, and ended
    // answers by recency, latest first.
    order.sort_by_key(|index| {
        let item = &work[*index];
        (
            item.max_remaining_tokens.is_none(),
            item.idle,
            Reverse(item.context),
        )
    });
    let plan = order.into_iter();
    plan.map(|index| planner.plan(index, &work[index]))
        .collect()
}

struct Planner<'a, F> {
    leaving: &'a [LeavingUpstream],
    targets: &'a [Candidate],
    options: &'a ReclaimOptions,
    cached: F,
    /// End of the planned exports of each leaving upstream.
    export_ends: Vec<Duration>,
    /// Planned prefill time at each target.
    planned_prefill: Vec<Duration>,
    loads: Vec<LoadEstimate>,
}

impl<F: Fn(usize, usize) -> Tokens> Planner<'_, F> {
    fn plan(&mut self, index: usize, work: &LeavingWork) -> Move {
        let stay = Move {
            work: index,
            kind: MoveKind::Stay,
            target: None,
            delay: Duration::ZERO,
        };
        if self.ends_in_time(work) {
            return stay;
        }
        if let Some(transfer) = self.plan_transfer(index, work) {
            return transfer;
        }
        if work.max_remaining_tokens.is_none() {
            return Move {
                kind: MoveKind::Drop,
                ..stay
            };
        }
        self.plan_recompute(index, work).unwrap_or(stay)
    }

    fn ends_in_time(&self, work: &LeavingWork) -> bool {
        let Some(max_remaining_tokens) = work.max_remaining_tokens else {
            return false;
        };
        let seconds = max_remaining_tokens.0 as f64
            * work.interval.as_secs_f64()
            * self.options.safety_factor;
        seconds <= self.time_left(work).as_secs_f64()
    }

    fn time_left(&self, work: &LeavingWork) -> Duration {
        let remaining = self.leaving[work.upstream].remaining;
        remaining.saturating_sub(self.options.margin)
    }

    /// Plans an export after those already planned, if it ends in time.
    fn plan_transfer(&mut self, index: usize, work: &LeavingWork) -> Option<Move> {
        let rate = self.leaving[work.upstream].export_rate.0;
        if rate <= 0.0 {
            return None;
        }
        let delay = self.export_ends[work.upstream];
        let ends = delay + Duration::from_secs_f64(work.context.0 as f64 / rate);
        if ends > self.time_left(work) {
            return None;
        }
        let target = self.owner(work)?;
        if (self.cached)(index, target) >= work.context {
            return None;
        }
        self.export_ends[work.upstream] = ends;
        if work.max_remaining_tokens.is_some() {
            self.loads[target].requests += 1.0;
        }
        Some(Move {
            work: index,
            kind: MoveKind::Transfer,
            target: Some(target),
            delay,
        })
    }

    /// Plans a prefill at the target where it ends first, after those already planned.
    fn plan_recompute(&mut self, index: usize, work: &LeavingWork) -> Option<Move> {
        let cost = |target: usize| {
            let cached = (self.cached)(index, target);
            let uncached = Tokens(work.context.0.saturating_sub(cached.0));
            let load = &self.targets[target].load;
            (load.prefill_time(uncached), self.queue_time(target))
        };
        let target = self.ready().min_by_key(|target| {
            let (prefill, queue) = cost(*target);
            prefill + queue
        })?;
        let (prefill, _) = cost(target);
        let delay = self.planned_prefill[target].min(self.time_left(work));
        self.planned_prefill[target] += prefill;
        self.loads[target].requests += 1.0;
        Some(Move {
            work: index,
            kind: MoveKind::Recompute,
            target: Some(target),
            delay,
        })
    }

    /// Returns the highest-ranked target for the affinity prefix among those with a short queue.
    /// Later requests of the conversation are routed there and find the cache.
    fn owner(&self, work: &LeavingWork) -> Option<usize> {
        let shortest = self.ready().map(|target| self.queue_time(target)).min()?;
        let limit = shortest + self.options.target_slack;
        let is_short = |target: &usize| self.queue_time(*target) <= limit;
        let score = |target: &usize| {
            hash::rendezvous_score(work.key, self.targets[*target].upstream.as_str())
        };
        self.ready().filter(is_short).max_by_key(score)
    }

    fn queue_time(&self, target: usize) -> Duration {
        self.loads[target].queue_time() + self.planned_prefill[target]
    }

    fn ready(&self) -> impl Iterator<Item = usize> {
        let is_ready = |(_, c): &(usize, &Candidate)| c.state == CandidateState::Ready;
        let ready = self.targets.iter().enumerate().filter(is_ready);
        ready.map(|(index, _)| index)
    }
}
