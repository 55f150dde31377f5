//! Access to the manifest that is in force on a node.

use std::sync::Arc;

use tokio::sync::watch;
use verbenahead_core::Generation;
use verbenahead_manifest::Manifest;
use verbenahead_state::{AppliedManifest, InForce};

/// `ActiveManifest` is a manifest together with the generation and digest of its publication.
pub type ActiveManifest = AppliedManifest<Manifest>;

/// `ManifestView` provides read access to the manifest in force. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ManifestView(Arc<InForce<Manifest>>);

impl ManifestView {
    /// Creates a view of `in_force`.
    pub fn new(in_force: Arc<InForce<Manifest>>) -> Self {
        Self(in_force)
    }

    /// Returns the manifest in force, if there is one.
    pub fn current(&self) -> Option<ActiveManifest> {
        self.0.get()
    }

    /// Returns the generation in force, or zero when there is none.
    pub fn generation(&self) -> Generation {
        self.0.generation()
    }

    /// Subscribes to changes of the manifest in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<ActiveManifest>> {
        self.0.subscribe()
    }
}
