//! What happens to the work of upstreams that are reclaimed.
//!
//! A stream that ends before the upstream stops, by its own measured rate, stays. Of the others,
//! as many as the time allows move with their KV cache; the rest are computed again at the target
//! with the longest cached prefix. Time that is left moves the caches of answers that ended
//! lately, because their conversations go on.

use std::{cmp::Reverse, time::Duration};

use verbenahead_core::units::{TokenRate, Tokens};

use crate::{
    hash,
    load::LoadEstimate,
    route::{Candidate, CandidateState},
};

/// `ReclaimOptions` tune the plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReclaimOptions {
    /// Time before the stop in which nothing is planned.
    pub margin: Duration,
    /// Factor by which a stream may take longer than its measured rate says.
    pub caution: f64,
    /// Time by which the queue of a target that ranks first for a prefix may exceed the shortest.
    pub target_slack: Duration,
}

impl Default for ReclaimOptions {
    fn default() -> Self {
        Self {
            margin: Duration::from_millis(500),
            caution: 1.2,
            target_slack: Duration::from_millis(500),
        }
    }
}

/// `LeavingWork` is a stream at a leaving upstream, or the cache of an answer that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeavingWork {
    /// Index of the leaving upstream among those of the plan.
    pub upstream: usize,
    /// Most tokens that the answer may still have; `None` for an answer that has ended.
    pub max_remaining_tokens: Option<Tokens>,
    /// Measured time between tokens.
    pub interval: Duration,
    /// Size of the prompt and of the answer so far.
    pub context: Tokens,
    /// Key of the deciding prefix, by which later requests find the target.
    pub key: u64,
    /// Time since the answer has ended; zero for a stream.
    pub idle: Duration,
}

/// `LeavingUpstream` is an upstream that is reclaimed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LeavingUpstream {
    /// Time until it stops.
    pub remaining: Duration,
    /// Rate at which this node may export KV caches from it; zero where it cannot.
    pub export_rate: TokenRate,
}

/// `MoveWay` is what happens to a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MoveKind {
    /// The stream ends before its upstream stops.
    Stay,
    /// The KV cache is exported and imported, and the stream goes on without recomputation.
    Transfer,
    /// The stream goes on at the target after a prefill of what is not cached there.
    Recompute,
    /// The cache is given up.
    Drop,
}

/// `Move` is the plan for one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// Index of the work.
    pub work: usize,
    /// What happens to it.
    pub kind: MoveKind,
    /// Index of the target, if it moves.
    pub target: Option<usize>,
    /// Delay before the move begins.
    pub delay: Duration,
}

/// Plans the moves of all the work of leaving upstreams at once. `cached` returns the tokens of
/// a piece of work that a target has cached.
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
        exporting: vec![Duration::ZERO; leaving.len()],
        assigned: vec![Duration::ZERO; targets.len()],
        loads: targets.iter().map(|target| target.load).collect(),
    };
    let mut order: Vec<_> = (0..work.len()).collect();
    // Streams go before ended answers, large ones first; of these the latest goes first.
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
    exporting: Vec<Duration>,
    assigned: Vec<Duration>,
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
        let seconds =
            max_remaining_tokens.0 as f64 * work.interval.as_secs_f64() * self.options.caution;
        seconds <= self.time_left(work).as_secs_f64()
    }

    fn time_left(&self, work: &LeavingWork) -> Duration {
        let remaining = self.leaving[work.upstream].remaining;
        remaining.saturating_sub(self.options.margin)
    }

    /// Plans an export behind those planned before it, if it ends in time.
    fn plan_transfer(&mut self, index: usize, work: &LeavingWork) -> Option<Move> {
        let rate = self.leaving[work.upstream].export_rate.0;
        if rate <= 0.0 {
            return None;
        }
        let delay = self.exporting[work.upstream];
        let ends = delay + Duration::from_secs_f64(work.context.0 as f64 / rate);
        if ends > self.time_left(work) {
            return None;
        }
        let target = self.owner(work)?;
        if (self.cached)(index, target) >= work.context {
            return None;
        }
        self.exporting[work.upstream] = ends;
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

    /// Plans a prefill where it ends first, behind those planned before it.
    fn plan_recompute(&mut self, index: usize, work: &LeavingWork) -> Option<Move> {
        let cost = |target: usize| {
            let cached = (self.cached)(index, target);
            let uncached = Tokens(work.context.0.saturating_sub(cached.0));
            let load = &self.targets[target].load;
            (load.prefill_time(uncached), self.queue(target))
        };
        let target = self.ready().min_by_key(|target| {
            let (prefill, queue) = cost(*target);
            prefill + queue
        })?;
        let (prefill, _) = cost(target);
        let delay = self.assigned[target].min(self.time_left(work));
        self.assigned[target] += prefill;
        self.loads[target].requests += 1.0;
        Some(Move {
            work: index,
            kind: MoveKind::Recompute,
            target: Some(target),
            delay,
        })
    }

    /// Returns the first-ranked target of the work's prefix whose queue is short enough. Later
    /// requests of the conversation look for the cache there.
    fn owner(&self, work: &LeavingWork) -> Option<usize> {
        let shortest = self.ready().map(|target| self.queue(target)).min()?;
        let limit = shortest + self.options.target_slack;
        let is_short = |target: &usize| self.queue(*target) <= limit;
        let rank = |target: &usize| {
            hash::rendezvous_score(work.key, self.targets[*target].upstream.as_str())
        };
        self.ready().filter(is_short).max_by_key(rank)
    }

    fn queue(&self, target: usize) -> Duration {
        self.loads[target].queue_time() + self.assigned[target]
    }

    fn ready(&self) -> impl Iterator<Item = usize> {
        let is_ready = |(_, c): &(usize, &Candidate)| c.state == CandidateState::Ready;
        let ready = self.targets.iter().enumerate().filter(is_ready);
        ready.map(|(index, _)| index)
    }
}
