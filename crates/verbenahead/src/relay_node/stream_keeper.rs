//! Keeps in the platform's table what must be known about streams when all nodes have ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use verbenahead_core::{NodeId, ServiceId};
use verbenahead_membership::{NameKey, SharedRoster};
use verbenahead_policy::{collector_choice::first_choices, hash::hash_bytes};
use verbenahead_relay::{RouteView, ServedVersion, StreamOrigins, UpstreamRegistry};
use verbenahead_services::{Write, WriteOutcome};

use crate::relay_node::{
    restore_settling::RestoreSettling,
    stream_directory::{StreamDirectory, versions_row},
};

/// Time between two steps, and so between two writes.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Pause before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time after its start in which a node does not write which versions serve, so that nodes that start
/// together know each other by then.
const START_DELAY: Duration = Duration::from_millis(500);

/// Number of nodes that write which versions serve. Each writes a change once.
const VERSION_WRITERS: usize = 2;

/// `StreamKeeperParts` are what the keeper reads and updates.
pub struct StreamKeeperParts {
    /// Id of the node.
    pub node: NodeId,
    /// Rows of the table.
    pub directory: StreamDirectory,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Origins of streams.
    pub origins: Arc<StreamOrigins>,
    /// Routes in force.
    pub routes: RouteView,
    /// Number of times that the store came back from an older copy.
    pub restores: watch::Receiver<u64>,
    /// Age of the last restore of the store.
    pub settling: RestoreSettling,
}

/// Reads the table, then writes what changes until the process ends.
pub async fn run(parts: StreamKeeperParts) {
    let started_at = Instant::now();
    let written = load(&parts).await;
    let mut keeper = StreamKeeper { parts, written };
    loop {
        sleep(STEP_INTERVAL).await;
        if started_at.elapsed() >= START_DELAY {
            keeper.step().await;
        }
    }
}

/// Applies what the table holds. Returns the software versions in it.
async fn load(parts: &StreamKeeperParts) -> Option<BTreeSet<ServedVersion>> {
    let saved = loop {
        match parts.directory.read().await {
            Ok(saved) => break saved,
            Err(error) => tracing::info!(%error, "saved streams not read"),
        }
        sleep(RETRY_DELAY).await;
    };
    let versions = saved.versions;
    let served: Option<Vec<_>> = versions.as_ref().map(|v| v.iter().copied().collect());
    let (rows, origins) = (saved.origin_rows.len(), saved.origins.len());
    tracing::info!(versions = ?served, rows, origins, "saved streams read");
    parts.origins.load(saved.origins);
    // A version may be missing whose first replica registered after the copy was made. Until it is known again, the
    // other version is not taken for the only one.
    parts.settling.wait().await;
    parts.registry.load_versions(served.as_deref());
    versions
}

struct StreamKeeper {
    parts: StreamKeeperParts,
    /// Software versions in the table as far as this node knows.
    written: Option<BTreeSet<ServedVersion>>,
}

impl StreamKeeper {
    /// Writes what changed since the last step.
    async fn step(&mut self) {
        if self.parts.restores.has_changed().unwrap_or(false) {
            self.parts.restores.mark_unchanged();
            self.written = None;
        }
        let versions = self.changed_versions();
        let rows: Vec<Write> = versions.as_ref().map(versions_row).into_iter().collect();
        if rows.is_empty() {
            return;
        }
        match self.parts.directory.write(rows).await {
            WriteOutcome::Done(_) => {
                tracing::info!(node = %self.parts.node, ?versions, "software versions saved");
                self.written = versions;
            }
            outcome => tracing::info!(?versions, ?outcome, "software versions not saved"),
        }
    }

    /// Returns the versions that served lately, if this node is to write them and they changed.
    fn changed_versions(&mut self) -> Option<BTreeSet<ServedVersion>> {
        if !self.writes_versions() {
            // The nodes that do may have written other versions since.
            self.written = None;
            return None;
        }
        let versions = self.served_versions();
        let is_changed = !versions.is_empty() && self.written.as_ref() != Some(&versions);
        is_changed.then_some(versions)
    }

    fn writes_versions(&self) -> bool {
        let roster = self.parts.roster.lock();
        let own = &self.parts.node;
        let others = roster.serving_nodes().filter(|node| *node != own);
        let key = hash_bytes(0, b"software versions");
        first_choices(key, others.chain([own]), VERSION_WRITERS).contains(&own)
    }

    /// Returns the versions that served for as long as streams may last.
    fn served_versions(&self) -> BTreeSet<ServedVersion> {
        let periods = stream_periods(&self.parts.routes);
        let served = periods.into_iter().flat_map(|(service, period)| {
            let versions = self.parts.registry.recent_versions(&service, period);
            let service = NameKey::from(&service);
            versions
                .into_iter()
                .map(move |version| ServedVersion { service, version })
        });
        served.collect()
    }
}

/// Returns the longest timeout of the routes of each service whose streams callers can take up.
pub(super) fn stream_periods(routes: &RouteView) -> BTreeMap<ServiceId, Duration> {
    let mut periods = BTreeMap::new();
    let routes = routes.borrow().clone();
    for route in routes.iter().flat_map(|routes| routes.routes()) {
        if !(route.retry_safety.is_stream() && route.retry_safety.is_repeatable()) {
            continue;
        }
        for target in &route.targets {
            let period: &mut Duration = periods.entry(target.service.clone()).or_default();
            *period = route.timeout.max(*period);
        }
    }
    periods
}
