//! Admission to a service that lacks places: which requests are sent, held or refused.
//!
//! A node admits a fraction of the demand that arrives at it, which follows the queue of the service. All
//! nodes see samples of the same queue, so that they admit about the same fraction without exchanging
//! messages. Ranks fill this capacity in their order, by their demand of the last seconds, and workspaces
//! share that of a rank evenly.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::HashMap;

use crate::{
    limit_split::DemandMeter, priority_options::PriorityAdmissionOptions,
    return_queue::ReturnQueue, service_pressure::PressureEstimate, time::Timestamp,
};

/// `PriorityRequest` is a request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorityRequest {
    /// Key of the request, which stays the same when its caller returns.
    pub caller: u32,
    /// Key of the workspace.
    pub workspace: u32,
    /// Rank of the workspace or route; 0 is the most urgent.
    pub rank: u8,
    /// Predicted time of the request at a replica, without the time in its queue.
    pub service: Duration,
    /// Time to the first event that is the objective of the route.
    pub objective: Duration,
    /// Time left to the objective.
    pub left: Duration,
}

/// `PriorityDecision` is the decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PriorityDecision {
    /// The request is sent.
    Admit,
    /// The request is sent after this time, when a place is predicted.
    Hold(Duration),
    /// The request is refused. Its caller should return after this time.
    Refuse(Duration),
}

/// `AdmittedShare` is what decided on a request while places are lacking.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmittedShare {
    /// Admitted fraction of all demand.
    pub all: f64,
    /// Admitted fraction of the demand of the rank.
    pub rank: f64,
    /// Admitted fraction of the demand of the workspace in this rank.
    pub workspace: f64,
    /// Predicted wait of the least urgent requests.
    pub wait: Duration,
}

/// `PriorityAdmission` decides on the requests of one node to one service.
#[derive(Debug, Clone)]
pub struct PriorityAdmission {
    options: PriorityAdmissionOptions,
    /// Admitted fraction of the demand.
    admitted: f64,
    /// Number of steps in a row in which the queue was too long.
    long_steps: u32,
    /// Number of steps in a row in which the least urgent ranks did not free enough places.
    floor_steps: u32,
    /// Number of ranks, from the least urgent one, that requests are refused of.
    cut_ranks: usize,
    stepped_at: Option<Timestamp>,
    /// Time at which the service was last known.
    known_at: Timestamp,
    /// Predicted wait of the least urgent requests at the last step.
    wait: Duration,
    /// Whether the wait is so short that nothing is refused.
    is_short: bool,
    /// Part of it beyond the accepted one.
    excess_wait: Duration,
    /// Time for which a request occupies a slot, if known.
    service_time: Option<f64>,
    ranks: BTreeMap<u8, RankDemand>,
    workspaces: HashMap<(u8, u32), DemandMeter>,
    /// Requests that are sent, by predicted time.
    sent: DemandMeter,
    returns: ReturnQueue,
}

#[derive(Debug, Clone)]
struct RankDemand {
    demand: DemandMeter,
    /// Moving average of the objectives, in seconds.
    objective: f64,
}

/// Weight of a request in moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Time without knowledge of the service after which its shortage is taken to be over.
const KNOWLEDGE_PERIOD: Duration = Duration::from_secs(2);

/// Smallest share of the demand that the wait of the least urgent requests is derived from. They wait
/// behind all others, so the whole queue is taken to be theirs.
const MIN_LAST_SHARE: f64 = 0.25;

/// Shortest time until a refused caller should return: the reports of the service change little in less.
const MIN_RETURN: Duration = Duration::from_millis(250);

impl PriorityAdmission {
    /// Builds the admission of a node that has sent nothing to the service.
    pub fn new(options: PriorityAdmissionOptions) -> Self {
        Self {
            options,
            admitted: 1.0,
            long_steps: 0,
            floor_steps: 0,
            cut_ranks: 1,
            stepped_at: None,
            known_at: Timestamp::default(),
            wait: Duration::ZERO,
            is_short: false,
            excess_wait: Duration::ZERO,
            service_time: None,
            ranks: BTreeMap::new(),
            workspaces: HashMap::default(),
            sent: DemandMeter::new(options.demand_memory),
            returns: ReturnQueue::default(),
        }
    }

    /// Records for how long a request occupied a slot of a replica.
    pub fn on_finished(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let known = self.service_time.get_or_insert(seconds);
        *known += AVERAGE_WEIGHT * (seconds - *known);
    }

