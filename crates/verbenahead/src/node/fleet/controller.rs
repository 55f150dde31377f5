//! The task that keeps the fleets of a node's services.

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
        service_fleet::{ServiceFleet, WantedFleet},
    },
    upstream_directory::{LeavingUpstream, UpstreamDirectory},
};

/// `FleetParts` are what the fleet controller works with.
pub struct FleetParts {
    /// This life of the node.
    pub claimant: Claimant,
    /// The live nodes.
    pub membership: MembershipHandle,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// The platform's API over VMs.
    pub cloud: Arc<dyn Cloud>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// What peers are told about leaving upstreams.
    pub news: mpsc::Sender<LeavingUpstream>,
    /// Planned stop of the node.
    pub drain: DrainView,
    /// Times.
    pub options: FleetControllerOptions,
}

/// `FleetController` keeps the fleets of those services that this node should look after.
pub struct FleetController {
    parts: FleetParts,
    fleets: HashMap<ServiceId, ServiceFleet>,
}

impl FleetController {
    /// Builds a controller without fleets.
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
                Some(_) = ticks.recv() => self.round().await,
                _ = stop.changed() => break,
            }
        }
        let fleets = self.fleets.into_values();
        join_all(fleets.map(ServiceFleet::close)).await;
    }

    async fn round(&mut self) {
        let Some(active) = self.parts.manifest.current() else {
            return;
        };
        let wanted = wanted_fleets(&active);
        self.follow(&wanted);
        let held = self.held_fleets().await;
        if held.is_empty() {
            return;
        }
        let listed = match self.parts.vms.vms().await {
            Ok(listed) => listed,
            Err(error) => {
                tracing::warn!(%error, "the list of VMs was not read");
                return;
            }
        };
        let mut rounds = Vec::new();
        for (id, fleet) in &mut self.fleets {
            if let Some(wanted) = wanted.get(id).filter(|_| held.contains(id)) {
                rounds.push(fleet.round(*wanted, &listed).boxed());
            }
        }
        join_all(rounds).await;
    }

    /// Takes in which services have a plan and which of them are this node's.
    fn follow(&mut self, wanted: &HashMap<ServiceId, WantedFleet<'_>>) {
        self.fleets.retain(|id, _| wanted.contains_key(id));
        for id in wanted.keys() {
            let parts = &self.parts;
            let fleet = self
                .fleets
                .entry(id.clone())
                .or_insert_with(|| ServiceFleet::spawn(id.clone(), parts));
            fleet.set_wanted(is_own(id, parts));
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

fn wanted_fleets(active: &ActiveManifest) -> HashMap<ServiceId, WantedFleet<'_>> {
    let manifest: &Manifest = &active.manifest;
    let services = manifest.services.iter();
    let wanted = services.filter_map(|service| {
        let plan = service.fleet.as_ref()?;
        let wanted = WantedFleet {
            service,
            plan,
            zones: &manifest.availability_zones,
            generation: active.generation,
        };
        Some((service.id.clone(), wanted))
    });
    wanted.collect()
}

fn is_own(service: &ServiceId, parts: &FleetParts) -> bool {
    let members = parts.membership.members();
    let alive = members.iter().filter(|member| member.is_alive());
    let nodes = alive.map(|member| &member.node);
    let own: &NodeId = &parts.claimant.node;
    let owner = rendezvous::owner(service, nodes);
    owner == Some(own) && !parts.drain.is_draining()
}
