//! The fleet of one service, as the holder of its lease moves it towards the plan.

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
    orders::Orders,
    round_plan::{FleetStep, FleetView, plan_round},
    starts::Starts,
    stops::Stops,
};

/// `WantedFleet` is what the manifest in force says about a service.
#[derive(Clone, Copy)]
pub struct WantedFleet<'a> {
    /// The service.
    pub service: &'a Service,
    /// Its plan.
    pub plan: &'a FleetPlan,
    /// Availability zones of the deployment.
    pub zones: &'a [AvailabilityZone],
    /// Generation of the manifest.
    pub generation: Generation,
}

/// `ServiceFleet` keeps the lease of a service and, while it is held, the fleet.
pub struct ServiceFleet {
    id: ServiceId,
    keeper: LeaseKeeper,
    keeping: JoinHandle<()>,
    held: Option<(FencingNumber, Instant)>,
    starts: Starts,
    orders: Orders,
    stops: Stops,
    stop_settle: Duration,
}

impl ServiceFleet {
    /// Builds the fleet of a service and starts to keep its lease.
    pub fn spawn(id: ServiceId, parts: &FleetParts) -> Self {
        let options = parts.options;
        let store = LeaseStore::new(parts.table.clone(), options.lease);
        let claimant: Claimant = parts.claimant.clone();
        let (keeper, keeping) = LeaseKeeper::spawn(store, id.clone(), claimant);
        let starts = Starts::new(
            id.clone(),
            parts.table.clone(),
            parts.cloud.clone(),
            options,
        );
        Self {
            id,
            keeper,
            keeping,
            held: None,
            starts,
            orders: Orders::new(parts.engine.clone(), options.order_repeat),
            stops: Stops {
                directory: parts.directory.clone(),
                cloud: parts.cloud.clone(),
                news: parts.news.clone(),
                notice: options.stop_notice,
            },
            stop_settle: options.stop_settle,
        }
    }

    /// Says whether this node should hold the lease.
    pub fn set_wanted(&self, is_wanted: bool) {
        self.keeper.set_wanted(is_wanted);
    }

    /// Makes ready for a round. Returns whether the lease is held and the journal of starts open.
    pub async fn prepare(&mut self) -> bool {
        let Some(gate) = self.keeper.gate() else {
            self.held = None;
            return false;
        };
        if self.held.is_none_or(|(known, _)| known != gate.fencing) {
            tracing::info!(service = %self.id, fencing = %gate.fencing, "lease of a fleet held");
            self.held = Some((gate.fencing, Instant::now()));
        }
        match self.starts.open(gate.fencing).await {
            Ok(()) => true,
            Err(err) => {
                tracing::warn!(service = %self.id, %err, "journal of starts not opened");
                false
            }
        }
    }

    /// Moves the fleet one round towards the plan.
    pub async fn round(&mut self, wanted: WantedFleet<'_>, listed: &[VmRecord]) {
        let own = listed.iter().filter(|vm| vm.service == self.id);
        let own: Vec<VmRecord> = own.cloned().collect();
        if let Err(err) = self.move_vms(wanted, &own).await {
            tracing::warn!(service = %self.id, %err, "journal of starts not changed");
        }
        if let ServiceKind::Model(model) = &wanted.service.kind {
            let staying = self.staying(&own);
            let generation = wanted.generation;
            self.orders
                .give(&self.keeper, model, generation, &staying)
                .await;
        }
    }

    async fn move_vms(&mut self, wanted: WantedFleet<'_>, own: &[VmRecord]) -> Result<()> {
        self.starts.settle(&self.keeper, own).await?;
        self.stops.carry_out(&self.keeper, own).await;
        for step in self.steps(wanted, own) {
            match step {
                FleetStep::Start(kind) => self.starts.start(&self.keeper, &kind).await?,
                FleetStep::Stop(vm) if self.is_settled() => self.stops.announce(&vm).await,
                FleetStep::Stop(_) => {}
            }
        }
        Ok(())
    }

    fn steps(&self, wanted: WantedFleet<'_>, own: &[VmRecord]) -> Vec<FleetStep> {
        let Some(pending) = self.starts.pending() else {
            return Vec::new();
        };
        plan_round(&FleetView {
            plan: wanted.plan,
            zones: wanted.zones,
            vms: &self.staying(own),
            pending,
            is_refused: &|kind| self.starts.is_refused(kind),
        })
    }

    fn staying(&self, own: &[VmRecord]) -> Vec<VmRecord> {
        let staying = own.iter().filter(|vm| self.stops.is_staying(vm));
        staying.cloned().collect()
    }

    /// Returns whether the lease is held for so long that the list shows earlier stops.
    fn is_settled(&self) -> bool {
        self.held
            .is_some_and(|(_, since)| since.elapsed() >= self.stop_settle)
    }

    /// Releases the lease and waits for it.
    pub async fn close(self) {
        drop(self.keeper);
        let _ = self.keeping.await;
    }
}
