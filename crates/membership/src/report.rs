//! Periodic reports that nodes send to each other.

use std::time::Duration;

use verbenahead_core::{
    AvailabilityZone, FeatureLevel, FencingNumber, Generation, Incarnation, NodeId,
    QuarantinedContent, ServiceId, UpstreamId, WorkspaceId,
    units::{RequestRate, Tokens},
};

use crate::time::UnixMillis;

/// `NameKey` is a 32-bit hash of a name, which reports carry in place of the name. Two given names
/// collide with a probability of 2^-32.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:08x}")]
pub struct NameKey(pub u32);

impl NameKey {
    /// Returns the key of a name. It is the same on all nodes.
    pub fn of(name: &str) -> Self {
        let mut hash = FNV_OFFSET;
        for byte in name.bytes() {
            hash = (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
        }
        Self(hash)
    }
}

impl From<&UpstreamId> for NameKey {
    fn from(id: &UpstreamId) -> Self {
        Self::of(id.as_str())
    }
}

impl From<&WorkspaceId> for NameKey {
    fn from(id: &WorkspaceId) -> Self {
        Self::of(id.as_str())
    }
}

impl From<&ServiceId> for NameKey {
    fn from(id: &ServiceId) -> Self {
        Self::of(id.as_str())
    }
}

/// Parameters of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// `NodeReport` is the state that one node reports to the others.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeReport {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Sequence number, which increases with each report of an incarnation.
    pub sequence: u64,
    /// Time of day by the system clock of the node.
    pub clock: UnixMillis,
    /// Agreed time of the node, once it has settled.
    pub agreed: Option<UnixMillis>,
    /// Generation of the routes in force at the node.
    pub generation: Generation,
    /// Position of the last change of the replicas that the node knows of; 0 if it knows none.
    pub replicas_as_of: u64,
    /// Latest usage window that the node knows to be reported; 0 if it knows none.
    pub reported_window: u64,
    /// Whether the node will stop.
    pub is_leaving: bool,
    /// Whether the store answered the node recently.
    pub reaches_store: bool,
    /// Fencing number of the lease for the deployment's duties, if the node holds it.
    pub held_lease: Option<FencingNumber>,
    /// Work that the node has outstanding at replicas.
    pub work: Vec<ReplicaWork>,
    /// Estimated prompt tokens that replicas had to process for the node since its start, by
    /// service.
    pub demand: Vec<PromptDemand>,
    /// Keys of the replicas whose answers to the node recently said that they leave.
    pub leaving: Vec<NameKey>,
    /// Limits that replicas recently stated, to the node or another.
    pub limits: Vec<ReplicaLimit>,
    /// Content of requests that is quarantined.
    pub quarantined: Vec<QuarantinedContent>,
    /// Level of features that the node knows.
    pub features: FeatureLevel,
    /// Requests that began to run, by window. Sent to the lease holder and the standby node only.
    pub windows: Vec<WindowCounts>,
}

/// `ReplicaWork` is the outstanding work of one node at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaWork {
    /// Key of the replica's id.
    pub replica: NameKey,
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens that are estimated to be still unprocessed.
    pub queued: Tokens,
}

/// `ReplicaLimit` is the limit of one replica on the requests of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaLimit {
    /// Key of the incarnation of the replica.
    pub replica: NameKey,
    /// The limit, or `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time since the replica stated it, or answered without one.
    pub age: Duration,
}

/// `PromptDemand` is the prompt work that one node sent to one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptDemand {
    /// Key of the service's id.
    pub service: NameKey,
    /// Estimated prompt tokens that replicas had to process, since the start of the node.
    pub total: Tokens,
}

/// `WindowCounts` counts the requests that began to run through one node in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Whether the window had ended by the node's time when the report was built.
    pub is_final: bool,
    /// Number of requests by workspace.
    pub counts: Vec<(NameKey, u64)>,
}
