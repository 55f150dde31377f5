//! What nodes tell each other in small reports.

use verbenahead_core::{
    AvailabilityZone, FencingNumber, Generation, Incarnation, NodeId, ServiceId, UpstreamId,
    WorkspaceId, units::Tokens,
};

use crate::time::UnixMillis;

/// `NameKey` is a short hash of a name. Reports use it in place of the name. Two names of one
/// deployment have the same key with a chance of one in four thousand million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:08x}")]
pub struct NameKey(pub u32);

impl NameKey {
    /// Returns the key of a name, which is the same on all nodes.
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

/// `NodeReport` is what one node tells the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeReport {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Rises with each report of the node's life.
    pub sequence: u64,
    /// Time of day by the clock of the node's machine.
    pub clock: UnixMillis,
    /// Time of day that the node goes by, once it has settled on one with the others.
    pub agreed: Option<UnixMillis>,
    /// Generation of the routes that are in force at the node.
    pub generation: Generation,
    /// Whether the node will stop.
    pub is_leaving: bool,
    /// Whether the node has an answer of the store of late.
    pub reaches_store: bool,
    /// Fencing number of the lease for the deployment's duties, if the node holds it.
    pub held_lease: Option<FencingNumber>,
    /// Work that the node has at replicas.
    pub work: Vec<ReplicaWork>,
    /// Prompts that the node sent to each service since its start.
    pub demand: Vec<PromptDemand>,
    /// What the node let pass for each workspace since its start.
    pub quota_use: Vec<QuotaUse>,
    /// Requests that began to run, by window. Told to the holder of the lease only.
    pub windows: Vec<WindowCounts>,
}

/// `ReplicaWork` is what one node has at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaWork {
    /// Key of the replica's id.
    pub replica: NameKey,
    /// Requests that have not ended.
    pub requests: u32,
    /// Tokens of prompts that should still have to be processed.
    pub queued: Tokens,
}

/// `PromptDemand` is what one node asked of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptDemand {
    /// Key of the service's id.
    pub service: NameKey,
    /// Tokens of prompts that replicas should have had to process, since the start of the node.
    pub total: Tokens,
}

/// `QuotaUse` is what one node let pass for one workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaUse {
    /// Key of the workspace's id.
    pub workspace: NameKey,
    /// Units since the start of the node.
    pub total: u64,
}

/// `WindowCounts` are the requests of one window that began to run through one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Whether the window had ended by the node's time when the report was made.
    pub is_final: bool,
    /// Requests by workspace.
    pub counts: Vec<(NameKey, u64)>,
}
