//! News items.

use verbenahead_core::{Digest, Generation, Incarnation, UpstreamId};

use crate::time::UnixMillis;

/// `ManifestHead` names the manifest that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ManifestHead {
    /// Generation of the manifest.
    pub generation: Generation,
    /// Digest of the manifest's body.
    pub digest: Digest,
}

/// `UpstreamLeaving` states that an upstream will stop and must get no new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamLeaving {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of its VM. A higher incarnation with the same id is not affected.
    pub incarnation: Incarnation,
    /// Time at which the VM stops.
    pub deadline: UnixMillis,
}

/// `UpstreamGone` states that an upstream has stopped.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamGone {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of its VM.
    pub incarnation: Incarnation,
    /// Time at which this became known.
    pub since: UnixMillis,
}

/// `NewsItem` is one fact that is disseminated to all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum NewsItem {
    /// The manifest in force.
    ManifestHead(ManifestHead),
    /// An upstream that is leaving.
    UpstreamLeaving(UpstreamLeaving),
    /// An upstream that has stopped.
    UpstreamGone(UpstreamGone),
}
