//! Caches the head row of the manifest in force, which names its publisher.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::sleep};
use verbenahead_core::Generation;
use verbenahead_state::ManifestStore;

use crate::{node::active_manifest::ManifestView, operators::ManifestHead};

/// Delay before a row that could not be read is read again.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// `ManifestHeadCache` caches the head row of the generation in force. Clones share the cache.
#[derive(Debug, Clone, Default)]
pub struct ManifestHeadCache(Arc<Mutex<Option<ManifestHead>>>);

impl ManifestHeadCache {
    /// Returns the cached row, or `None` when none has been read yet.
    pub fn get(&self) -> Option<ManifestHead> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn set(&self, head: ManifestHead) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(head);
    }

    /// Reads the row of each generation that comes in force, until `stop` closes.
    ///
    /// Status reports read the cache and so never wait for the table.
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
                sleep(RETRY_DELAY).await;
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
                tracing::debug!(%error, "cannot read the row of the manifest in force");
                false
            }
        }
    }
}
