//! Stages of a rollout: which share of the requests the target gets, and when there is a verdict.
//!
//! While the target is being evaluated it gets as many requests as the bound on requests to a bad
//! version allows by the counts so far. All requests move shortly before the deadline, early enough for
//! the open streams at the other versions to end.

use std::{collections::VecDeque, time::Duration};

use crate::{
    rollout_evidence::{Evaluation, EvidenceOptions, Symptom},
    time::Timestamp,
};

/// `RolloutPlanOptions` configures the stages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPlanOptions {
    /// Largest part of all requests that a bad version may get.
    pub exposure_share: f64,
    /// Requests that a bad version may get besides.
    pub exposure_slack: f64,
    /// Thresholds of the evaluation.
    pub evidence: EvidenceOptions,
}

/// Part of the bound on requests to a bad version that is used before the traffic moves. Requests that are
/// sent but not counted yet are included. The rest is for those that are sent until the nodes know that the
/// version is bad. With 0.6, versions with few bad answers are let through more often at low rates.
const CANARY_PART: f64 = 0.85;

/// Requests that the target gets soon. With as many, a version of whose answers a quarter is bad is found
/// out.
const FIRST_REQUESTS: f64 = 40.0;

/// Time in which requests are sent before their counts are known: a count is up to 0.75 s old, and an
/// answer takes a while.
const COUNT_LAG: f64 = 1.0;

/// Largest share while the target is evaluated, unless there is little traffic.
const MAX_CANARY_SHARE: f64 = 0.25;

/// Requests per second that the target may get at any traffic while it is evaluated, within
/// [`MAX_CANARY_SHARE`] of the second.
const SMALL_RATE: f64 = 30.0;

/// Largest share with little traffic. The other versions must get enough for a comparison.
const MAX_SMALL_SHARE: f64 = 0.6;

/// Time of the stage in which half of the requests go to the target.
const HALF_STAGE: Duration = Duration::from_millis(700);

/// Period of the load on the target while its share is small. An answer that is slow under load comes before
/// the next one.
const PULSE_PERIOD: Duration = Duration::from_secs(2);

/// Part of the bound on requests to a bad version that is used by the end of that stage.
const HALF_PART: f64 = 0.9;

/// Time in which the target is evaluated at least, if the deadline allows.
const MIN_CANARY: Duration = Duration::from_secs(2);

/// Shortest time for which all requests go to the target before the verdict. The counts of a full
/// load must have arrived.
const MIN_FULL: Duration = Duration::from_millis(1_200);

/// Time before the deadline at which the verdict is due. Writing the status takes some hundred
/// milliseconds if the store is slow.
const VERDICT_MARGIN: Duration = Duration::from_millis(700);

/// Likelihood ratio and part of failures from which `succeeded` waits for more answers. Answers of a full load
/// come for less than a second before it otherwise, too short to tell a fault from an outage of all versions.
const HOLD_RATIO: f64 = 2.0;
const HOLD_SHARE: f64 = 0.3;

/// Time before the deadline until which it waits: [`VERDICT_MARGIN`], and the time between two steps.
const HOLD_MARGIN: Duration = Duration::from_millis(1_000);

/// Part of the duration by which the traffic moves earlier, for a controller that fails meanwhile.
const SPARE_PART: f64 = 0.06;

/// Shortest and longest time that is allowed for the open requests at other versions to end. The longest
/// one is a part of the duration.
const MIN_TAIL: Duration = Duration::from_millis(800);
const MAX_TAIL_PART: f64 = 0.35;

/// Part of the replicas of other versions that the target must have before all requests move to it.
const MIN_REPLICA_PART: f64 = 0.75;

/// Fewest replicas of the target that get requests. The fault of one machine is not that of the version.
const MIN_TARGETS: usize = 2;

/// Returns how many of the live replicas of the target get requests at this share. Each of them gets about
/// the load that it will have with all requests, so that a fault under load shows early.
#[must_use]
pub fn targets_in_use(share: f64, live: usize) -> usize {
    let loaded = (share * live as f64).ceil() as usize;
    loaded.max(MIN_TARGETS).min(live)
}

/// `RolloutView` is what the controller knows of a rollout at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RolloutView {
    /// Attempts at the service since the order.
    pub attempts: u64,
    /// Attempts at the target since the order.
    pub target_attempts: u64,
    /// Attempts per second at the service.
    pub rate: f64,
    /// Live replicas of the target.
    pub target_replicas: usize,
    /// Live replicas of other versions.
    pub old_replicas: usize,
    /// Attempts that are open at other versions.
    pub open_old: u64,
    /// Longest recent attempt at other versions.
    pub longest: Duration,
    /// Whether all nodes that can be heard have confirmed that all requests go to the target.
    pub is_confirmed: bool,
    /// Evaluation of the target.
    pub evaluation: Option<Evaluation>,
}

