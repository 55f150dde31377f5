//! The duties of the node that holds the lease.

use std::time::Duration;

use tokio::{sync::mpsc, task::JoinHandle};
use verbenahead_core::{NodeId, timer::TimerService};
use verbenahead_services::DutyHolder;

use crate::relay_node::{
    duty_lease::DutyLease, fleet_duty::FleetDuty, reporter::NodeStatus, usage_duty::UsageDuty,
};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(250);

/// `Duties` are carried out by a task of their own.
pub struct Duties {
    /// Id of the node.
    pub node: NodeId,
    /// The lease.
    pub lease: DutyLease,
    /// The task that keeps the lease.
    pub keeping: JoinHandle<()>,
    /// What the node says of itself.
    pub status: std::sync::Arc<NodeStatus>,
    /// Reports of usage.
    pub usage: UsageDuty,
    /// Orders of replicas.
    pub fleet: FleetDuty,
}

impl Duties {
    /// Carries the duties out until the channel closes, then releases the lease.
    pub async fn run(mut self, mut closed: mpsc::Receiver<()>) {
        let mut ticks = TimerService.subscribe(STEP, STEP);
        loop {
            tokio::select! {
                _ = closed.recv() => break,
                tick = ticks.recv() => if tick.is_none() { break },
            }
            if self.status.is_leaving() && self.status.held_lease().is_some() {
                self.usage.keep().await;
            }
            self.lease.step();
            let Some(fencing) = self.status.held_lease() else {
                self.usage.rest();
                self.fleet.rest();
                continue;
            };
            let holder = DutyHolder {
                node: self.node.clone(),
                fencing,
            };
            self.fleet.step(&self.lease, &holder).await;
            self.usage.step(&self.lease, &holder).await;
        }
        drop(self.lease);
        if self.keeping.await.is_err() {
            tracing::error!("the task that keeps the lease failed");
        }
    }
}
