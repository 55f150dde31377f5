//! Reads the load of engines that a node has not called yet.
//!
//! Until an engine has reported the size of its batch, admission control has to assume one. Without
//! these reads a newly started node would refuse bursts that its engines have capacity for.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use tokio::time::timeout;
use verbenahead_manifest::ServiceKind;
use verbenahead_relay::upstream::UpstreamEntry;
use verbenahead_upstream::Engine;

use crate::node::{active_manifest::ManifestView, upstream_directory::UpstreamDirectory};

/// Maximum number of engines that are queried in one round.
const MAX_PER_ROUND: usize = 64;

/// Maximum number of concurrent queries.
const MAX_CONCURRENT: usize = 16;

/// Timeout of one query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// `InitialLoadReader` queries the load of each engine until the engine has reported one.
#[derive(Clone)]
pub struct InitialLoadReader {
    directory: Arc<UpstreamDirectory>,
    manifest: ManifestView,
    engine: Arc<dyn Engine>,
}

impl InitialLoadReader {
    /// Builds a reader of initial loads.
    pub fn new(
        directory: Arc<UpstreamDirectory>,
        manifest: ManifestView,
        engine: Arc<dyn Engine>,
    ) -> Self {
        Self {
            directory,
            manifest,
            engine,
        }
    }

    /// Queries up to `MAX_PER_ROUND` engines that have not reported a load.
    pub async fn read(&self) {
        let unreported = self.unreported();
        stream::iter(unreported)
            .for_each_concurrent(MAX_CONCURRENT, |entry| self.read_one(entry))
            .await;
    }

    fn unreported(&self) -> Vec<Arc<UpstreamEntry>> {
        let Some(active) = self.manifest.current() else {
            return Vec::new();
        };
        let services = active.manifest.services.iter();
        services
            .filter(|service| matches!(service.kind, ServiceKind::Model(_)))
            .flat_map(|service| self.directory.live(&service.id))
            .filter(|entry| !entry.has_report())
            .take(MAX_PER_ROUND)
            .collect()
    }

    async fn read_one(&self, entry: Arc<UpstreamEntry>) {
        match timeout(ANSWER_TIMEOUT, self.engine.load(&entry.address)).await {
            Ok(Ok(report)) => entry.record_load(&report),
            Ok(Err(error)) => {
                tracing::debug!(upstream = %entry.address.upstream, %error, "load not reported");
            }
            Err(_) => tracing::debug!(upstream = %entry.address.upstream, "load not reported"),
        }
    }
}
