//! What other nodes may read from this one.

use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{Digest, Generation, Incarnation};
use verbenahead_peer::ReportSource;

use crate::{
    burn::{BurnRecorder, LiveCounts},
    node::{active_manifest::ManifestView, readiness::Readiness, readiness::ReadinessState},
};

/// Name of the report on the node itself.
pub const NODE_REPORT: &str = "node";

/// Name of the report on the counts of the burn.
pub const BURN_REPORT: &str = "burn";

/// Prefix of the name under which the body of a manifest is read.
const MANIFEST_PREFIX: &str = "manifest/";

/// Returns the name under which the body with this digest is read.
pub fn manifest_report(digest: Digest) -> String {
    format!("{MANIFEST_PREFIX}{digest}")
}

/// `NodeReport` is what a node tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// State of the node.
    pub state: ReadinessState,
    /// Generation in force. Zero when there is none.
    pub generation: Generation,
    /// Version of the program.
    pub version: String,
}

/// `BurnAnswer` is what a node tells of the burn. The membership may know an earlier life of the
/// node, so the answer names the one that counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// Life of the node that counted.
    pub incarnation: Incarnation,
    /// Its counts.
    pub counts: LiveCounts,
}

/// `ManifestBody` holds the body of the manifest in force.
#[derive(Debug, Clone, Default)]
pub struct ManifestBody(Arc<Mutex<Option<(Digest, Bytes)>>>);

impl ManifestBody {
    /// Replaces the body.
    pub fn set(&self, digest: Digest, body: Bytes) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((digest, body));
    }

    /// Returns the body with this digest, if it is the one in force.
    pub fn get(&self, digest: Digest) -> Option<Bytes> {
        let held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        held.as_ref()
            .filter(|(known, _)| *known == digest)
            .map(|(_, body)| body.clone())
    }
}

/// `PeerReports` answers other nodes.
#[derive(Clone)]
pub struct PeerReports {
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Body of the manifest in force.
    pub body: ManifestBody,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// State of the node.
    pub readiness: Arc<Readiness>,
    /// Counts of the burn.
    pub burn: Arc<BurnRecorder>,
}

impl PeerReports {
    fn burn_answer(&self) -> BurnAnswer {
        BurnAnswer {
            incarnation: self.incarnation,
            counts: self.burn.live_counts(),
        }
    }

    /// Returns what this node tells of itself.
    pub fn node(&self) -> NodeReport {
        NodeReport {
            state: self.readiness.state(),
            generation: self.manifest.generation(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }
}

#[async_trait]
impl ReportSource for PeerReports {
    async fn report(&self, name: &str) -> Option<Bytes> {
        match name {
            NODE_REPORT => to_json(&self.node()),
            BURN_REPORT => to_json(&self.burn_answer()),
            name => {
                let digest = name.strip_prefix(MANIFEST_PREFIX)?.parse().ok()?;
                self.body.get(digest)
            }
        }
    }
}

fn to_json(value: &impl Serialize) -> Option<Bytes> {
    serde_json::to_vec(value).ok().map(Bytes::from)
}
