//! The decision whether a request is taken on.
//!
//! A node keeps no queue of its own. A request is admitted at once or refused at once, and a
//! refusal says when another try makes sense. What is admitted never exceeds what can be worked
//! off in time, so a burst leaves no backlog of requests that nobody waits for any more.

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
    workspace_use::WorkspaceUse,
};

/// `AdmissionRequest` is what admission needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest<'a> {
    /// Workspace that asks.
    pub workspace: &'a WorkspaceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Expected size of prompt and answer, which counts against the workspace's limit.
    pub tokens: Tokens,
    /// Expected time from the start of the work to the end of the answer.
    pub service_time: Duration,
    /// Latest end of the answer.
    pub deadline: Timestamp,
}

/// `Permit` stands for an admitted request that has not ended. It must be released.
#[must_use = "a permit that is not released takes a place for ever"]
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    workspace: WorkspaceId,
    priority: Priority,
    tokens: Tokens,
    service_time: Duration,
}

impl Permit {
    /// Returns the workspace.
    pub fn workspace(&self) -> &WorkspaceId {
        &self.workspace
    }

    /// Returns the tokens that were taken from the workspace's limit.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }
}

/// `Admission` admits requests to one service at one node.
#[derive(Debug, Clone)]
pub struct Admission {
    options: AdmissionOptions,
    capacity: Capacity,
    // Ordered, so that sums over the workspaces repeat exactly.
    workspaces: BTreeMap<WorkspaceId, WorkspaceUse>,
    used: [u32; PRIORITIES],
    work: [Duration; PRIORITIES],
    inflow: [DemandMeter; PRIORITIES],
}

const PRIORITIES: usize = 3;

impl Admission {
    /// Builds admission to a service with this capacity and no workspaces.
    pub fn new(options: AdmissionOptions, capacity: Capacity) -> Self {
        Self {
            options,
            capacity,
            workspaces: BTreeMap::new(),
            used: [0; PRIORITIES],
            work: [Duration::ZERO; PRIORITIES],
            inflow: [DemandMeter::new(options.demand_time); PRIORITIES],
        }
    }

