//! The task that controls the fleets of the services that are assigned to this node.

use std::sync::Arc;

use futures_util::{FutureExt, future::join_all};
use tokio::sync::{mpsc, watch};
use verbenahead_core::{HashMap, NodeId, ServiceId, timer::TimerService};
use verbenahead_manifest::Manifest;
use verbenahead_membership::MembershipHandle;
use verbenahead_services::{Cloud, Table, VmList};
use verbenahead_state::{ledger::Claimant, rendezvous};
use verbenahead_upstream::Engine;

use crate::node::{
    active_manifest::{ActiveManifest, ManifestView},
    drain::DrainView,
    fleet::{
        options::FleetControllerOptions,
        service_fleet::{DesiredFleet, ServiceFleet},
    },
    upstream_directory::{LeavingUpstream, UpstreamDirectory},
};

/// `FleetParts` holds the dependencies of the fleet controller.
pub struct FleetParts {
    /// Node and incarnation that claim the leases.
    pub claimant: Claimant,
    /// Membership, from which the live nodes are read.
    pub membership: MembershipHandle,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Reads the platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Starts and stops VMs.
    pub cloud: Arc<dyn Cloud>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// Sends leaving upstreams, which are published to peers.
    pub leaving: mpsc::Sender<LeavingUpstream>,
    /// Drain of the node. A draining node holds no leases.
    pub drain: DrainView,
    /// Options.
    pub options: FleetControllerOptions,
}

/// `FleetController` runs a [`ServiceFleet`] for each service with a fleet plan and wants the leases
/// of those services that are assigned to this node.
pub struct FleetController {
    parts: FleetParts,
    fleets: HashMap<ServiceId, ServiceFleet>,
}

impl FleetController {
    /// Creates a controller without fleets.
    pub fn new(parts: FleetParts) -> Self {
        Self {
            parts,
            fleets: HashMap::default(),
        }
    }

    /// Runs until `stop` closes, then releases the leases.
    pub async fn run(mut self, mut stop: watch::Receiver<()>) {
        let period = self.parts.options.round_period;
        let mut ticks = TimerService.subscribe(period, period);
        loop {
            tokio::select! {
                Some(_) = ticks.recv() => self.run_round().await,
                _ = stop.changed() => break,
            }
        }
        let fleets = self.fleets.into_values();
        join_all(fleets.map(ServiceFleet::close)).await;
    }

    async fn run_round(&mut self) {
        let Some(active) = self.parts.manifest.current() else {
            return;
        };
        let desired = desired_fleets(&active);
        self.update_fleets(&desired);
        let held = self.held_fleets().await;
        if held.is_empty() {
            return;
        }
        let listed = match self.parts.vms.vms().await {
            Ok(listed) => listed,
            Err(error) => {
                tracing::warn!(%error, "cannot read the list of VMs");
                return;
            }
        };
        let mut rounds = Vec::new();
        for (id, fleet) in &mut self.fleets {
            if let Some(desired) = desired.get(id).filter(|_| held.contains(id)) {
                rounds.push(fleet.run_round(*desired, &listed).boxed());
            }
        }
        join_all(rounds).await;
    }

    /// Adds and removes fleets as the manifest demands, and wants the leases of those services that
    /// are assigned to this node.
    fn update_fleets(&mut self, desired: &HashMap<ServiceId, DesiredFleet<'_>>) {
        self.fleets.retain(|id, _| desired.contains_key(id));
        for id in desired.keys() {
            let parts = &self.parts;
            let fleet = self
                .fleets
                .entry(id.clone())
                .or_insert_with(|| ServiceFleet::spawn(id.clone(), parts));
            fleet.set_lease_wanted(is_assigned_to_node(id, parts));
        }
    }

    async fn held_fleets(&mut self) -> Vec<ServiceId> {
        let mut prepared = Vec::new();
        for (id, fleet) in &mut self.fleets {
            let id = id.clone();
            prepared.push(async move { fleet.prepare().await.then_some(id) }.boxed());
        }
        join_all(prepared).await.into_iter().flatten().collect()
    }
}

fn desired_fleets(active: &ActiveManifest) -> HashMap<ServiceId, DesiredFleet<'_>> {
    let manifest: &Manifest = &active.manifest;
    let services = manifest.services.iter();
    let desired = services.filter_map(|service| {
        let plan = service.fleet.as_ref()?;
        let desired = DesiredFleet {
            service,
            plan,
            zones: &manifest.availability_zones,
            generation: active.generation,
        };
        Some((service.id.clone(), desired))
    });
    desired.collect()
}

/// Returns whether this node should hold the lease of the service: rendezvous hashing over the live
/// nodes selects it and it does not drain.
fn is_assigned_to_node(service: &ServiceId, parts: &FleetParts) -> bool {
    let members = parts.membership.members();
    let alive = members.iter().filter(|member| member.is_alive());
    let nodes = alive.map(|member| &member.node);
    let own: &NodeId = &parts.claimant.node;
    let owner = rendezvous::owner(service, nodes);
    owner == Some(own) && !parts.drain.is_draining()
}
