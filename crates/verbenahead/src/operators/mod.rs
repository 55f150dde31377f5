//! The HTTP API and the status page for operators, served on a separate listener.

pub mod access;
pub mod backend;
pub mod errors;
mod health;
mod manifest_access;
mod manifest_routes;
mod page;
mod precondition;
pub mod problem;
mod read_routes;
mod report_cache;
mod router;
pub mod status;

pub use access::{OperatorKeys, OperatorName};
pub use backend::{
    ManifestHead, OperatorBackend, Publication, PublicationOutcome, Readiness, StoredManifest,
};
pub use errors::{Error, Result};
pub use manifest_access::ManifestAccess;
pub use page::render_status;
pub use router::{OperatorApi, OperatorApiOptions, router};
pub use status::{
    Agreement, NodeState, NodeView, ReclaimView, StatusReport, TableView, UpstreamCount,
};
