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

/// `NodeCount` returns the number of nodes that share the capacity of the upstreams.
pub type NodeCount = Arc<dyn Fn() -> usize + Send + Sync>;

/// `NodeAdmission` performs admission control for one node, separately for each service.
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

/// `ModelAdmissionRequest` describes a model request to admission control.
#[derive(Debug, Clone, Copy)]
pub struct ModelAdmissionRequest<'a> {
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Service of the model.
    pub service: &'a ServiceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Estimated tokens of prompt and answer.
    pub tokens: Tokens,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
}

impl NodeAdmission {
    /// Builds the admission control of a node.
    pub fn new(directory: Arc<UpstreamDirectory>, nodes: NodeCount) -> Self {
        Self {
            directory,
            nodes,
            services: Arc::default(),
        }
    }

    /// Admits a model request or refuses it immediately.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with the delay after which a retry may be admitted.
    pub fn admit(
        &self,
        model_req: ModelAdmissionRequest<'_>,
        manifest: &ActiveManifest,
    ) -> Result<AdmittedRequest, Refusal> {
        let now = policy_now();
        let loads = self.loads(model_req.service);
        let nodes = (self.nodes)().max(1);
        let capacity = Capacity::of_upstreams(&loads, nodes);
        let mut services = self.lock();
        let service_admission = services
            .entry(model_req.service.clone())
            .or_insert_with(|| ServiceAdmission::new(capacity));
        service_admission.update(manifest, nodes, capacity, now);
        let req = AdmissionRequest {
            workspace: model_req.workspace,
            priority: model_req.priority,
            tokens: model_req.tokens,
            service_time: shortest_service_time(&loads),
            deadline: model_req.deadline,
        };
        let permit = service_admission.admission.try_admit(&req, now)?;
        Ok(AdmittedRequest {
            admission: self.clone(),
            service: model_req.service.clone(),
            used: permit.tokens(),
            permit: Some(permit),
        })
    }

    fn loads(&self, service: &ServiceId) -> Vec<LoadEstimate> {
        let entries = self.directory.live(service);
        entries.iter().map(|entry| entry.load()).collect()
    }

    fn release(&self, service: &ServiceId, permit: Permit, used: Tokens) {
        if let Some(service_admission) = self.lock().get_mut(service) {
            service_admission
                .admission
                .release(permit, used, policy_now());
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

    fn update(
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

    /// Divides the token limit of each workspace evenly among the nodes, so that their shares do
    /// not add up to more than the limit once all nodes know the same number of nodes.
    fn set_workspaces(&mut self, manifest: &Manifest, nodes: usize, now: Timestamp) {
        for workspace in &manifest.workspaces {
            self.admission.set_share(&workspace.id, workspace.share);
            let per_node = |limit: TokenRate| TokenRate(limit.0 / nodes as f64);
            let limit = workspace.token_limit.map(per_node);
            self.admission.set_limit(&workspace.id, limit, now);
        }
        self.admission
            .retain_workspaces(|id| manifest.workspace(id).is_some());
    }
}

/// `AdmittedRequest` holds the admission permit of a request and releases it on drop.
pub struct AdmittedRequest {
    admission: NodeAdmission,
    service: ServiceId,
    permit: Option<Permit>,
    used: Tokens,
}

impl AdmittedRequest {
    /// Replaces the estimate by the number of tokens that prompt and answer had.
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
