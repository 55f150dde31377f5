//! Admission control for the requests of one service at one node.
//!
//! A node has no request queue of its own: it admits or refuses each request immediately, and a
//! refusal carries the delay after which a retry makes sense. The admitted work is bounded by what
//! the upstreams can complete in time, so a burst does not leave a backlog of requests whose
//! callers have already given up.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::{
    WorkspaceId, invariant,
    units::{TokenRate, Tokens},
};
use verbenahead_manifest::Priority;

use crate::{
    admission_capacity::Capacity,
    admission_options::AdmissionOptions,
    limit_split::DemandMeter,
    refusal::{Refusal, RefusalReason},
    time::Timestamp,
    workspace_usage::WorkspaceUsage,
};

/// `AdmissionRequest` holds the properties of a request that admission depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest<'a> {
    /// Workspace that sends the request.
    pub workspace: &'a WorkspaceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Expected tokens of prompt and answer, charged against the workspace's limit.
    pub tokens: Tokens,
    /// Expected time from the start of execution to the end of the answer.
    pub service_time: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
}

/// `Permit` represents an admitted request in flight. Pass it to [`Admission::release`] when the
/// request ends.
#[must_use = "a permit that is never released occupies its slot forever"]
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    workspace: WorkspaceId,
    priority: Priority,
    tokens: Tokens,
    service_time: Duration,
}

impl Permit {
    /// Returns the workspace that sent the request.
    pub fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }

    /// Returns the tokens charged against the workspace's limit.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }
}

/// `Admission` admits or refuses the requests of one service at one node.
#[derive(Debug, Clone)]
pub struct Admission {
    options: AdmissionOptions,
    capacity: Capacity,
    /// Ordered, so that floating-point sums over the workspaces are reproducible.
    workspaces: BTreeMap<WorkspaceId, WorkspaceUsage>,
    in_flight: [u32; PRIORITIES],
    /// Expected service time of all requests in flight.
    work: [Duration; PRIORITIES],
    /// Admitted service time per second, which is the mean number of busy slots.
    admitted_load: [DemandMeter; PRIORITIES],
}

const PRIORITIES: usize = 3;

impl Admission {
    /// Builds admission control for a service with this capacity and no workspaces.
    pub fn new(options: AdmissionOptions, capacity: Capacity) -> Self {
        Self {
            options,
            capacity,
            workspaces: BTreeMap::new(),
            in_flight: [0; PRIORITIES],
            work: [Duration::ZERO; PRIORITIES],
            admitted_load: [DemandMeter::new(options.demand_time_constant); PRIORITIES],
        }
    }

