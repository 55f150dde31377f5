//! Validated model of a manifest.

use std::time::Duration;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use verbenahead_core::{
    AvailabilityZone, Digest, ServiceId, WorkspaceId,
    units::{HourlyPrice, TokenRate, Tokens},
};

/// `Manifest` describes the desired state of a deployment. [`parse`](crate::parse) returns only
/// valid ones.
#[derive(Debug, Clone, PartialEq)]
pub struct Manifest {
    /// Name of the deployment.
    pub deployment: String,
    /// Availability zones in which the deployment runs.
    pub availability_zones: Vec<AvailabilityZone>,
    /// Workspaces whose callers are accepted.
    pub workspaces: Vec<Workspace>,
    /// Services of the deployment.
    pub services: Vec<Service>,
    /// Objectives of single workspaces at a service, which replace those of the service.
    pub objective_overrides: Vec<ObjectiveOverride>,
}

impl Manifest {
    /// Returns the service with this id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the service that offers the model named `model`.
    pub fn service_of_model(&self, model: &str) -> Option<(&Service, &ModelService)> {
        self.services
            .iter()
            .find_map(|service| match &service.kind {
                ServiceKind::Model(kind) if kind.models.iter().any(|m| m == model) => {
                    Some((service, kind))
                }
                _ => None,
            })
    }

    /// Returns the objectives of a workspace at a service: those of its override, or else those of
    /// the service. Returns `None` if there is neither.
    pub fn objectives(&self, workspace: &WorkspaceId, service: &ServiceId) -> Option<Objectives> {
        let found = self
            .objective_overrides
            .iter()
            .find(|entry| entry.workspace == *workspace && entry.service == *service);
        match found {
            Some(entry) => Some(entry.objectives),
            None => self.service(service).map(|service| service.objectives),
        }
    }

    /// Returns the workspace with this id.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.id == *id)
    }

    /// Returns the workspace that has a key with this digest.
    pub fn workspace_of_key(&self, digest: &Digest) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.key_digests.contains(digest))
    }
}

/// `Workspace` is a customer of the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Id of the workspace.
    pub id: WorkspaceId,
    /// Digests of the bearer keys that are accepted for it.
    pub key_digests: Vec<Digest>,
    /// Share of the capacity, relative to the shares of the other workspaces.
    pub share: u32,
    /// Priority of its requests.
    pub priority: Priority,
    /// Limit on prompt and answer tokens per second over all nodes, if any.
    pub token_limit: Option<TokenRate>,
}

/// `Priority` orders requests that compete for capacity.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Priority {
    /// Batch work that can wait.
    Batch,
    /// Default priority.
    #[default]
    Normal,
    /// Interactive work, for which a person waits.
    Interactive,
}

/// `Service` is one service of the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Id of the service. Upstreams carry it as a label.
    pub id: ServiceId,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Maximum time from the acceptance of a request to the end of its answer.
    pub request_timeout: Duration,
    /// Maximum time without progress of an answer before the connection is probed.
    pub progress_timeout: Duration,
    /// Service-level objectives.
    pub objectives: Objectives,
    /// Plan of the VMs, if the system starts and stops them.
    pub fleet: Option<FleetPlan>,
}

/// `ServiceKind` distinguishes model services from plain services.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Service of language models.
    Model(ModelService),
    /// Any other HTTP service.
    Plain(PlainService),
}

/// `ModelService` describes the engines of a model service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelService {
    /// Names of the models in requests.
    pub models: Vec<String>,
    /// Maximum number of answer tokens of one request.
    pub max_answer: Tokens,
    /// Whether the engines check the fencing numbers of orders.
    pub fencing: EngineFencing,
    /// Weights of the routing score.
    pub weights: RoutingWeights,
}

/// `EngineFencing` states whether engines refuse orders with an outdated fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum EngineFencing {
    /// Orders with an outdated number are refused.
    Checked,
    /// Fencing numbers are ignored.
    #[default]
    Ignored,
}

/// `RoutingWeights` holds the weights of the terms of the routing score.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingWeights {
    /// Weight of the predicted time to the first token.
    pub first_token: f64,
    /// Weight of the recomputed tokens.
    pub recomputed_tokens: f64,
    /// Weight of the price of the upstream's VM.
    pub cost: f64,
    /// Weight of crossing to another availability zone than the caller's.
    pub zone_crossing: f64,
}