    /// Returns the fraction of the demand that is admitted.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Decides on a request. `estimate` is the load of the service, if it is known, and `draw` a uniformly
    /// distributed random number between 0 and 1.
    pub fn decide(
        &mut self,
        req: &PriorityRequest,
        estimate: Option<&PressureEstimate>,
        draw: f64,
        now: Timestamp,
    ) -> (PriorityDecision, Option<AdmittedShare>) {
        self.record_demand(req, now);
        self.step(estimate, now);
        let Some(estimate) = estimate.filter(|estimate| !self.is_spare(estimate)) else {
            return (self.admit(req, now), None);
        };
        if self.admitted >= 1.0 || self.is_short {
            return (self.admit(req, now), None);
        }
        let share = self.share(req, now);
        let is_hopeless = req.service > req.left && share.rank < 1.0;
        let hopeless = if is_hopeless {
            self.options.hopeless
        } else {
            1.0
        };
        let keep = (share.workspace * hopeless).max(self.options.floor);
        if keep >= 1.0 || draw < keep || self.returns.is_due(req.caller, now) {
            return (self.admit(req, now), Some(share));
        }
        let max_hold = req.objective.mul_f64(self.options.max_hold);
        let free_after = estimate.drained_after().filter(|after| *after <= max_hold);
        if let Some(after) = free_after.filter(|after| *after + req.service <= req.left) {
            self.admit(req, now);
            return (PriorityDecision::Hold(after), Some(share));
        }
        let decision = PriorityDecision::Refuse(self.book(req, (draw - keep) / (1.0 - keep), now));
        (decision, Some(share))
    }

    /// Returns the cost of a request: the time for which it keeps others from running.
    fn cost(&self, req: &PriorityRequest) -> f64 {
        let occupied = self.service_time.unwrap_or(0.0);
        (occupied + req.service.as_secs_f64()).max(MIN_COST)
    }

    fn is_spare(&self, estimate: &PressureEstimate) -> bool {
        estimate.waiting <= 0.0 || estimate.taken < self.options.spare_below
    }

    fn admit(&mut self, req: &PriorityRequest, now: Timestamp) -> PriorityDecision {
        self.returns.forget(req.caller);
        self.sent.add(self.cost(req), now);
        PriorityDecision::Admit
    }

    /// Books the return of a refused request against this node's part of the throughput. `spread` is the
    /// part of its booked time after which it returns.
    fn book(&mut self, req: &PriorityRequest, spread: f64, now: Timestamp) -> Duration {
        let throughput = self.sent.rate(now).0.max(MIN_THROUGHPUT);
        let service_time = Duration::from_secs_f64((self.cost(req) / throughput).min(MAX_BOOKED));
        let wait = self.excess_wait.max(MIN_RETURN);
        let booked = self.returns.book(req.caller, service_time, wait, now);
        // Callers of several nodes do not come back together.
        booked + service_time.mul_f64(spread.clamp(0.0, 1.0))
    }

    fn record_demand(&mut self, req: &PriorityRequest, now: Timestamp) {
        let cost = self.cost(req);
        let options = &self.options;
        let objective = req.objective.as_secs_f64();
        let rank = self.ranks.entry(req.rank).or_insert_with(|| RankDemand {
            demand: DemandMeter::new(options.demand_memory),
            objective,
        });
        rank.demand.add(cost, now);
        rank.objective += AVERAGE_WEIGHT * (objective - rank.objective);
        if self.workspaces.len() >= options.max_workspaces {
            self.workspaces
                .retain(|_, demand| demand.rate(now).0 > FORGOTTEN_DEMAND);
        }
        if self.workspaces.len() < options.max_workspaces {
            let new = || DemandMeter::new(options.workspace_memory);
            let demand = self.workspaces.entry((req.rank, req.workspace));
            demand.or_insert_with(new).add(cost, now);
        }
    }

    /// Adapts the admitted fraction to the queue of the service.
    fn step(&mut self, estimate: Option<&PressureEstimate>, now: Timestamp) {
        let Some((estimate, service_time)) = estimate.zip(self.service_time) else {
            if now.since(self.known_at) > KNOWLEDGE_PERIOD {
                self.reset();
            }
            return;
        };
        self.known_at = now;
        if self.is_spare(estimate) {
            self.reset();
            return;
        }
        let is_due = |at| now.since(at) >= self.options.step;
        if !self.stepped_at.is_none_or(is_due) {
            return;
        }
        self.stepped_at = Some(now);
        let (last_share, objective) = self.last_rank(now);
        let mean = estimate.queue_time(Duration::from_secs_f64(service_time));
        self.wait = mean.div_f64(last_share.max(MIN_LAST_SHARE));
        let accepted = (objective * self.options.accepted_wait).max(1e-3);
        let excess = self.wait.as_secs_f64() / accepted - 1.0;
        self.excess_wait = Duration::from_secs_f64((accepted * excess).max(0.0));
        self.is_short = excess < self.options.short_excess;
        let is_long = estimate.taken >= self.options.lacking_from && excess > 0.0;
        let is_falling = estimate
            .trend
            .is_some_and(|trend| trend < -self.options.falling * estimate.waiting);
        if !is_long {
            self.long_steps = 0;
            if excess < RECOVERY_EXCESS {
                self.admitted = self.admitted.max(self.least_admitted(now)) + self.options.recovery;
                self.admitted = self.admitted.min(1.0);
                self.cut_ranks = 1;
            }
            return;
        }
        self.long_steps = self.long_steps.saturating_add(1);
        // A queue that becomes shorter needs no further cut.
        if self.long_steps >= self.options.patience && !is_falling {
            let cut = (self.options.gain * excess).min(self.options.max_cut);
            let least = self.least_admitted(now);
            let is_at_least = self.admitted <= least;
            self.admitted = (self.admitted * (1.0 - cut)).max(least);
            // A wait of several objectives means that the last rank does not free enough places.
            self.floor_steps = match is_at_least && excess > self.options.next_rank_excess {
                true => self.floor_steps.saturating_add(1),
                false => 0,
            };
            if self.floor_steps >= self.options.next_rank_patience {
                self.floor_steps = 0;
                self.cut_ranks = (self.cut_ranks + 1)
                    .min(self.ranks.len().saturating_sub(1))
                    .max(1);
            }
        }
    }

