//! Controls the fleet of one service while this node holds its lease.

use std::sync::Arc;

use tokio::{task::JoinHandle, time::Instant};
use verbenahead_core::{AvailabilityZone, Generation, ServiceId};
use verbenahead_manifest::{FleetPlan, Service, ServiceKind};
use verbenahead_services::{Cloud, Table, VmRecord};
use verbenahead_state::{
    Result,
    lease::{LeaseEpoch, LeaseKeeper, LeaseStore},
    ledger::Claimant,
};
use verbenahead_upstream::Engine;

use crate::node::fleet::{
    controller::FleetParts,
    options::FleetControllerOptions,
    order_sender::OrderSender,
    round_plan::{FleetStep, FleetView, plan_round},
    vm_starter::VmStarter,
    vm_stopper::VmStopper,
};

/// `DesiredFleet` is the fleet of a service as the manifest in force describes it.
#[derive(Clone, Copy)]
pub struct DesiredFleet<'a> {
    /// The service.
    pub service: &'a Service,
    /// Fleet plan of the service.
    pub plan: &'a FleetPlan,
    /// Availability zones of the deployment.
    pub zones: &'a [AvailabilityZone],
    /// Generation of the manifest.
    pub generation: Generation,
}

/// `ServiceFleet` acquires and renews the lease of a service and controls its fleet while the lease
/// is held.
pub struct ServiceFleet {
    id: ServiceId,
    keeper: LeaseKeeper,
    keeper_task: JoinHandle<()>,
    epoch: Option<FleetEpoch>,
    vm_stopper: VmStopper,
    table: Arc<dyn Table>,
    cloud: Arc<dyn Cloud>,
    engine: Arc<dyn Engine>,
    options: FleetControllerOptions,
}

/// `FleetEpoch` is one holding of the lease of a fleet, with what the holder knows of starts and orders.
struct FleetEpoch {
    lease: LeaseEpoch,
    since: Instant,
    vm_starter: VmStarter,
    order_sender: OrderSender,
}

impl ServiceFleet {
    /// Creates the fleet of a service and starts the task that keeps its lease.
    pub fn spawn(id: ServiceId, parts: &FleetParts) -> Self {
        let options = parts.options;
        let store = LeaseStore::new(parts.table.clone(), options.lease);
        let claimant: Claimant = parts.claimant.clone();
        let (keeper, keeper_task) = LeaseKeeper::spawn(store, id.clone(), claimant);
        Self {
            id,
            keeper,
            keeper_task,
            epoch: None,
            vm_stopper: VmStopper {
                directory: parts.directory.clone(),
                cloud: parts.cloud.clone(),
                leaving: parts.leaving.clone(),
                notice: options.stop_notice,
            },
            table: parts.table.clone(),
            cloud: parts.cloud.clone(),
            engine: parts.engine.clone(),
            options,
        }
    }

    /// Sets whether this node should hold the lease.
    pub fn set_lease_wanted(&self, is_wanted: bool) {
        self.keeper.set_wanted(is_wanted);
    }

    /// Opens the start journal if the lease is held. Returns whether a round can run.
    pub async fn prepare(&mut self) -> bool {
        let is_current = |epoch: &FleetEpoch| epoch.lease.is_current();
        if !self.epoch.as_ref().is_some_and(is_current) {
            self.epoch = self.keeper.epoch().map(|lease| self.begin(lease));
        }
        let Some(epoch) = &mut self.epoch else {
            return false;
        };
        match epoch.vm_starter.open(&epoch.lease).await {
            Ok(()) => true,
            Err(err) => {
                tracing::warn!(service = %self.id, %err, "journal of starts not opened");
                false
            }
        }
    }

    fn begin(&self, lease: LeaseEpoch) -> FleetEpoch {
        tracing::info!(service = %self.id, fencing = %lease.fencing(), "lease of a fleet held");
        FleetEpoch {
            lease,
            since: Instant::now(),
            vm_starter: VmStarter::new(
                self.id.clone(),
                Arc::clone(&self.table),
                Arc::clone(&self.cloud),
                self.options,
            ),
            order_sender: OrderSender::new(
                Arc::clone(&self.engine),
                self.options.order_repeat_interval,
            ),
        }
    }

    /// Runs one round: starts and stops VMs towards the plan, and sends due orders to engines.
    pub async fn run_round(&mut self, desired: DesiredFleet<'_>, listed: &[VmRecord]) {
        let own = listed.iter().filter(|vm| vm.service == self.id);
        let own: Vec<VmRecord> = own.cloned().collect();
        if let Err(err) = self.reconcile_vms(desired, &own).await {
            tracing::warn!(service = %self.id, %err, "cannot update the start journal");
        }
        let vms_in_fleet = in_fleet(&self.vm_stopper, &own);
        if let ServiceKind::Model(model) = &desired.service.kind
            && let Some(epoch) = &mut self.epoch
        {
            let generation = desired.generation;
            epoch
                .order_sender
                .send_due(&epoch.lease, model, generation, &vms_in_fleet)
                .await;
        }
    }

    async fn reconcile_vms(&mut self, desired: DesiredFleet<'_>, own: &[VmRecord]) -> Result<()> {
        let Some(epoch) = &mut self.epoch else {
            return Ok(());
        };
        epoch.vm_starter.reconcile(&epoch.lease, own).await?;
        self.vm_stopper.stop_due(&epoch.lease, own).await;
        // A new holder waits until the list shows the stops of earlier ones.
        let may_stop = epoch.since.elapsed() >= self.options.min_lease_age_for_stops;
        for step in steps(epoch, desired, &in_fleet(&self.vm_stopper, own)) {
            match step {
                FleetStep::Start(key) => epoch.vm_starter.start(&epoch.lease, &key).await?,
                FleetStep::Stop(vm) if may_stop => self.vm_stopper.announce(&vm).await,
                FleetStep::Stop(_) => {}
            }
        }
        Ok(())
    }

    /// Releases the lease and waits until its task has ended.
    pub async fn close(self) {
        drop(self.keeper);
        let _ = self.keeper_task.await;
    }
}

fn steps(epoch: &FleetEpoch, desired: DesiredFleet<'_>, vms: &[VmRecord]) -> Vec<FleetStep> {
    let Some(pending) = epoch.vm_starter.pending() else {
        return Vec::new();
    };
    plan_round(&FleetView {
        plan: desired.plan,
        zones: desired.zones,
        vms,
        pending,
        is_refused: &|key| epoch.vm_starter.is_refused(key),
    })
}

fn in_fleet(vm_stopper: &VmStopper, own: &[VmRecord]) -> Vec<VmRecord> {
    let vms_in_fleet = own.iter().filter(|vm| vm_stopper.is_in_fleet(vm));
    vms_in_fleet.cloned().collect()
}
