//! Reports that other nodes may read from this one.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{Digest, Generation, Incarnation};
use verbenahead_peer::ReportSource;

use crate::{
    burn::{BurnRecorder, LiveCounts},
    node::{active_manifest::ManifestView, readiness::Readiness, readiness::ReadinessState},
};

/// Name of the status report of the node.
pub const NODE_REPORT: &str = "node";

/// Name of the report with the counts for the burn rate.
pub const BURN_REPORT: &str = "burn";

/// Prefix of the report names of manifest bodies.
const MANIFEST_PREFIX: &str = "manifest/";

/// Returns the name of the report with the manifest body of this digest.
pub fn manifest_report_name(digest: Digest) -> String {
    format!("{MANIFEST_PREFIX}{digest}")
}

/// `NodeStatusReport` is the status of a node as it reports it to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatusReport {
    /// Readiness of the node.
    pub state: ReadinessState,
    /// Generation of the manifest in force; zero when there is none.
    pub generation: Generation,
    /// Version of the program.
    pub version: String,
}

/// `BurnCountsReport` holds the counts of a node for the burn rate. The membership may still list
/// an earlier incarnation of the node, so the report names the one that counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCountsReport {
    /// Incarnation of the node that counted.
    pub incarnation: Incarnation,
    /// Counts of the short windows that end now.
    pub counts: LiveCounts,
}

/// `ManifestBody` holds the body of the manifest in force, and of one that was published through this
/// node. Clones share them.
#[derive(Clone, Default)]
pub struct ManifestBody(Arc<Mutex<HeldBodies>>);

#[derive(Default)]
struct HeldBodies {
    in_force: Option<(Digest, Bytes)>,
    /// Nodes read this one while the platform does not answer.
    published: Option<(Digest, Bytes)>,
}

impl ManifestBody {
    /// Replaces the body in force and its digest.
    pub fn set(&self, digest: Digest, body: Bytes) {
        self.lock().in_force = Some((digest, body));
    }

    /// Replaces the body that was published through this node.
    pub fn set_published(&self, body: Bytes) {
        self.lock().published = Some((Digest::of(&body), body));
    }

    /// Returns the body with this digest, if it is held.
    pub fn get(&self, digest: Digest) -> Option<Bytes> {
        let held = self.lock();
        let bodies = [&held.in_force, &held.published];
        let mut bodies = bodies.into_iter().flatten();
        bodies
            .find(|(known, _)| *known == digest)
            .map(|(_, body)| body.clone())
    }

    fn lock(&self) -> MutexGuard<'_, HeldBodies> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `PeerReportSource` serves the reports of this node to other nodes.
#[derive(Clone)]
pub struct PeerReportSource {
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Body of the manifest in force.
    pub body: ManifestBody,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// Readiness of the node.
    pub readiness: Arc<Readiness>,
    /// Counts for the burn rate.
    pub burn: Arc<BurnRecorder>,
}

impl PeerReportSource {
    fn burn_report(&self) -> BurnCountsReport {
        BurnCountsReport {
            incarnation: self.incarnation,
            counts: self.burn.live_counts(),
        }
    }

    /// Returns the status report of this node.
    pub fn node(&self) -> NodeStatusReport {
        NodeStatusReport {
            state: self.readiness.state(),
            generation: self.manifest.generation(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }
}

#[async_trait]
impl ReportSource for PeerReportSource {
    async fn report(&self, name: &str) -> Option<Bytes> {
        match name {
            NODE_REPORT => to_json(&self.node()),
            BURN_REPORT => to_json(&self.burn_report()),
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
