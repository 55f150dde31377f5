//! Admission of requests at one node.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use verbenahead_core::{
    Generation, HashMap, ServiceId, WorkspaceId,
    units::{TokenRate, Tokens},
};
use verbenahead_manifest::{Manifest, Priority};
use verbenahead_policy::{
    Admission, AdmissionOptions, AdmissionRequest, Capacity, LoadEstimate, Permit, Refusal,
    Timestamp,
};
use verbenahead_relay::clock::policy_now;

use crate::node::{active_manifest::ActiveManifest, upstream_directory::UpstreamDirectory};

/// `NodeCount` tells how many nodes share the capacity of the upstreams.
pub type NodeCount = Arc<dyn Fn() -> usize + Send + Sync>;

/// `NodeAdmission` admits the requests of one node, each service by itself.
#[derive(Clone)]
pub struct NodeAdmission {
    directory: Arc<UpstreamDirectory>,
    nodes: NodeCount,
    services: Arc<Mutex<HashMap<ServiceId, ServiceAdmission>>>,
}

struct ServiceAdmission {
    generation: Generation,
    nodes: usize,
    admission: Admission,
}

/// `ModelDemand` is what admission needs to know of a model request.
#[derive(Debug, Clone, Copy)]
pub struct ModelAdmissionRequest<'a> {
    /// Workspace that asks.
    pub workspace: &'a WorkspaceId,
    /// Service that is asked.
    pub service: &'a ServiceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Estimated tokens of prompt and answer.
    pub tokens: Tokens,
    /// Time by which the answer must have ended.
    pub deadline: Timestamp,
}

impl NodeAdmission {
    /// Builds the admission of a node.
    pub fn new(directory: Arc<UpstreamDirectory>, nodes: NodeCount) -> Self {
        Self {
            directory,
            nodes,
            services: Arc::default(),
        }
    }

    /// Admits a model request or refuses it at once.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with the delay after which another try makes sense.
    pub fn admit(
        &self,
        demand: ModelAdmissionRequest<'_>,
        manifest: &ActiveManifest,
    ) -> Result<AdmittedRequest, Refusal> {
        let now = policy_now();
        let loads = self.loads(demand.service);
        let nodes = (self.nodes)().max(1);
        let capacity = Capacity::of_upstreams(&loads, nodes);
        let mut services = self.lock();
        let known = services
            .entry(demand.service.clone())
            .or_insert_with(|| ServiceAdmission::new(capacity));
        known.refresh(manifest, nodes, capacity, now);
        let req = AdmissionRequest {
            workspace: demand.workspace,
            priority: demand.priority,
            tokens: demand.tokens,
            service_time: shortest_service_time(&loads),
            deadline: demand.deadline,
        };
        let permit = known.admission.try_admit(&req, now)?;
        Ok(AdmittedRequest {
            admission: self.clone(),
            service: demand.service.clone(),
            used: permit.tokens(),
            permit: Some(permit),
        })
    }

    fn loads(&self, service: &ServiceId) -> Vec<LoadEstimate> {
        let entries = self.directory.live(service);
        entries.iter().map(|entry| entry.load()).collect()
    }

    fn release(&self, service: &ServiceId, permit: Permit, used: Tokens) {
        if let Some(known) = self.lock().get_mut(service) {
            known.admission.release(permit, used, policy_now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceAdmission>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn shortest_service_time(loads: &[LoadEstimate]) -> Duration {
    let times = loads.iter().map(|load| load.service_time);
    times.min().unwrap_or_default()
}

impl ServiceAdmission {
    fn new(capacity: Capacity) -> Self {
        Self {
            generation: Generation::default(),
            nodes: 0,
            admission: Admission::new(AdmissionOptions::default(), capacity),
        }
    }

    fn refresh(
        &mut self,
        active: &ActiveManifest,
        nodes: usize,
        capacity: Capacity,
        now: Timestamp,
    ) {
        self.admission.set_capacity(capacity);
        if self.generation == active.generation && self.nodes == nodes {
            return;
        }
        self.generation = active.generation;
        self.nodes = nodes;
        self.set_workspaces(&active.manifest, nodes, now);
    }

    /// Each node holds an even part of a workspace's limit, so that the parts of all nodes never
    /// exceed the limit once they agree on their number.
    fn set_workspaces(&mut self, manifest: &Manifest, nodes: usize, now: Timestamp) {
        for workspace in &manifest.workspaces {
            self.admission.set_share(&workspace.id, workspace.share);
            let part = |limit: TokenRate| TokenRate(limit.0 / nodes as f64);
            let limit = workspace.token_limit.map(part);
            self.admission.set_limit(&workspace.id, limit, now);
        }
        self.admission
            .retain_workspaces(|id| manifest.workspace(id).is_some());
    }
}

/// `AdmittedRequest` holds the place of an admitted request until it is dropped.
pub struct AdmittedRequest {
    admission: NodeAdmission,
    service: ServiceId,
    permit: Option<Permit>,
    used: Tokens,
}

impl AdmittedRequest {
    /// Says how many tokens prompt and answer had, in place of the estimate.
    pub fn set_used_tokens(&mut self, used: Tokens) {
        self.used = used;
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.admission.release(&self.service, permit, self.used);
        }
    }
}
