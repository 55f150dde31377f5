//! First load reports of engines that a node has not called yet.
//!
//! Until an engine has told the size of its batch, admission can only assume one. A node that has
//! just started would otherwise refuse a burst that its engines have room for.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use tokio::time::timeout;
use verbenahead_manifest::ServiceKind;
use verbenahead_relay::upstream::UpstreamEntry;
use verbenahead_upstream::Engine;

use crate::node::{active_manifest::ManifestView, upstream_directory::UpstreamDirectory};

/// Most engines that are asked in one round.
const MAX_PER_ROUND: usize = 64;

/// Most engines that are asked at the same time.
const MAX_CONCURRENT: usize = 16;

/// Longest time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// `FirstLoads` asks engines for their load until they have reported one.
#[derive(Clone)]
pub struct InitialLoadReader {
    directory: Arc<UpstreamDirectory>,
    manifest: ManifestView,
    engine: Arc<dyn Engine>,
}

impl InitialLoadReader {
    /// Builds the reader of first loads.
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

    /// Asks some engines that have not reported a load.
    pub async fn read(&self) {
        let unknown = self.unknown();
        stream::iter(unknown)
            .for_each_concurrent(MAX_CONCURRENT, |entry| self.read_one(entry))
            .await;
    }

    fn unknown(&self) -> Vec<Arc<UpstreamEntry>> {
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
                tracing::debug!(upstream = %entry.address.upstream, %error, "no load was told");
            }
            Err(_) => tracing::debug!(upstream = %entry.address.upstream, "no load was told"),
        }
    }
}
