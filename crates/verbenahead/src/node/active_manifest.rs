//! The manifest that a node has in force.

use std::sync::Arc;

use tokio::sync::watch;
use verbenahead_core::Generation;
use verbenahead_manifest::Manifest;
use verbenahead_state::{AppliedManifest, InForce};

/// `ActiveManifest` is a manifest with the generation under which it was accepted.
pub type ActiveManifest = AppliedManifest<Manifest>;

/// `ManifestView` reads the manifest that is in force at present.
#[derive(Debug, Clone, Default)]
pub struct ManifestView(Arc<InForce<Manifest>>);

impl ManifestView {
    /// Builds a view of a holder.
    pub fn new(in_force: Arc<InForce<Manifest>>) -> Self {
        Self(in_force)
    }

    /// Returns the manifest in force, if there is one.
    pub fn current(&self) -> Option<ActiveManifest> {
        self.0.get()
    }

    /// Returns the generation in force; zero when there is none.
    pub fn generation(&self) -> Generation {
        self.0.generation()
    }

    /// Follows the manifest in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<ActiveManifest>> {
        self.0.subscribe()
    }
}
