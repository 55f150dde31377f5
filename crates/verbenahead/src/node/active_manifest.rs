//! The manifest that a node has in force.

use std::sync::Arc;

use tokio::sync::watch;
use verbenahead_core::{Digest, Generation};
use verbenahead_manifest::Manifest;

/// `ActiveManifest` is a manifest with its generation.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveManifest {
    /// Generation under which the manifest was accepted.
    pub generation: Generation,
    /// Digest of the manifest's text.
    pub digest: Digest,
    /// The manifest.
    pub manifest: Manifest,
}

/// `ManifestView` reads the manifest that is in force at present.
#[derive(Debug, Clone)]
pub struct ManifestView(watch::Receiver<Option<Arc<ActiveManifest>>>);

impl ManifestView {
    /// Builds a view of the value that the channel holds.
    pub fn new(rx: watch::Receiver<Option<Arc<ActiveManifest>>>) -> Self {
        Self(rx)
    }

    /// Returns the manifest in force, if there is one.
    pub fn current(&self) -> Option<Arc<ActiveManifest>> {
        self.0.borrow().clone()
    }

    /// Returns the generation in force; zero when there is none.
    pub fn generation(&self) -> Generation {
        self.0
            .borrow()
            .as_ref()
            .map_or(Generation::default(), |active| active.generation)
    }
}
