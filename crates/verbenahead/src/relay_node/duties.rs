//! The task that performs the duties while the node holds the lease.

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, timeout},
};
use verbenahead_core::{
    NodeId,
    timer::{Tick, TimerService},
};

use crate::relay_node::{
    duty_epoch::DutyEpoch,
    duty_lease::DutyLease,
    fleet_duty::{FleetDuty, FleetDutyParts},
    reporter::NodeStatus,
    rollout_duty::{RolloutDuty, RolloutDutyParts},
    usage_duty::{UsageDuty, UsageDutyParts},
};

/// Time between two steps of the duties.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// `Duties` are the duties of a node, which one task performs.
pub struct Duties {
    /// Id of the node.
    pub node: NodeId,
    /// Lease that allows the node to perform the duties.
    pub lease: DutyLease,
    /// Task that takes and renews the lease.
    pub lease_task: JoinHandle<()>,
    /// Status of the node.
    pub status: Arc<NodeStatus>,
    /// Usage reports.
    pub usage: UsageDutyParts,
    /// Orders for replicas.
    pub fleet: FleetDutyParts,
    /// Rollouts, if the settings have bounds for them.
    pub rollouts: Option<RolloutDutyParts>,
}

/// `HeldDuties` are the duties in one epoch of the lease. All that a holder knows is in them and ends with them.
struct HeldDuties<'a> {
    usage: UsageDuty<'a>,
    fleet: FleetDuty,
    rollouts: Option<RolloutDuty>,
}

impl HeldDuties<'_> {
    async fn step(&mut self, epoch: &DutyEpoch) {
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.step(epoch).await;
        }
        self.fleet.step(epoch).await;
        self.usage.step(epoch).await;
    }
}

/// `Steps` gives the times of the steps until the duties are closed.
struct Steps {
    ticks: mpsc::Receiver<Tick>,
    closed: mpsc::Receiver<()>,
}

impl Steps {
    /// Waits for the next step. Returns `false` when the duties are closed.
    async fn next(&mut self) -> bool {
        tokio::select! {
            _ = self.closed.recv() => false,
            tick = self.ticks.recv() => tick.is_some(),
        }
    }
}

impl Duties {
    /// Performs the duties until the sender of `closed` is dropped, then releases the lease.
    pub async fn run(mut self, closed: mpsc::Receiver<()>) {
        let ticks = TimerService.subscribe(STEP_INTERVAL, STEP_INTERVAL);
        let mut steps = Steps { ticks, closed };
        while steps.next().await {
            self.lease.step();
            let epoch = self.lease.epoch();
            match epoch.filter(|_| !self.status.is_leaving()) {
                Some(epoch) => {
                    if !self.hold(&epoch, &mut steps).await {
                        break;
                    }
                }
                None => {
                    self.usage.counts.collect_due();
                    self.usage.history.write_handover().await;
                }
            }
        }
        drop(self.lease);
        if self.lease_task.await.is_err() {
            tracing::error!("the task that renews the lease failed");
        }
    }

    /// Performs the duties until the epoch ends. Returns `false` when the duties are closed.
    async fn hold(&mut self, epoch: &DutyEpoch, steps: &mut Steps) -> bool {
        let mut held = HeldDuties {
            usage: UsageDuty::new(&mut self.usage),
            fleet: FleetDuty::new(self.fleet.clone()),
            rollouts: self.rollouts.clone().map(RolloutDuty::new),
        };
        let watch = EpochWatch {
            epoch,
            lease: &self.lease,
            status: &self.status,
        };
        let mut is_open = true;
        while is_open && epoch.is_current() {
            is_open = watch.finish(held.step(epoch), steps).await && steps.next().await;
            watch.update();
        }
        held.usage.hand_over(epoch);
        if self.status.is_leaving() {
            held.usage.write_counts().await;
        }
        self.lease.step();
        is_open
    }
}

/// `EpochWatch` looks after the lease while a step is under way.
struct EpochWatch<'a> {
    epoch: &'a DutyEpoch,
    lease: &'a DutyLease,
    status: &'a NodeStatus,
}

impl EpochWatch<'_> {
    /// Closes the epoch when the node leaves. The lease is given back once the counts are written.
    fn update(&self) {
        match self.status.is_leaving() {
            true => self.epoch.close(),
            false => self.lease.step(),
        }
    }

    /// Waits for the end of a step. A step whose epoch has ended is abandoned when all its calls have ended, since
    /// a store that does not answer would hold up the next holder. Returns `false` when the duties are closed.
    async fn finish(&self, step: impl Future<Output = ()>, steps: &mut Steps) -> bool {
        let began_at = Instant::now();
        let mut step = pin!(step);
        let mut is_open = true;
        while self.epoch.is_current() {
            tokio::select! {
                () = &mut step => return is_open,
                next = steps.next() => is_open = next,
            }
            self.update();
            if !is_open {
                self.epoch.close();
            }
        }
        let rest = timeout(self.epoch.call_timeout(), step).await;
        tracing::warn!(
            fencing = self.epoch.fencing().0,
            is_leaving = self.status.is_leaving(),
            is_abandoned = rest.is_err(),
            step_ms = began_at.elapsed().as_millis() as u64,
            "lease ended during a step of the duties",
        );
        is_open
    }
}