impl Default for RoutingWeights {
    fn default() -> Self {
        Self {
            first_token: 1.0,
            recomputed_tokens: 1.0,
            cost: 1.0,
            zone_crossing: 1.0,
        }
    }
}

/// `PlainService` describes the calls of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainService {
    /// Rules in order. The first rule that matches a call decides. A call that matches no rule is
    /// refused.
    pub calls: Vec<CallRule>,
    /// Time for which the ledger keeps the answer of a non-idempotent call.
    pub ledger_retention: Duration,
}

impl PlainService {
    /// Returns the first rule that matches a call.
    pub fn rule(&self, method: &str, path: &str) -> Option<&CallRule> {
        self.calls.iter().find(|rule| rule.matches(method, path))
    }
}

/// `CallRule` defines how matching calls are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRule {
    /// HTTP method in upper case, or `*` for any.
    pub method: String,
    /// Prefix of the path within the service, starting with `/`.
    pub path_prefix: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Handling of a non-idempotent call without an `Idempotency-Key`.
    pub missing_key: MissingKeyPolicy,
}

impl CallRule {
    /// Returns whether the rule matches a call.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_method = self.method == "*" || self.method == method;
        is_method && path.starts_with(&self.path_prefix)
    }
}

/// `MissingKeyPolicy` defines the handling of non-idempotent calls without an `Idempotency-Key`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum MissingKeyPolicy {
    /// The call is refused.
    #[default]
    Refuse,
    /// The node generates a key that is valid for this one request.
    Generate,
}

/// `Objectives` are the service-level objectives of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Objectives {
    /// Target of the time to the first token, or to the end of the answer of a plain service.
    pub first_token: Duration,
    /// Target of the time between two tokens.
    pub inter_token: Duration,
    /// Ratio of the requests that meet both targets, between 0 and 1.
    pub latency_ratio: f64,
    /// Ratio of the requests that are answered completely, between 0 and 1.
    pub availability_ratio: f64,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(360),
            inter_token: Duration::from_millis(32),
            latency_ratio: 0.95,
            availability_ratio: 0.999,
        }
    }
}

/// `ObjectiveOverride` sets the objectives of one workspace at one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectiveOverride {
    /// Workspace to which the objectives apply.
    pub workspace: WorkspaceId,
    /// Service to which the objectives apply.
    pub service: ServiceId,
    /// The objectives.
    pub objectives: Objectives,
}

/// `FleetPlan` limits the VMs that the system runs for a service.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPlan {
    /// Minimum number of upstreams.
    pub min_upstreams: u32,
    /// Maximum number of upstreams.
    pub max_upstreams: u32,
    /// VM classes that may be used.
    pub classes: Vec<VmClass>,
}

/// `VmClass` describes a class of VMs with its prices.
#[derive(Debug, Clone, PartialEq)]
pub struct VmClass {
    /// Name of the class at the platform.
    pub name: String,
    /// Tokens per second that one VM sustains while it meets the latency objectives.
    pub capacity: TokenRate,
    /// Price of a reclaimable VM in zones that are not in `zone_prices`.
    pub reclaimable_price: HourlyPrice,
    /// Price of an on-demand VM in zones that are not in `zone_prices`.
    pub on_demand_price: HourlyPrice,
    /// Prices of single availability zones.
    pub zone_prices: Vec<ZonePrice>,
}

impl VmClass {
    /// Returns the price of a reclaimable VM in an availability zone.
    pub fn reclaimable_price_in(&self, zone: &AvailabilityZone) -> HourlyPrice {
        self.zone_price(zone)
            .map_or(self.reclaimable_price, |price| price.reclaimable_price)
    }

    /// Returns the price of an on-demand VM in an availability zone.
    pub fn on_demand_price_in(&self, zone: &AvailabilityZone) -> HourlyPrice {
        self.zone_price(zone)
            .map_or(self.on_demand_price, |price| price.on_demand_price)
    }

    fn zone_price(&self, zone: &AvailabilityZone) -> Option<&ZonePrice> {
        self.zone_prices.iter().find(|price| price.zone == *zone)
    }
}

/// `ZonePrice` holds the prices of a VM class in one availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePrice {
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Price of a reclaimable VM.
    pub reclaimable_price: HourlyPrice,
    /// Price of an on-demand VM.
    pub on_demand_price: HourlyPrice,
}
