//! Grants from the quotas that one node keeps for all nodes.
//!
//! Each quota has one collector at a time: a node that grants all requests of the workspace, so that
//! the quota holds without knowledge of who admits how much. The nodes choose it by rendezvous
//! hashing. Its buckets are soft state. A node that begins to collect a quota, or that has been
//! paused while another node may have taken its place, starts with an empty bucket.

use std::time::Duration;

use verbenahead_core::{HashMap, units::Tokens};

use crate::{
    limit_split::DemandMeter,
    quota_bucket::{QuotaBucket, QuotaLimit, QuotaOptions},
    return_queue::ReturnQueue,
    stand_in_allowance::StandInAllowance,
    time::Timestamp,
};

/// `QuotaCollectorOptions` configures a collector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaCollectorOptions {
    /// Parameters of the buckets.
    pub quotas: QuotaOptions,
    /// Time without a sign of life of the own process after which it counts as paused. Other nodes
    /// replace a collector that does not answer within this time.
    pub max_pause: Duration,
    /// Time after which a collector that stands in for another one forgets an unused bucket.
    pub stand_in_idle: Duration,
    /// Time after which a full bucket is forgotten.
    pub collected_idle: Duration,
    /// Part of a quota that a collector grants while it stands in for another one and does not know
    /// yet which part of the nodes it is in contact with.
    pub stand_in_share: f64,
}

impl Default for QuotaCollectorOptions {
    fn default() -> Self {
        Self {
            quotas: QuotaOptions::default(),
            max_pause: Duration::from_millis(600),
            stand_in_idle: Duration::from_secs(1),
            collected_idle: Duration::from_secs(60),
            stand_in_share: 0.5,
        }
    }
}

impl QuotaCollectorOptions {
    fn share(&self, is_stand_in: bool, reach: Option<f64>) -> f64 {
        let unknown = if is_stand_in {
            self.stand_in_share
        } else {
            1.0
        };
        reach.unwrap_or(unknown)
    }
}

/// `QuotaCollector` keeps the buckets of the quotas that one node collects.
#[derive(Debug, Clone)]
pub struct QuotaCollector {
    options: QuotaCollectorOptions,
    /// Buckets by the key of the workspace.
    buckets: HashMap<u32, CollectedQuota>,
    /// Grants while the collector that this node stands in for may be alive, by the key of the workspace. They
    /// are kept longer than the bucket, for the window that they count in.
    unconfirmed: HashMap<u32, StandInAllowance>,
    /// Part of the nodes that this node is in contact with, if known.
    reach: Option<f64>,
    /// Last time at which the process is known to have run.
    active_at: Timestamp,
    /// Time of the start, or of the end of the last pause.
    resumed_at: Timestamp,
}

/// Time constant of the demand for a quota.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Demand from which refused callers are given booked times, as a multiple of the rate. Below it, a caller that
/// returns after the wait of its own request is served, and a place behind others would only make it late.
const OVERLOAD: f64 = 2.0;

/// Part of the rate of the quota that is booked for callers that return. The rest is for new requests, of which
/// the smaller ones go first.
const RETURN_SHARE: f64 = 0.5;

/// Shortest wait of a request that a stand-in refuses because its collector may be alive. Within it, the
/// collector answers or its silence is confirmed.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(500);

/// `QuotaAsk` is a request for units of a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaAsk {
    /// Key of the workspace.
    pub workspace: u32,
    /// Limit of the quota, as the asking node knows it.
    pub limit: QuotaLimit,
    /// Requested units.
    pub units: Tokens,
    /// Whether the request runs whatever the answer.
    pub is_admitted: bool,
    /// Key of the caller's request, the same each time the caller returns with it. Requests without a key
    /// are not booked when they are refused.
    pub caller: Option<u32>,
    /// Number of nodes that precede this one, if it stands in for a collector whose silence is not confirmed.
    pub unconfirmed_rank: Option<u32>,
}

#[derive(Debug, Clone)]
struct CollectedQuota {
    bucket: QuotaBucket,
    returns: ReturnQueue,
    /// Units that are asked for, granted or not.
    demand: DemandMeter,
    is_stand_in: bool,
    used_at: Timestamp,
}

impl QuotaCollector {
    /// Builds a collector without buckets.
    pub fn new(options: QuotaCollectorOptions, now: Timestamp) -> Self {
        Self {
            options,
            buckets: HashMap::default(),
            unconfirmed: HashMap::default(),
            reach: None,
            active_at: now,
            resumed_at: now,
        }
    }

    /// Records that the process runs, and sets the part of the nodes that it is in contact with, if
    /// known. Only that part of each quota is granted, so that nodes which are partitioned from each
    /// other do not each grant the whole quota. Call it at least every
    /// [`max_pause`](QuotaCollectorOptions::max_pause).
    pub fn step(&mut self, reach: Option<f64>, now: Timestamp) {
        self.resume(now);
        self.reach = reach;
        let options = &self.options;
        let window = options.quotas.tolerance.window;
        self.unconfirmed
            .retain(|_, spent| !spent.is_whole(window, now));
        self.buckets.retain(|_, quota| {
            let idle = now.since(quota.used_at);
            match quota.is_stand_in {
                true => idle < options.stand_in_idle,
                false => idle < options.collected_idle || !quota.bucket.is_full(now),
            }
        });
        for quota in self.buckets.values_mut() {
            quota
                .bucket
                .set_share(self.options.share(quota.is_stand_in, reach), now);
        }
    }

