//! Controls the fleet of one service while this node holds its lease.

use std::time::Duration;

use tokio::{task::JoinHandle, time::Instant};
use verbenahead_core::{AvailabilityZone, FencingNumber, Generation, ServiceId};
use verbenahead_manifest::{FleetPlan, Service, ServiceKind};
use verbenahead_services::VmRecord;
use verbenahead_state::{
    Result,
    lease::{LeaseKeeper, LeaseStore},
    ledger::Claimant,
};

use crate::node::fleet::{
    controller::FleetParts,
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
    /// Fencing number of the held lease, and when this node first saw it.
    held_lease: Option<(FencingNumber, Instant)>,
    vm_starter: VmStarter,
    order_sender: OrderSender,
    vm_stopper: VmStopper,
    min_lease_age_for_stops: Duration,
}

impl ServiceFleet {
    /// Creates the fleet of a service and starts the task that keeps its lease.
    pub fn spawn(id: ServiceId, parts: &FleetParts) -> Self {
        let options = parts.options;
        let store = LeaseStore::new(parts.table.clone(), options.lease);
        let claimant: Claimant = parts.claimant.clone();
        let (keeper, keeper_task) = LeaseKeeper::spawn(store, id.clone(), claimant);
        let vm_starter = VmStarter::new(
            id.clone(),
            parts.table.clone(),
            parts.cloud.clone(),
            options,
        );
        Self {
            id,
            keeper,
            keeper_task,
            held_lease: None,
            vm_starter,
            order_sender: OrderSender::new(parts.engine.clone(), options.order_repeat_interval),
            vm_stopper: VmStopper {
                directory: parts.directory.clone(),
                cloud: parts.cloud.clone(),
                leaving: parts.leaving.clone(),
                notice: options.stop_notice,
            },
            min_lease_age_for_stops: options.min_lease_age_for_stops,
        }
    }

    /// Sets whether this node should hold the lease.
    pub fn set_lease_wanted(&self, is_wanted: bool) {
        self.keeper.set_wanted(is_wanted);
    }

    /// Opens the start journal if the lease is held. Returns whether a round can run.
    pub async fn prepare(&mut self) -> bool {
        let Some(gate) = self.keeper.gate() else {
            self.held_lease = None;
            return false;
        };
        if self
            .held_lease
            .is_none_or(|(known, _)| known != gate.fencing)
        {
            tracing::info!(service = %self.id, fencing = %gate.fencing, "lease of a fleet held");
            self.held_lease = Some((gate.fencing, Instant::now()));
        }
        match self.vm_starter.open(gate.fencing).await {
            Ok(()) => true,
            Err(err) => {
                tracing::warn!(service = %self.id, %err, "journal of starts not opened");
                false
            }
        }
    }

    /// Runs one round: starts and stops VMs towards the plan, and sends due orders to engines.
    pub async fn run_round(&mut self, desired: DesiredFleet<'_>, listed: &[VmRecord]) {
        let own = listed.iter().filter(|vm| vm.service == self.id);
        let own: Vec<VmRecord> = own.cloned().collect();
        if let Err(err) = self.reconcile_vms(desired, &own).await {
            tracing::warn!(service = %self.id, %err, "cannot update the start journal");
        }
        if let ServiceKind::Model(model) = &desired.service.kind {
            let vms_in_fleet = self.vms_in_fleet(&own);
            let generation = desired.generation;
            self.order_sender
                .send_due(&self.keeper, model, generation, &vms_in_fleet)
                .await;
        }
    }

    async fn reconcile_vms(&mut self, desired: DesiredFleet<'_>, own: &[VmRecord]) -> Result<()> {
        self.vm_starter.reconcile(&self.keeper, own).await?;
        self.vm_stopper.stop_due(&self.keeper, own).await;
        for step in self.steps(desired, own) {
            match step {
                FleetStep::Start(key) => self.vm_starter.start(&self.keeper, &key).await?,
                FleetStep::Stop(vm) if self.may_stop_vms() => self.vm_stopper.announce(&vm).await,
                FleetStep::Stop(_) => {}
            }
        }
        Ok(())
    }

    fn steps(&self, desired: DesiredFleet<'_>, own: &[VmRecord]) -> Vec<FleetStep> {
        let Some(pending) = self.vm_starter.pending() else {
            return Vec::new();
        };
        plan_round(&FleetView {
            plan: desired.plan,
            zones: desired.zones,
            vms: &self.vms_in_fleet(own),
            pending,
            is_refused: &|key| self.vm_starter.is_refused(key),
        })
    }

    fn vms_in_fleet(&self, own: &[VmRecord]) -> Vec<VmRecord> {
        let vms_in_fleet = own.iter().filter(|vm| self.vm_stopper.is_in_fleet(vm));
        vms_in_fleet.cloned().collect()
    }

    /// Returns whether the lease has been held long enough for the list to show earlier stops.
    fn may_stop_vms(&self) -> bool {
        self.held_lease
            .is_some_and(|(_, since)| since.elapsed() >= self.min_lease_age_for_stops)
    }

    /// Releases the lease and waits until its task has ended.
    pub async fn close(self) {
        drop(self.keeper);
        let _ = self.keeper_task.await;
    }
}