    /// Changes the capacity. Requests that are already admitted are not affected.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Adds a workspace, or changes the share of a known one. Shares are relative weights.
    pub fn set_share(&mut self, workspace: &WorkspaceId, share: u32) {
        let demand_time_constant = self.options.demand_time_constant;
        self.workspaces
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceUsage::new(demand_time_constant))
            .share = share;
    }

    /// Sets this node's part of a workspace's token limit, or removes the limit with `None`.
    pub fn set_limit(&mut self, workspace: &WorkspaceId, rate: Option<TokenRate>, now: Timestamp) {
        let burst_time = self.options.limit_burst_time;
        if let Some(usage) = self.workspaces.get_mut(workspace) {
            usage.set_limit(rate, burst_time, now);
        }
    }

    /// Removes the workspaces for which `keep` returns false. Their requests in flight are not
    /// affected.
    pub fn retain_workspaces(&mut self, keep: impl Fn(&WorkspaceId) -> bool) {
        self.workspaces.retain(|id, _| keep(id));
    }

    /// Returns the token demand of a workspace at this node, whether admitted or refused.
    pub fn demand(&self, workspace: &WorkspaceId, now: Timestamp) -> TokenRate {
        let usage = self.workspaces.get(workspace);
        usage.map_or(TokenRate(0.0), |usage| usage.demand(now))
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Admits or refuses a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the delay after which a retry makes sense.
    pub fn try_admit(
        &mut self,
        req: &AdmissionRequest<'_>,
        now: Timestamp,
    ) -> Result<Permit, Refusal> {
        self.record_demand(req, now)?;
        self.check_limit(req, now)?;
        let checked = self
            .check_deadline(req, now)
            .and_then(|()| self.check_capacity(req, now));
        if let Err(reason) = checked {
            return Err(self.refuse(req, reason, now));
        }
        Ok(self.admit(req, now))
    }

    /// Ends an admitted request whose prompt and answer had `used` tokens.
    pub fn release(&mut self, permit: Permit, used: Tokens, now: Timestamp) {
        let in_flight = &mut self.in_flight[permit.priority as usize];
        invariant!(
            "a released request was admitted",
            *in_flight > 0,
            "{in_flight} requests admitted, {permit:?} released"
        );
        *in_flight = in_flight.saturating_sub(1);
        let work = &mut self.work[permit.priority as usize];
        *work = work.saturating_sub(permit.service_time);
        if let Some(usage) = self.workspaces.get_mut(&permit.workspace) {
            usage.release(permit.tokens, used, now);
        }
    }

    fn record_demand(&mut self, req: &AdmissionRequest<'_>, now: Timestamp) -> Result<(), Refusal> {
        let Some(usage) = self.workspaces.get_mut(req.workspace) else {
            return Err(Refusal {
                retry_after: self.options.max_retry_after,
                reason: RefusalReason::UnknownWorkspace,
            });
        };
        usage.record_demand(req.tokens, now);
        Ok(())
    }

    fn check_limit(&self, req: &AdmissionRequest<'_>, now: Timestamp) -> Result<(), Refusal> {
        let usage = self.workspaces.get(req.workspace);
        let wait = usage.map_or(Duration::ZERO, |usage| usage.limit_wait(req.tokens, now));
        if wait.is_zero() {
            return Ok(());
        }
        Err(Refusal {
            retry_after: wait.min(self.options.max_retry_after),
            reason: RefusalReason::TokenLimit,
        })
    }

    fn check_deadline(
        &self,
        req: &AdmissionRequest<'_>,
        now: Timestamp,
    ) -> Result<(), RefusalReason> {
        let wait = self.expected_wait(req.priority, now);
        let slack = req.deadline.since(now.plus(req.service_time));
        let is_late = now.plus(req.service_time) > req.deadline;
        let is_too_long = wait > slack.mul_f64(self.options.max_wait_ratio);
        allow_if(!is_late && !is_too_long, RefusalReason::DeadlineUnreachable)
    }

    /// Returns the expected time until a new request of this priority gets a slot.
    ///
    /// Upstreams serve higher priorities first. Work of the same or a higher priority is ahead of
    /// the request, and the continuing arrivals of higher priorities leave it only a part of the
    /// slots.
    fn expected_wait(&self, priority: Priority, now: Timestamp) -> Duration {
        let same = priority as usize;
        let ahead: u32 = self.in_flight[same..].iter().sum();
        let ahead = f64::from(ahead + 1);
        let waiting = (ahead - self.capacity.slots).max(0.0) / ahead;
        let work: Duration = self.work[same..].iter().sum();
        let higher = &self.admitted_load[same + 1..];
        let higher_slots: f64 = higher.iter().map(|meter| meter.rate(now).0).sum();
        let slots = self.capacity.slots;
        let available = (slots - higher_slots).max(slots * MIN_AVAILABLE_RATIO);
        let seconds = waiting * work.as_secs_f64() / available.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// Checks a request against the capacity and the shares of the workspaces.
    ///
    /// A workspace within its share may exceed the limit on requests in flight by a margin, so
    /// that it gets back the slots that others have borrowed. Beyond its share, it may borrow what
    /// the others neither use nor have recently demanded.
    fn check_capacity(
        &self,
        req: &AdmissionRequest<'_>,
        now: Timestamp,
    ) -> Result<(), RefusalReason> {
        let in_flight = self.in_flight();
        let limit = self.max_in_flight(req.priority);
        let wanted = f64::from(in_flight + 1);
        if self.is_within_share(req) {
            let excess = self.options.share_excess * limit + self.workspaces.len() as f64;
            return allow_if(wanted <= limit + excess, RefusalReason::Overloaded);
        }
        allow_if(in_flight == 0 || wanted <= limit, RefusalReason::Overloaded)?;
        let reserved = self.reserved_for_others(req.workspace, now);
        let borrowable = self.max_in_flight(Priority::Interactive) - reserved;
        allow_if(
            in_flight == 0 || wanted <= borrowable,
            RefusalReason::ShareUsedUp,
        )
    }

    fn is_within_share(&self, req: &AdmissionRequest<'_>) -> bool {
        let guaranteed = self.guaranteed(self.max_in_flight(req.priority));
        let usage = self.workspaces.get(req.workspace);
        usage.is_some_and(|usage| f64::from(usage.in_flight + 1) <= guaranteed(usage))
    }

    fn reserved_for_others(&self, workspace: &WorkspaceId, now: Timestamp) -> f64 {
        let guaranteed = self.guaranteed(self.max_in_flight(Priority::Interactive));
        let others = self.workspaces.iter().filter(|(id, _)| *id != workspace);
        others
            .map(|(_, usage)| usage.reserved(guaranteed(usage), &self.options, now))
            .sum()
    }

    /// Returns a function from a workspace to the requests in flight that its share of `limit`
    /// guarantees it, at least one.
    fn guaranteed(&self, limit: f64) -> impl Fn(&WorkspaceUsage) -> f64 {
        let shares: u32 = self.workspaces.values().map(|usage| usage.share).sum();
        let per_share = limit / f64::from(shares.max(1));
        move |usage| (per_share * f64::from(usage.share)).max(1.0)
    }

    /// Returns the total number of requests in flight, running and queued at the upstreams, from
    /// which on requests of this priority are refused.
    fn max_in_flight(&self, priority: Priority) -> f64 {
        let ratio = match priority {
            Priority::Batch => self.options.batch_queue_ratio,
            Priority::Normal => self.options.normal_queue_ratio,
            Priority::Interactive => 1.0,
        };
        let queue = self.capacity.rate() * self.options.max_queue_time.as_secs_f64();
        self.capacity.slots + queue * ratio
    }

    fn admit(&mut self, req: &AdmissionRequest<'_>, now: Timestamp) -> Permit {
        let priority = req.priority as usize;
        self.in_flight[priority] += 1;
        self.work[priority] += req.service_time;
        self.admitted_load[priority].add(req.service_time.as_secs_f64(), now);
        if let Some(usage) = self.workspaces.get_mut(req.workspace) {
            usage.admit(req.tokens, now);
        }
        Permit {
            workspace: req.workspace.clone(),
            priority: req.priority,
            tokens: req.tokens,
            service_time: req.service_time,
        }
    }

    /// Refuses a request with a retry delay.
    ///
    /// The retries of a workspace are scheduled one after the other at the rate at which requests
    /// complete, divided by the number of workspaces with pending retries. The callers of a burst
    /// therefore return spread over time, and a workspace that sends too many requests delays only
    /// itself.
    fn refuse(
        &mut self,
        req: &AdmissionRequest<'_>,
        reason: RefusalReason,
        now: Timestamp,
    ) -> Refusal {
        let rate = self.capacity.rate() / self.retrying_workspaces(req.workspace, now);
        let longest = self.options.max_retry_after;
        let usage = self.workspaces.get_mut(req.workspace);
        let position = usage.map_or(1.0, |usage| usage.schedule_retry(rate, longest, now));
        let excess = f64::from(self.in_flight() + 1) - self.max_in_flight(req.priority);
        let wait = self.capacity.drain_time(excess);
        let scheduled =
            Duration::from_secs_f64((position / rate.max(MIN_RATE)).min(MAX_SCHEDULED_SECONDS));
        Refusal {
            retry_after: wait
                .saturating_add(scheduled)
                .clamp(MIN_RETRY_AFTER, longest),
            reason,
        }
    }

    /// Returns the number of workspaces with pending retries, counting `workspace` in any case.
    fn retrying_workspaces(&self, workspace: &WorkspaceId, now: Timestamp) -> f64 {
        let is_retrying = |(id, usage): &(&WorkspaceId, &WorkspaceUsage)| {
            *id != workspace && usage.has_pending_retries(now)
        };
        (self.workspaces.iter().filter(is_retrying).count() + 1) as f64
    }
}

/// Lower bound of the rate from which a retry delay is computed, in requests per second.
const MIN_RATE: f64 = 1e-6;

/// Upper bound of the time until a scheduled retry, in seconds.
const MAX_SCHEDULED_SECONDS: f64 = 3600.0;

fn allow_if(is_allowed: bool, reason: RefusalReason) -> Result<(), RefusalReason> {
    is_allowed.then_some(()).ok_or(reason)
}

/// Lower bound of the part of the slots that is assumed to be available to a priority.
const MIN_AVAILABLE_RATIO: f64 = 0.05;

/// Upper bound of the expected wait for a slot.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Shortest delay after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