    /// Returns whether the part of the nodes that this node is in contact with matters: it stands in
    /// for another node, or much of a quota is used.
    pub fn needs_reach(&self, now: Timestamp) -> bool {
        let mut quotas = self.buckets.values();
        quotas.any(|quota| quota.is_stand_in || quota.bucket.is_busy(now))
    }

    /// Returns the workspaces for which this node stands in for another one.
    pub fn stand_ins(&self) -> impl Iterator<Item = u32> {
        let quotas = self.buckets.iter();
        quotas.filter_map(|(workspace, quota)| quota.is_stand_in.then_some(*workspace))
    }

    /// Returns whether this node stands in for another one for a quota.
    pub fn is_stand_in(&self, workspace: u32) -> bool {
        let quota = self.buckets.get(&workspace);
        quota.is_some_and(|quota| quota.is_stand_in)
    }

    /// Grants a request for units of a quota. `collecting_since` is the time since which this
    /// node is the first choice of the workspace, or `None` if it stands in for another node.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the quota allows the request, if it is used up. The units of a request
    /// that was admitted before are taken even then.
    pub fn grant(
        &mut self,
        ask: &QuotaAsk,
        collecting_since: Option<Timestamp>,
        now: Timestamp,
    ) -> Result<(), Duration> {
        let QuotaAsk {
            workspace,
            limit,
            units,
            is_admitted,
            caller,
            unconfirmed_rank,
        } = *ask;
        self.resume(now);
        let since = collecting_since.map_or(now, |since| since.max(self.resumed_at));
        let options = self.options.quotas;
        let quota = self
            .buckets
            .entry(workspace)
            .or_insert_with(|| CollectedQuota {
                bucket: QuotaBucket::new(options, limit, since),
                returns: ReturnQueue::default(),
                demand: DemandMeter::new(DEMAND_TIME),
                is_stand_in: collecting_since.is_none(),
                used_at: now,
            });
        if let Some(since) = collecting_since.filter(|since| quota.used_at < *since) {
            // Another node collected the quota since the last grant.
            quota.bucket.drain(since);
        }
        quota.is_stand_in = collecting_since.is_none();
        quota.used_at = now;
        quota.bucket.set_limit(limit, now);
        let share = self.options.share(quota.is_stand_in, self.reach);
        quota.bucket.set_share(share, now);
        quota.demand.add(units.0 as f64, now);
        let is_overloaded = quota.demand.rate(now).0 > limit.rate * OVERLOAD;
        let is_due = caller.is_some_and(|caller| quota.returns.is_due(caller, now));
        let wait = match is_due {
            true => quota.bucket.wait_of_due(now),
            false => quota.bucket.wait(units, now),
        };
        let tolerance = options.tolerance;
        let wait = match unconfirmed_rank {
            Some(rank) => {
                let allowed = tolerance.max_unconfirmed(&limit, rank);
                let size = units.0 as f64;
                let spent = self.unconfirmed.entry(workspace).or_default();
                let is_allowed = spent.allows(size, allowed, tolerance.window, now);
                if is_allowed && wait.is_zero() {
                    spent.take(size, tolerance.window, now);
                }
                if is_allowed {
                    wait
                } else {
                    wait.max(UNCONFIRMED_WAIT)
                }
            }
            None => wait,
        };
        if wait.is_zero() || is_admitted {
            quota.bucket.take(units, now);
        }
        match (wait.is_zero(), caller) {
            (true, caller) => {
                caller.inspect(|caller| quota.returns.forget(*caller));
                Ok(())
            }
            (false, Some(caller)) if !is_admitted && is_overloaded => {
                let service_time = quota.bucket.service_time(units).div_f64(RETURN_SHARE);
                Err(quota.returns.book(caller, service_time, wait, now))
            }
            (false, _) => Err(wait),
        }
    }

    /// Returns the time of the start, or of the end of the last pause.
    pub fn resumed_at(&self) -> Timestamp {
        self.resumed_at
    }

    /// Returns whether grants from a quota were asked for recently.
    pub fn contains(&self, workspace: u32) -> bool {
        self.buckets.contains_key(&workspace)
    }

    /// Credits the units of a granted request that did not run.
    pub fn refund(&mut self, workspace: u32, units: Tokens, now: Timestamp) {
        if let Some(quota) = self.buckets.get_mut(&workspace) {
            quota.bucket.refund(units, now);
        }
    }

    /// Empties all buckets if the process was paused.
    fn resume(&mut self, now: Timestamp) {
        if now.since(self.active_at) > self.options.max_pause {
            self.resumed_at = now;
            for quota in self.buckets.values_mut() {
                quota.bucket.drain(now);
            }
        }
        self.active_at = self.active_at.max(now);
    }
}
