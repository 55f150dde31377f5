//! Ids, units, errors, time, state charts and invariant checks shared by every verbenahead crate.

pub mod chart;
pub mod collections;
pub mod document;
pub mod errors;
pub mod findings;
pub mod ids;
pub mod invariant;
pub mod outcome;
pub mod prompt_part;
pub mod time;
pub mod timer;
pub mod units;

pub use collections::{HashMap, HashSet};
pub use errors::{Error, Result};
pub use ids::{
    AttemptId, AvailabilityZone, Digest, FencingNumber, Generation, Incarnation, NodeId, RequestId,
    ServiceId, UpstreamId, VmId, WorkspaceId,
};
pub use outcome::RunOutcome;
pub use prompt_part::{PartKey, QuarantinedPart};
