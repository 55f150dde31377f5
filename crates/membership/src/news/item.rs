//! Items of news.

use verbenahead_core::{Digest, Generation, Incarnation, UpstreamId};

use crate::time::UnixMillis;

/// `ManifestHead` names the manifest that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ManifestHead {
    /// Generation of the manifest.
    pub generation: Generation,
    /// Digest of its body.
    pub digest: Digest,
}

/// `UpstreamLeaving` tells that an upstream will stop and must get no new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamLeaving {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Life of its VM. A later life at the same address is not shut out.
    pub incarnation: Incarnation,
    /// When the VM stops.
    pub deadline: UnixMillis,
}

/// `UpstreamGone` tells that an upstream has stopped.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamGone {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Life of its VM.
    pub incarnation: Incarnation,
    /// When this became known.
    pub since: UnixMillis,
}

/// `NewsItem` is one item of news.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum NewsItem {
    /// A manifest is in force.
    ManifestHead(ManifestHead),
    /// An upstream is leaving.
    UpstreamLeaving(UpstreamLeaving),
    /// An upstream is gone.
    UpstreamGone(UpstreamGone),
}
