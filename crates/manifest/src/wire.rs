//! JSON form of the manifest.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenahead_core::{
    AvailabilityZone, Digest, ServiceId, WorkspaceId,
    findings::{Finding, Findings, Place},
};

use crate::{
    model::{
        CallRule, EngineFencing, FleetPlan, Manifest, MissingKeyPolicy, ModelService,
        ObjectiveOverride, Objectives, PlainService, Priority, RoutingWeights, Service,
        ServiceKind, VmClass, Workspace, ZonePrice,
    },
    read::parse,
};

/// `ManifestWire` is the JSON form of a manifest, with its keys and units.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestWire {
    deployment: String,
    availability_zones: Vec<AvailabilityZone>,
    workspaces: Vec<WorkspaceWire>,
    services: Vec<ServiceWire>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    objective_overrides: Vec<OverrideWire>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WorkspaceWire {
    id: WorkspaceId,
    key_digests: Vec<Digest>,
    share: u32,
    priority: Priority,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    token_limit_per_s: Option<f64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceWire {
    id: ServiceId,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    model: Option<ModelWire>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    plain: Option<PlainWire>,
    request_timeout_ms: u64,
    progress_timeout_ms: u64,
    objectives: ObjectivesWire,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fleet: Option<FleetWire>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelWire {
    models: Vec<String>,
    max_answer_tokens: u64,
    fencing: EngineFencing,
    weights: WeightsWire,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WeightsWire {
    first_token: f64,
    recomputed_tokens: f64,
    cost: f64,
    zone_crossing: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlainWire {
    calls: Vec<CallWire>,
    ledger_retention_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallWire {
    method: String,
    path_prefix: String,
    idempotent: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    missing_key: Option<MissingKeyPolicy>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectivesWire {
    first_token_ms: u64,
    inter_token_ms: u64,
    latency_ratio: f64,
    availability_ratio: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct OverrideWire {
    workspace: WorkspaceId,
    service: ServiceId,
    #[serde(flatten)]
    objectives: ObjectivesWire,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetWire {
    min_upstreams: u32,
    max_upstreams: u32,
    classes: Vec<ClassWire>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassWire {
    name: String,
    capacity_tokens_per_s: f64,
    reclaimable_price_per_h: f64,
    on_demand_price_per_h: f64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    zone_prices: Vec<ZonePriceWire>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZonePriceWire {
    availability_zone: AvailabilityZone,
    reclaimable_price_per_h: f64,
    on_demand_price_per_h: f64,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&Manifest> for ManifestWire {
    fn from(manifest: &Manifest) -> Self {
        let overrides = manifest.objective_overrides.iter();
        Self {
            deployment: manifest.deployment.clone(),
            availability_zones: manifest.availability_zones.clone(),
            workspaces: manifest.workspaces.iter().map(Into::into).collect(),
            services: manifest.services.iter().map(Into::into).collect(),
            objective_overrides: overrides.map(Into::into).collect(),
        }
    }
}

impl From<&Workspace> for WorkspaceWire {
    fn from(workspace: &Workspace) -> Self {
        Self {
            id: workspace.id.clone(),
            key_digests: workspace.key_digests.clone(),
            share: workspace.share,
            priority: workspace.priority,
            token_limit_per_s: workspace.token_limit.map(|rate| rate.0),
        }
    }
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        let (model, plain) = match &service.kind {
            ServiceKind::Model(model) => (Some(model.into()), None),
            ServiceKind::Plain(plain) => (None, Some(plain.into())),
        };
        Self {
            id: service.id.clone(),
            model,
            plain,
            request_timeout_ms: millis(service.request_timeout),
            progress_timeout_ms: millis(service.progress_timeout),
            objectives: service.objectives.into(),
            fleet: service.fleet.as_ref().map(Into::into),
        }
    }
}

impl From<&ModelService> for ModelWire {
    fn from(model: &ModelService) -> Self {
        Self {
            models: model.models.clone(),
            max_answer_tokens: model.max_answer.0,
            fencing: model.fencing,
            weights: model.weights.into(),
        }
    }
}

impl From<RoutingWeights> for WeightsWire {
    fn from(weights: RoutingWeights) -> Self {
        Self {
            first_token: weights.first_token,
            recomputed_tokens: weights.recomputed_tokens,
            cost: weights.cost,
            zone_crossing: weights.zone_crossing,
        }
    }
}

impl From<&PlainService> for PlainWire {
    fn from(plain: &PlainService) -> Self {
        Self {
            calls: plain.calls.iter().map(Into::into).collect(),
            ledger_retention_ms: millis(plain.ledger_retention),
        }
    }
}

impl From<&CallRule> for CallWire {
    fn from(rule: &CallRule) -> Self {
        Self {
            method: rule.method.clone(),
            path_prefix: rule.path_prefix.clone(),
            idempotent: rule.idempotent,
            missing_key: (!rule.idempotent).then_some(rule.missing_key),
        }
    }
}

impl From<Objectives> for ObjectivesWire {
    fn from(objectives: Objectives) -> Self {
        Self {
            first_token_ms: millis(objectives.first_token),
            inter_token_ms: millis(objectives.inter_token),
            latency_ratio: objectives.latency_ratio,
            availability_ratio: objectives.availability_ratio,
        }
    }
}

impl From<&ObjectiveOverride> for OverrideWire {
    fn from(entry: &ObjectiveOverride) -> Self {
        Self {
            workspace: entry.workspace.clone(),
            service: entry.service.clone(),
            objectives: entry.objectives.into(),
        }
    }
}

impl From<&FleetPlan> for FleetWire {
    fn from(plan: &FleetPlan) -> Self {
        Self {
            min_upstreams: plan.min_upstreams,
            max_upstreams: plan.max_upstreams,
            classes: plan.classes.iter().map(Into::into).collect(),
        }
    }
}

impl From<&VmClass> for ClassWire {
    fn from(class: &VmClass) -> Self {
        Self {
            name: class.name.clone(),
            capacity_tokens_per_s: class.capacity.0,
            reclaimable_price_per_h: class.reclaimable_price.0,
            on_demand_price_per_h: class.on_demand_price.0,
            zone_prices: class.zone_prices.iter().map(Into::into).collect(),
        }
    }
}

impl From<&ZonePrice> for ZonePriceWire {
    fn from(price: &ZonePrice) -> Self {
        Self {
            availability_zone: price.zone.clone(),
            reclaimable_price_per_h: price.reclaimable_price.0,
            on_demand_price_per_h: price.on_demand_price.0,
        }
    }
}

impl TryFrom<ManifestWire> for Manifest {
    type Error = Findings;

    /// Validates a manifest as [`parse`] does for the same JSON in a file named `manifest`.
    fn try_from(wire: ManifestWire) -> Result<Self, Findings> {
        match serde_json::to_string_pretty(&wire) {
            Ok(text) => parse("manifest", &text),
            Err(e) => Err(serialization_failure(&e)),
        }
    }
}

fn serialization_failure(e: &serde_json::Error) -> Findings {
    let mut findings = Findings::default();
    findings.push(Finding {
        place: Place::default(),
        message: e.to_string(),
        suggestion: None,
    });
    findings
}
