//! What the operator API needs from the node.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead_core::{Digest, Generation, time::UnixMillis};
use verbenahead_manifest::Manifest;

use crate::burn::BurnReport;

use super::{errors::Result, status::StatusReport};

/// `ManifestHead` is one accepted manifest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("generation {generation}, published by {publisher} at {published_at}, {digest}")]
pub struct ManifestHead {
    /// Generation, from 1.
    pub generation: Generation,
    /// Digest of the text.
    pub digest: Digest,
    /// Who published it, by the name of the credential.
    pub publisher: String,
    /// When it was published, by the clock of the node that accepted it.
    #[serde(rename = "published_at_ms")]
    pub published_at: UnixMillis,
}

/// `StoredManifest` is an accepted manifest with its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredManifest {
    /// The accepted manifest.
    pub head: ManifestHead,
    /// The text as it was published.
    pub text: Bytes,
}

/// `Publication` asks for a manifest to be accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Publication {
    /// Generation that the publisher believes to be the head. Zero before the first publication.
    pub expect: Generation,
    /// Name of the publisher's credential.
    pub publisher: String,
    /// The text as it was sent.
    pub text: Bytes,
    /// The manifest that was read from the text.
    pub manifest: Manifest,
}

/// `Published` is the answer to a publication.
#[must_use = "a publication may be in conflict, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublicationOutcome {
    /// The manifest is accepted.
    Accepted(ManifestHead),
    /// Nothing was changed, because the head is another one. `None` is a head never published.
    Conflict(Option<ManifestHead>),
    /// Nothing was changed and nothing will be.
    NotAccepted(String),
    /// The manifest may or may not be accepted, or may still be.
    Unknown(String),
}

/// `Readiness` says whether the node takes requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// The node takes requests.
    Ready,
    /// The node does not take requests, for the given reason.
    NotReady(String),
}

/// `OperatorBackend` is what the operator API needs from the node.
#[async_trait]
pub trait OperatorBackend: Send + Sync + 'static {
    /// Publishes a valid manifest.
    async fn publish(&self, publication: Publication) -> PublicationOutcome;

    /// Reads the head from the platform, or `None` before the first publication.
    async fn head(&self) -> Result<Option<ManifestHead>>;

    /// Reads an accepted manifest from the platform, or `None` when there is no such generation.
    async fn manifest(&self, generation: Generation) -> Result<Option<StoredManifest>>;

    /// Reads at most `limit` accepted manifests from the platform, the newest first.
    async fn history(&self, limit: usize) -> Result<Vec<ManifestHead>>;

    /// Returns this node's view of the deployment. It may ask the other nodes within a short
    /// deadline, but not the platform.
    async fn status(&self) -> StatusReport;

    /// Makes a burn report over all nodes, or `None` while no manifest is in force.
    async fn burn(&self) -> Option<BurnReport>;

    /// Returns whether the node takes requests.
    fn readiness(&self) -> Readiness;
}