/// `RolloutStep` is what the controller does next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutStep {
    /// This part of the requests goes to the target.
    Share(f64),
    /// All traffic is at the target.
    Succeed,
    /// The target gets no requests any more.
    RollBack(RollbackReason),
}

/// `RollbackReason` is the reason why a rollout is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum RollbackReason {
    /// The answers of the target are worse.
    Bad,
    /// The target had too few replicas by the deadline.
    NoReplicas,
    /// The traffic could not be moved by the deadline.
    Late,
    /// Another order replaced this one.
    Replaced,
}

/// `RolloutPlan` decides on the stages of one rollout.
#[derive(Debug, Clone)]
pub struct RolloutPlan {
    options: RolloutPlanOptions,
    duration: Duration,
    deadline: Timestamp,
    /// Time at which the target first had replicas.
    ready_at: Option<Timestamp>,
    half_at: Option<Timestamp>,
    full_at: Option<Timestamp>,
    /// Shares of the last [`COUNT_LAG`] seconds.
    shares: VecDeque<(Timestamp, f64)>,
}

impl RolloutPlan {
    /// Builds the plan of a rollout with this time from its order to its deadline. It begins with the
    /// smallest share, also when another controller had a larger one.
    #[must_use]
    pub fn new(options: RolloutPlanOptions, duration: Duration, deadline: Timestamp) -> Self {
        Self {
            options,
            duration,
            deadline,
            ready_at: None,
            half_at: None,
            full_at: None,
            shares: VecDeque::new(),
        }
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }

    /// Decides what to do at `now`.
    pub fn step(&mut self, view: &RolloutView, now: Timestamp) -> RolloutStep {
        let uncounted = self.uncounted(view.rate, now);
        let step = self.next_step(view, uncounted, now);
        if let RolloutStep::Share(share) = step {
            self.shares.push_back((now, share));
        }
        step
    }

    /// Returns the requests to the target that are sent but not counted yet, from the shares of the last
    /// [`COUNT_LAG`] seconds. Counts that lag would let the first stage use the allowance of the later ones.
    fn uncounted(&mut self, rate: f64, now: Timestamp) -> f64 {
        while self.shares.len() > 1 && now.since(self.shares[1].0).as_secs_f64() >= COUNT_LAG {
            self.shares.pop_front();
        }
        let ages = self
            .shares
            .iter()
            .map(|(at, _)| now.since(*at).as_secs_f64());
        let ages: Vec<f64> = ages.map(|age| age.min(COUNT_LAG)).collect();
        let ends = ages.iter().skip(1).chain([&0.0]);
        let periods = ages.iter().zip(ends).map(|(from, until)| from - until);
        let shares = self.shares.iter().zip(periods);
        shares
            .map(|((_, share), period)| rate * share * period)
            .sum()
    }

    fn next_step(&mut self, view: &RolloutView, uncounted: f64, now: Timestamp) -> RolloutStep {
        let evidence = &self.options.evidence;
        let evaluation = view.evaluation.as_ref();
        if evaluation.is_some_and(|found| found.is_certain(evidence)) {
            return RolloutStep::RollBack(RollbackReason::Bad);
        }
        let is_doubtful = evaluation.is_some_and(|found| found.is_likely(evidence));
        let remaining = self.remaining(now);
        if remaining <= VERDICT_MARGIN {
            return self.last_step(view, is_doubtful);
        }
        if view.target_replicas == 0 {
            self.full_at = None;
            return RolloutStep::Share(0.0);
        }
        let ready_at = *self.ready_at.get_or_insert(now);
        if let Some(full_at) = self.full_at {
            let is_held = remaining > HOLD_MARGIN && evaluation.is_some_and(has_many_failures);
            let is_moved = view.is_confirmed && view.open_old == 0;
            let is_over = now.since(full_at) >= MIN_FULL && is_moved && !is_held;
            return match (is_doubtful, is_over) {
                (true, _) => RolloutStep::RollBack(RollbackReason::Bad),
                (false, true) => RolloutStep::Succeed,
                (false, false) => RolloutStep::Share(1.0),
            };
        }
        let move_before = self.move_before(view);
        let left = remaining.saturating_sub(move_before);
        let latest = VERDICT_MARGIN + MIN_FULL;
        let is_evaluated = now.since(ready_at) >= MIN_CANARY || remaining <= latest;
        let has_replicas = view.target_replicas as f64
            >= MIN_REPLICA_PART * view.old_replicas as f64
            || remaining <= latest;
        if remaining <= move_before && is_evaluated && has_replicas {
            if is_doubtful {
                return RolloutStep::RollBack(RollbackReason::Bad);
            }
            self.full_at = Some(now);
            return RolloutStep::Share(1.0);
        }
        let is_near = remaining <= move_before + HALF_STAGE && is_evaluated && has_replicas;
        if is_near && !is_doubtful {
            self.half_at.get_or_insert(now);
            return RolloutStep::Share(self.half_share(view, uncounted, left));
        }
        let capacity = view.target_replicas as f64 / view.old_replicas.max(1) as f64;
        let share = self.canary_share(view, uncounted, left).min(capacity);
        RolloutStep::Share(self.pulse(share, view, now.since(ready_at)))
    }

