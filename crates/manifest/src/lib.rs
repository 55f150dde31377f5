//! Wire types, validated model, findings and differences of the manifest.

pub mod model;

pub use model::{
    CallRule, EngineFencing, FleetPlan, Manifest, MissingKeyPolicy, ModelService, Objectives,
    PlainService, Priority, RoutingWeights, Service, ServiceKind, VmClass, Workspace,
};
