//! What other nodes may read from this one.

use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use verbenahead_core::Digest;
use verbenahead_peer::ReportSource;

/// Prefix of the name under which the body of a manifest is read.
const MANIFEST_PREFIX: &str = "manifest/";

/// Returns the name under which the body with this digest is read.
pub fn manifest_report(digest: Digest) -> String {
    format!("{MANIFEST_PREFIX}{digest}")
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
#[derive(Debug, Clone)]
pub struct PeerReports {
    /// Body of the manifest in force.
    pub body: ManifestBody,
}

#[async_trait]
impl ReportSource for PeerReports {
    async fn report(&self, name: &str) -> Option<Bytes> {
        let digest = name.strip_prefix(MANIFEST_PREFIX)?.parse().ok()?;
        self.body.get(digest)
    }
}
