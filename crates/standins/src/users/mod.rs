//! Stand-in for the users' platform and its replicas.

pub mod duties;
pub mod handover;
mod platform;
pub mod replica;
pub mod replica_links;
pub mod rows;
mod version_faults;

pub use duties::{RecordedOrder, RecordedUsage};
pub use handover::{HandleUse, HandoverBehaviour};
pub use platform::{StoreFault, UsersPlatform};
pub use replica::{RecordedRun, ReplicaBehaviour, RunEnd, UsersReplica};
pub use replica_links::ReplicaLinks;
pub use version_faults::VersionFaults;