    fn reset(&mut self) {
        self.admitted = 1.0;
        self.long_steps = 0;
        self.floor_steps = 0;
        self.cut_ranks = 1;
        self.wait = Duration::ZERO;
        self.excess_wait = Duration::ZERO;
    }

    /// Returns the share of the demand and the objective of the least urgent rank that is in use.
    fn last_rank(&self, now: Timestamp) -> (f64, f64) {
        let total = self.total_demand(now);
        let used = |rank: &&RankDemand| rank.demand.rate(now).0 > total * MIN_RANK_SHARE;
        let last = self.ranks.values().rev().find(used);
        last.map_or((1.0, 1.0), |last| {
            (
                last.demand.rate(now).0 / total.max(FORGOTTEN_DEMAND),
                last.objective,
            )
        })
    }

    /// Returns the admitted fraction of the demand at which the floor of all ranks that may be refused is
    /// reached. The order in which replicas serve their queues protects the others.
    fn least_admitted(&self, now: Timestamp) -> f64 {
        let total = self.total_demand(now);
        // The most urgent rank is not refused, nor the only one that this node has seen.
        let count = self.cut_ranks.min(self.ranks.len().saturating_sub(1));
        let refused = self.ranks.values().rev().take(count);
        let refused: f64 = refused.map(|rank| rank.demand.rate(now).0).sum();
        1.0 - (1.0 - self.options.floor) * (refused / total.max(FORGOTTEN_DEMAND)).min(1.0)
    }

    fn total_demand(&self, now: Timestamp) -> f64 {
        let rates = self.ranks.values().map(|rank| rank.demand.rate(now).0);
        rates.sum()
    }

    fn share(&self, req: &PriorityRequest, now: Timestamp) -> AdmittedShare {
        let floor = self.options.floor;
        let rank = self.rank_share(req.rank, now);
        let of_rank = self.workspaces.iter().filter(|(key, _)| key.0 == req.rank);
        let demands: Vec<f64> = of_rank.map(|(_, demand)| demand.rate(now).0).collect();
        let level = even_level(&demands, rank);
        let own = self.workspaces.get(&(req.rank, req.workspace));
        let own = own.map_or(0.0, |demand| demand.rate(now).0);
        let workspace = if own > 0.0 { level / own } else { rank };
        AdmittedShare {
            all: self.admitted,
            rank,
            workspace: workspace.clamp(floor, 1.0),
            wait: self.wait,
        }
    }

    /// Returns the admitted fraction of a rank: what more urgent ranks leave, and at least the floor.
    fn rank_share(&self, rank: u8, now: Timestamp) -> f64 {
        let floor = self.options.floor;
        let total = self.total_demand(now);
        let admitted = self.admitted.max(self.least_admitted(now));
        let mut left = (admitted - floor).max(0.0) * total;
        for (number, known) in &self.ranks {
            let demand = known.demand.rate(now).0;
            let wanted = (1.0 - floor) * demand;
            let given = wanted.min(left);
            if *number == rank {
                let is_whole = given >= wanted * (1.0 - ROUNDING);
                return if is_whole {
                    1.0
                } else {
                    floor + given / demand
                };
            }
            left -= given;
        }
        1.0
    }
}

/// Throughput below which return times are not computed, in seconds of service per second.
const MIN_THROUGHPUT: f64 = 0.01;

/// Longest time that one request books, in seconds.
const MAX_BOOKED: f64 = 5.0;

/// Demand that is forgotten, in seconds of service per second.
const FORGOTTEN_DEMAND: f64 = 1e-4;

/// Smallest share of the demand of a rank whose wait decides.
const MIN_RANK_SHARE: f64 = 0.05;

/// Excess of the wait below which the admitted fraction rises.
const RECOVERY_EXCESS: f64 = -0.3;

/// Relative error of sums.
const ROUNDING: f64 = 1e-6;

/// Smallest cost of a request, in seconds of service.
const MIN_COST: f64 = 0.01;

/// Returns the demand up to which each of `demands` is admitted, so that the fraction `share` of all is.
fn even_level(demands: &[f64], share: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(f64::total_cmp);
    let mut left = share * demands.iter().sum::<f64>();
    for (index, demand) in demands.iter().enumerate() {
        let part = left / (demands.len() - index) as f64;
        if *demand >= part {
            return part;
        }
        left -= demand;
    }
    f64::INFINITY
}
