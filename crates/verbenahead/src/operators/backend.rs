//! The interface between the operator API and the node.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead_core::{Digest, Generation, time::UnixMillis};
use verbenahead_manifest::Manifest;

use crate::burn::BurnReport;

use super::{errors::Result, status::StatusReport};

/// `ManifestHead` describes an accepted manifest without its text.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("generation {generation}, published by {publisher} at {published_at}, {digest}")]
pub struct ManifestHead {
    /// Generation, starting at 1.
    pub generation: Generation,
    /// Digest of the manifest text.
    pub digest: Digest,
    /// Name of the publisher's credential.
    pub publisher: String,
    /// Time of publication by the clock of the node that accepted it.
    #[serde(rename = "published_at_ms")]
    pub published_at: UnixMillis,
}

/// `StoredManifest` is an accepted manifest with its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredManifest {
    /// Description of the manifest.
    pub head: ManifestHead,
    /// Text exactly as published.
    pub text: Bytes,
}

/// `Publication` is a request to make a manifest the head.
#[derive(Debug, Clone, PartialEq)]
pub struct Publication {
    /// Generation that the publisher expects to be the head; zero before the first publication.
    pub expect: Generation,
    /// Name of the publisher's credential.
    pub publisher: String,
    /// Text exactly as received.
    pub text: Bytes,
    /// Manifest parsed from the text.
    pub manifest: Manifest,
}

/// `PublicationOutcome` is the result of a publication.
#[must_use = "a publication may be in conflict, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublicationOutcome {
    /// The manifest was accepted.
    Accepted(ManifestHead),
    /// Nothing changed, because the head is not the expected generation. Holds the actual head, or
    /// `None` before the first publication.
    Conflict(Option<ManifestHead>),
    /// Nothing changed, and this publication will not take effect later.
    NotAccepted(String),
    /// It is unknown whether the manifest was accepted; it may still be accepted later.
    Unknown(String),
}

/// `Readiness` tells whether the node accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// The node accepts requests.
    Ready,
    /// The node does not accept requests, for the given reason.
    NotReady(String),
}

/// `OperatorBackend` provides the operator API with the state and operations of the node.
#[async_trait]
pub trait OperatorBackend: Send + Sync + 'static {
    /// Publishes a valid manifest.
    async fn publish(&self, publication: Publication) -> PublicationOutcome;

    /// Reads the head from the platform, or `None` before the first publication.
    async fn head(&self) -> Result<Option<ManifestHead>>;

    /// Reads an accepted manifest from the platform, or `None` when there is no such generation.
    async fn manifest(&self, generation: Generation) -> Result<Option<StoredManifest>>;

    /// Reads at most `limit` accepted manifests from the platform, newest first.
    async fn history(&self, limit: usize) -> Result<Vec<ManifestHead>>;

    /// Returns this node's view of the deployment. May query the other nodes within a short deadline,
    /// but not the platform.
    async fn status(&self) -> StatusReport;

    /// Builds a burn report over all nodes, or returns `None` while no manifest is in force.
    async fn burn(&self) -> Option<BurnReport>;

    /// Returns whether the node accepts requests.
    fn readiness(&self) -> Readiness;
}