    /// Decides when the verdict is due.
    fn last_step(&self, view: &RolloutView, is_doubtful: bool) -> RolloutStep {
        if is_doubtful {
            return RolloutStep::RollBack(RollbackReason::Bad);
        }
        match (view.target_replicas, self.full_at) {
            (0, _) => RolloutStep::RollBack(RollbackReason::NoReplicas),
            (_, Some(_)) => RolloutStep::Succeed,
            (_, None) if view.old_replicas == 0 => RolloutStep::Succeed,
            (_, None) => RolloutStep::RollBack(RollbackReason::Late),
        }
    }

    /// Returns the time before the deadline at which all requests move.
    fn move_before(&self, view: &RolloutView) -> Duration {
        let longest = self.duration.mul_f64(MAX_TAIL_PART);
        let tail = view.longest.clamp(MIN_TAIL.min(longest), longest);
        VERDICT_MARGIN + MIN_FULL.max(tail) + self.duration.mul_f64(SPARE_PART)
    }

    /// Returns the requests that the target may still get within a part of the bound.
    fn allowance(&self, view: &RolloutView, uncounted: f64, part: f64) -> f64 {
        let bound = self.options.exposure_share * view.attempts as f64;
        let bound = bound + self.options.exposure_slack;
        (part * bound - view.target_attempts as f64 - uncounted).max(0.0)
    }

    /// Returns the share while the target is evaluated: quickly up to the first evidence, and then evenly
    /// until all requests move, so that a fault that shows later is seen as well.
    fn canary_share(&self, view: &RolloutView, uncounted: f64, left: Duration) -> f64 {
        let rate = view.rate.max(1.0);
        let largest = (SMALL_RATE / rate).clamp(MAX_CANARY_SHARE, MAX_SMALL_SHARE);
        let allowance = self.allowance(view, uncounted, CANARY_PART);
        let first = FIRST_REQUESTS - view.target_attempts as f64 - uncounted;
        let soon = first.clamp(0.0, allowance);
        let further = self.options.exposure_share * rate * left.as_secs_f64();
        let even = (allowance + CANARY_PART * further) / left.as_secs_f64().max(COUNT_LAG);
        let pace = (soon / COUNT_LAG).max(even.min(allowance / COUNT_LAG));
        (pace / rate).min(largest)
    }

    /// Returns the share at this time since the target is ready. If the share is too small to load the fewest
    /// replicas that are used, these get their whole load for a part of each period, and nothing for the
    /// rest.
    fn pulse(&self, share: f64, view: &RolloutView, since_ready: Duration) -> f64 {
        let loaded = MIN_TARGETS as f64 / view.target_replicas.max(1) as f64;
        let is_small = share < loaded && loaded <= MAX_CANARY_SHARE;
        if !is_small || view.rate < SMALL_RATE {
            return share;
        }
        let place = since_ready.as_secs_f64() % PULSE_PERIOD.as_secs_f64();
        match place < PULSE_PERIOD.as_secs_f64() * share / loaded {
            true => loaded,
            false => 0.0,
        }
    }

    /// Returns the share of the stage before all requests move, at most one half.
    fn half_share(&self, view: &RolloutView, uncounted: f64, left: Duration) -> f64 {
        let rate = view.rate.max(1.0);
        let time = HALF_STAGE.as_secs_f64() + COUNT_LAG;
        let share = self.allowance(view, uncounted, HALF_PART) / (rate * time);
        share.min(0.5).max(self.canary_share(view, uncounted, left))
    }
}

/// Returns whether the target has so many failures that a later verdict may differ.
fn has_many_failures(found: &Evaluation) -> bool {
    found.symptom == Symptom::Failures
        && found.log_ratio >= HOLD_RATIO.ln()
        && found.bad as f64 >= HOLD_SHARE * found.answers as f64
}
