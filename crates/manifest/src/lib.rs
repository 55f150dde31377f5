//! Wire types, validated model, findings and differences of the manifest.

pub mod diff;
pub mod model;
mod read;
pub mod wire;

pub use diff::{Change, diff};
pub use model::{
    CallRule, EngineFencing, FleetPlan, Manifest, MissingKeyPolicy, ModelService,
    ObjectiveOverride, Objectives, PlainService, Priority, RoutingWeights, Service, ServiceKind,
    VmClass, Workspace, ZonePrice,
};
pub use read::parse;
pub use wire::ManifestWire;
