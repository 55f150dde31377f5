//! Ids, units, errors, time, state charts and invariant checks shared by every verbenahead crate.

pub mod chart;
pub mod collections;
pub mod content;
pub mod document;
pub mod errors;
pub mod feature_level;
pub mod findings;
pub mod ids;
pub mod invariant;
pub mod outcome;
pub mod time;
pub mod timer;
pub mod units;

pub use collections::{HashMap, HashSet};
pub use content::{ContentKey, ContentKind, QuarantinedContent};
pub use errors::{Error, Result};
pub use feature_level::FeatureLevel;
pub use ids::{
    AttemptId, AvailabilityZone, Digest, FencingNumber, Generation, Incarnation, NodeId, RequestId,
    ServiceId, SoftwareVersion, UpstreamId, VmId, WorkspaceId,
};
pub use outcome::RunOutcome;
