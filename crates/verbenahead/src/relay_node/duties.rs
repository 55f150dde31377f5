//! The task that performs the duties while the node holds the lease.

use std::time::Duration;

use tokio::{sync::mpsc, task::JoinHandle, time::Instant};
use verbenahead_core::{NodeId, timer::TimerService};
use verbenahead_services::DutyHolder;

use crate::relay_node::{
    duty_lease::DutyLease, fleet_duty::FleetDuty, reporter::NodeStatus, rollout_duty::RolloutDuty,
    usage_duty::UsageDuty,
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
    pub status: std::sync::Arc<NodeStatus>,
    /// Usage reports.
    pub usage: UsageDuty,
    /// Orders for replicas.
    pub fleet: FleetDuty,
    /// Rollouts, if the settings have bounds for them.
    pub rollouts: Option<RolloutDuty>,
}

impl Duties {
    /// Performs the duties until the sender of `closed` is dropped, then releases the lease.
    pub async fn run(mut self, mut closed: mpsc::Receiver<()>) {
        let mut ticks = TimerService.subscribe(STEP_INTERVAL, STEP_INTERVAL);
        loop {
            tokio::select! {
                _ = closed.recv() => break,
                tick = ticks.recv() => if tick.is_none() { break },
            }
            if self.status.is_leaving() && self.status.held_lease().is_some() {
                self.usage.write_counts().await;
            }
            self.lease.step();
            let Some(fencing) = self.status.held_lease() else {
                self.usage.step_without_lease();
                self.fleet.reset();
                if let Some(rollouts) = &mut self.rollouts {
                    rollouts.reset();
                }
                continue;
            };
            let holder = DutyHolder {
                node: self.node.clone(),
                fencing,
            };
            let began_at = Instant::now();
            if let Some(rollouts) = &mut self.rollouts {
                rollouts.step(&self.lease, &holder).await;
            }
            self.fleet.step(&self.lease, &holder).await;
            self.usage.step(&self.lease, &holder).await;
            let ended_under = self.lease.fencing();
            if ended_under != Some(fencing) {
                tracing::warn!(
                    node = %self.node,
                    began_under = fencing.0,
                    ended_under = ended_under.map(|fencing| fencing.0),
                    step_ms = began_at.elapsed().as_millis() as u64,
                    "lease changed during a step of the duties",
                );
            }
        }
        drop(self.lease);
        if self.lease_task.await.is_err() {
            tracing::error!("the task that renews the lease failed");
        }
    }
}
