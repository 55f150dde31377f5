//! Who published the manifest in force, as the platform's table has it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::sleep};
use verbenahead_core::Generation;
use verbenahead_state::ManifestStore;

use crate::{node::active_manifest::ManifestView, operators::ManifestHead};

/// Pause before a row that could not be read is asked for again.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

/// `KnownHead` holds the accepted manifest with the generation in force. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct KnownHead(Arc<Mutex<Option<ManifestHead>>>);

impl KnownHead {
    /// Returns the accepted manifest, once its row was read.
    pub fn get(&self) -> Option<ManifestHead> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn set(&self, head: ManifestHead) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(head);
    }

    /// Reads the row of each generation that comes in force, until `stop` closes. Status reports
    /// so never wait for the table.
    pub async fn follow(
        self,
        store: ManifestStore,
        manifest: ManifestView,
        mut stop: watch::Receiver<()>,
    ) {
        let mut manifests = manifest.subscribe();
        manifests.mark_changed();
        loop {
            tokio::select! {
                Ok(()) = manifests.changed() => {}
                _ = stop.changed() => return,
            }
            let active = manifests.borrow_and_update().clone();
            let Some(active) = active else { continue };
            if !self.read(&store, active.generation).await {
                sleep(RETRY_PAUSE).await;
                manifests.mark_changed();
            }
        }
    }

    async fn read(&self, store: &ManifestStore, generation: Generation) -> bool {
        match store.generation(generation).await {
            Ok(Some(head)) => {
                self.set(head.into());
                true
            }
            Ok(None) => true,
            Err(error) => {
                tracing::debug!(%error, "the row of the manifest in force was not read");
                false
            }
        }
    }
}