    /// Changes the capacity. What is admitted stays admitted.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    /// Adds a workspace, or changes its share.
    pub fn set_share(&mut self, workspace: &WorkspaceId, share: u32) {
        let demand_time = self.options.demand_time;
        self.workspaces
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceUse::new(demand_time))
            .share = share;
    }

    /// Sets or lifts this node's part of a workspace's limit.
    pub fn set_limit(&mut self, workspace: &WorkspaceId, rate: Option<TokenRate>, now: Timestamp) {
        let burst = self.options.limit_burst;
        if let Some(known) = self.workspaces.get_mut(workspace) {
            known.set_limit(rate, burst, now);
        }
    }

    /// Removes workspaces that are not `kept`. What they have admitted stays admitted.
    pub fn retain_workspaces(&mut self, kept: impl Fn(&WorkspaceId) -> bool) {
        self.workspaces.retain(|id, _| kept(id));
    }

    /// Returns the demand of a workspace at this node, admitted or not.
    pub fn demand(&self, workspace: &WorkspaceId, now: Timestamp) -> TokenRate {
        let known = self.workspaces.get(workspace);
        known.map_or(TokenRate(0.0), |known| known.demand(now))
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn used(&self) -> u32 {
        self.used.iter().sum()
    }

    /// Admits a request or refuses it at once.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with the delay after which another try makes sense.
    pub fn try_admit(
        &mut self,
        req: &AdmissionRequest<'_>,
        now: Timestamp,
    ) -> Result<Permit, Refusal> {
        self.note_demand(req, now)?;
        self.check_limit(req, now)?;
        let checked = self
            .check_deadline(req, now)
            .and_then(|()| self.check_room(req, now));
        if let Err(reason) = checked {
            return Err(self.defer(req, reason, now));
        }
        Ok(self.admit(req, now))
    }

    /// Ends an admitted request, whose prompt and answer had `used` tokens.
    pub fn release(&mut self, permit: Permit, used: Tokens, now: Timestamp) {
        let level = &mut self.used[permit.priority as usize];
        invariant!(
            "a released request was admitted",
            *level > 0,
            "{level} requests admitted, {permit:?} released"
        );
        *level = level.saturating_sub(1);
        let work = &mut self.work[permit.priority as usize];
        *work = work.saturating_sub(permit.service_time);
        if let Some(known) = self.workspaces.get_mut(&permit.workspace) {
            known.release(permit.tokens, used, now);
        }
    }

    fn note_demand(&mut self, req: &AdmissionRequest<'_>, now: Timestamp) -> Result<(), Refusal> {
        let Some(known) = self.workspaces.get_mut(req.workspace) else {
            return Err(Refusal {
                retry_after: self.options.max_retry_after,
                reason: RefusalReason::UnknownWorkspace,
            });
        };
        known.note_demand(req.tokens, now);
        Ok(())
    }

    fn check_limit(&self, req: &AdmissionRequest<'_>, now: Timestamp) -> Result<(), Refusal> {
        let known = self.workspaces.get(req.workspace);
        let wait = known.map_or(Duration::ZERO, |known| known.limit_wait(req.tokens, now));
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
        let wait = self.wait(req.priority, now);
        let to_spare = req.deadline.since(now.plus(req.service_time));
        let is_late = now.plus(req.service_time) > req.deadline;
        let is_too_long = wait > to_spare.mul_f64(self.options.wait_ratio);
        allow_if(!is_late && !is_too_long, RefusalReason::DeadlineUnreachable)
    }

    /// Returns the expected time until a new request of this priority gets a place.
    ///
    /// Upstreams serve higher priorities first. Work of the same or a higher one is ahead, and
    /// higher priorities that keep coming in leave only a part of the places.
    fn wait(&self, priority: Priority, now: Timestamp) -> Duration {
        let same = priority as usize;
        let ahead: u32 = self.used[same..].iter().sum();
        let ahead = f64::from(ahead + 1);
        let waiting = (ahead - self.capacity.slots).max(0.0) / ahead;
        let work: Duration = self.work[same..].iter().sum();
        let higher = &self.inflow[same + 1..];
        let taken: f64 = higher.iter().map(|meter| meter.rate(now).0).sum();
        let slots = self.capacity.slots;
        let left = (slots - taken).max(slots * MIN_LEFT_RATIO);
        let seconds = waiting * work.as_secs_f64() / left.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    /// A workspace within its share may exceed the room a little, so that it gets its places back
    /// from others that borrowed them. Beyond its share, it may borrow what the others neither
    /// use nor have lately wanted.
    fn check_room(&self, req: &AdmissionRequest<'_>, now: Timestamp) -> Result<(), RefusalReason> {
        let used = self.used();
        let room = self.room(req.priority);
        let wanted = f64::from(used + 1);
        if self.is_within_share(req) {
            let excess = self.options.share_excess * room + self.workspaces.len() as f64;
            return allow_if(wanted <= room + excess, RefusalReason::Overloaded);
        }
        allow_if(used == 0 || wanted <= room, RefusalReason::Overloaded)?;
        let kept = self.kept_for_others(req.workspace, now);
        let lent = self.room(Priority::Interactive) - kept;
        allow_if(used == 0 || wanted <= lent, RefusalReason::ShareUsedUp)
    }

    fn is_within_share(&self, req: &AdmissionRequest<'_>) -> bool {
        let guaranteed = self.guaranteed(self.room(req.priority));
        let known = self.workspaces.get(req.workspace);
        known.is_some_and(|known| f64::from(known.used + 1) <= guaranteed(known))
    }

    fn kept_for_others(&self, workspace: &WorkspaceId, now: Timestamp) -> f64 {
        let guaranteed = self.guaranteed(self.room(Priority::Interactive));
        let others = self.workspaces.iter().filter(|(id, _)| *id != workspace);
        others
            .map(|(_, known)| known.kept(guaranteed(known), &self.options, now))
            .sum()
    }

    /// Returns the part of the room that is a workspace's own; at least one place.
    fn guaranteed(&self, room: f64) -> impl Fn(&WorkspaceUse) -> f64 {
        let shares: u32 = self.workspaces.values().map(|known| known.share).sum();
        let per_share = room / f64::from(shares.max(1));
        move |known| (per_share * f64::from(known.share)).max(1.0)
    }

    /// Returns how many requests may be admitted in all before one of this priority is refused.
    fn room(&self, priority: Priority) -> f64 {
        let ratio = match priority {
            Priority::Batch => self.options.batch_queue_ratio,
            Priority::Normal => self.options.normal_queue_ratio,
            Priority::Interactive => 1.0,
        };
        let queue = self.capacity.rate() * self.options.max_queue_time.as_secs_f64();
        self.capacity.slots + queue * ratio
    }

    fn admit(&mut self, req: &AdmissionRequest<'_>, now: Timestamp) -> Permit {
        let level = req.priority as usize;
        self.used[level] += 1;
        self.work[level] += req.service_time;
        self.inflow[level].add(req.service_time.as_secs_f64(), now);
        if let Some(known) = self.workspaces.get_mut(req.workspace) {
            known.admit(req.tokens, now);
        }
        Permit {
            workspace: req.workspace.clone(),
            priority: req.priority,
            tokens: req.tokens,
            service_time: req.service_time,
        }
    }

    /// Refuses a request and asks its caller to come back behind those of its workspace that were
    /// refused before it, at the rate at which requests end. The callers of a burst so return
    /// spread over time, and a workspace that asks too often delays only itself.
    fn defer(
        &mut self,
        req: &AdmissionRequest<'_>,
        reason: RefusalReason,
        now: Timestamp,
    ) -> Refusal {
        let rate = self.capacity.rate() / self.deferring(req.workspace, now);
        let longest = self.options.max_retry_after;
        let known = self.workspaces.get_mut(req.workspace);
        let deferred = known.map_or(1.0, |known| known.defer(rate, longest, now));
        let excess = f64::from(self.used() + 1) - self.room(req.priority);
        let wait = self.capacity.drain_time(excess);
        let turn = Duration::from_secs_f64((deferred / rate.max(MIN_RATE)).min(MAX_SECONDS));
        Refusal {
            retry_after: wait.saturating_add(turn).clamp(MIN_RETRY_AFTER, longest),
            reason,
        }
    }

    /// Returns how many workspaces have refused callers, this one included.
    fn deferring(&self, workspace: &WorkspaceId, now: Timestamp) -> f64 {
        let is_deferring = |(id, known): &(&WorkspaceId, &WorkspaceUse)| {
            *id != workspace && known.is_deferring(now)
        };
        (self.workspaces.iter().filter(is_deferring).count() + 1) as f64
    }
}

/// Lowest rate that a delay is computed with, in requests per second.
const MIN_RATE: f64 = 1e-6;

/// Longest delay that is computed, in seconds.
const MAX_SECONDS: f64 = 3600.0;

fn allow_if(is_allowed: bool, reason: RefusalReason) -> Result<(), RefusalReason> {
    is_allowed.then_some(()).ok_or(reason)
}

/// Smallest part of the places that is taken to be left for a priority.
const MIN_LEFT_RATIO: f64 = 0.05;

/// Longest wait that is predicted.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Shortest delay that a refused caller is asked to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
