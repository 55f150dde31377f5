//! Manifest of a deployment: its JSON form, validated model, checks and differences, and the route
//! table.

pub mod diff;
pub mod model;
pub mod quota;
mod read;
pub mod route_table;
pub mod wire;

pub use diff::{Change, diff};
pub use model::{
    CallRule, EngineFencing, FleetPlan, Manifest, MissingKeyPolicy, ModelService,
    ObjectiveOverride, Objectives, PlainService, Priority, RoutingWeights, Service, ServiceKind,
    VmClass, Workspace, ZonePrice,
};
pub use quota::{Quota, QuotaUnit};
pub use read::parse;
pub use route_table::{
    CallerLimits, EngineProfile, FleetBounds, RetrySafety, Route, RouteTable, RouteTarget,
    RoutedService, RoutedWorkspace,
};
pub use wire::ManifestWire;
