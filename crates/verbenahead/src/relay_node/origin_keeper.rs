//! Keeps the origins of open streams in the platform's table while several software versions serve, so that
//! callers can take their streams up after the end of all nodes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until, timeout},
};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId, ServiceId};
use verbenahead_membership::SharedRoster;
use verbenahead_policy::{collector_choice::first_choices, hash::hash_bytes};
use verbenahead_relay::{OriginRows, RouteView, RowChange, StreamOrigins, UpstreamRegistry};
use verbenahead_services::{Version, WriteOutcome};

use crate::relay_node::{
    stream_directory::{StreamDirectory, abandoned_row, origins_row},
    stream_keeper::stream_periods,
};

/// Time after which is looked for changes that nothing tells of.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two messages to the writers.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest time between the writes of the first writer of a zone.
const FIRST_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between the writes of another writer, which is there in case the first one is not.
const WRITE_INTERVAL: Duration = Duration::from_millis(600);

/// Pause after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Most rows that are written at once.
const MAX_CHANGES: usize = 8;

/// Time for which callers go on taking up a stream that has lasted for as long as it may.
const TAKE_UP_MARGIN: Duration = Duration::from_secs(10);

/// Time for which origins are kept while no route is known.
const DEFAULT_PERIOD: Duration = Duration::from_secs(600);

/// Shortest time between two reads for streams that no node knows.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks for rows whose writers are gone.
const CLEAN_INTERVAL: Duration = Duration::from_secs(30);

/// Most abandoned rows that are deleted at once.
const MAX_DELETED: usize = 64;

/// `OriginKeeperParts` are what the keeper reads and updates.
pub struct OriginKeeperParts {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
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
}

/// Hands over, writes, reads and cleans up until the process ends.
pub async fn run(parts: OriginKeeperParts) {
    let restores = parts.restores.clone();
    let keeper = OriginKeeper {
        parts,
        rows: Mutex::default(),
        added: Notify::new(),
    };
    tokio::join!(
        keeper.hand_over(),
        keeper.write(restores),
        keeper.read(),
        keeper.clean(),
    );
}

struct OriginKeeper {
    parts: OriginKeeperParts,
    rows: Mutex<OriginRows>,
    /// Tells that origins were added to the rows.
    added: Notify,
}

impl OriginKeeper {
    /// Hands the origins of open streams to the writers of the zone, and takes in those that this node writes.
    async fn hand_over(&self) {
        let OriginKeeperParts {
            origins, registry, ..
        } = &self.parts;
        let is_mixed = |service: &ServiceId, period| {
            let versions = registry.recent_versions(service, period);
            versions.len() > 1
        };
        loop {
            // A second version is told by the registry, not by a stream.
            let _ = timeout(STEP_INTERVAL, origins.opened()).await;
            origins.hand_over(&self.parts.zone, is_mixed);
            let received = origins.take_received();
            if !received.is_empty() {
                self.lock().add(&received);
                self.added.notify_one();
            }
            self.expire();
            sleep(HAND_OVER_INTERVAL).await;
        }
    }

    /// Drops the rows whose streams have ended.
    fn expire(&self) {
        let mut rows = self.lock();
        if !rows.is_empty() {
            rows.expire(self.period());
        }
    }

    /// Writes what changed in the rows.
    async fn write(&self, mut restores: watch::Receiver<u64>) {
        loop {
            let began = Instant::now();
            if restores.has_changed().unwrap_or(false) {
                restores.mark_unchanged();
                self.lock().mark_unwritten();
            }
            let is_written = self.write_changes().await;
            let interval = match is_written {
                None => {
                    let _ = timeout(STEP_INTERVAL, self.added.notified()).await;
                    continue;
                }
                Some(false) => RETRY_DELAY,
                Some(true) if self.is_first_writer() => FIRST_WRITE_INTERVAL,
                Some(true) => WRITE_INTERVAL,
            };
            sleep_until(began + interval).await;
        }
    }

    /// Writes changes to rows in one transaction. Returns whether the table has them, or `None` if there were
    /// none.
    async fn write_changes(&self) -> Option<bool> {
        let changes = self.lock().changes(MAX_CHANGES);
        if changes.is_empty() {
            return None;
        }
        let OriginKeeperParts {
            node, incarnation, ..
        } = &self.parts;
        let write = |change: &RowChange| origins_row(node, *incarnation, change);
        let writes = changes.iter().map(write).collect();
        let outcome = self.parts.directory.write(writes).await;
        let is_written = matches!(outcome, WriteOutcome::Done(_));
        let mut rows = self.lock();
        if is_written {
            rows.confirm(&changes);
        } else {
            let origins = rows.origin_count();
            tracing::info!(%node, changes = changes.len(), origins, ?outcome, "origins of streams not saved");
        }
        Some(is_written)
    }

    /// Reads the table for streams that no node knows.
    async fn read(&self) {
        let origins = &self.parts.origins;
        let mut wanted = origins.reads_wanted();
        while wanted.changed().await.is_ok() {
            let began = Instant::now();
            let number = *wanted.borrow_and_update();
            match self.parts.directory.read().await {
                Ok(saved) => {
                    let (rows, count) = (saved.origin_rows.len(), saved.origins.len());
                    tracing::info!(rows, origins = count, "saved streams read again");
                    origins.load(saved.origins);
                    origins.set_read(number);
                }
                Err(error) => tracing::info!(%error, "saved streams not read again"),
            }
            sleep_until(began + READ_INTERVAL).await;
        }
    }

    /// Deletes rows that their writers have left behind. Only one node does so at a time.
    async fn clean(&self) {
        let mut unchanged: BTreeMap<String, (Version, Instant)> = BTreeMap::new();
        let mut is_clean = false;
        loop {
            sleep(CLEAN_INTERVAL).await;
            if !self.cleans() || (is_clean && !self.is_any_service_mixed()) {
                unchanged.clear();
                is_clean &= self.cleans();
                continue;
            }
            let saved = match self.parts.directory.read().await {
                Ok(saved) => saved,
                Err(error) => {
                    tracing::info!(%error, "saved streams not read to delete old ones");
                    continue;
                }
            };
            is_clean = saved.origin_rows.is_empty();
            unchanged.retain(|key, (version, _)| saved.origin_rows.get(key) == Some(version));
            for (key, version) in saved.origin_rows {
                unchanged
                    .entry(key)
                    .or_insert_with(|| (version, Instant::now()));
            }
            let period = self.period();
            let abandoned = unchanged
                .iter()
                .filter(|(_, (_, since))| since.elapsed() >= period);
            let abandoned: Vec<_> = abandoned
                .map(|(key, (version, _))| (key, *version))
                .collect();
            for rows in abandoned.chunks(MAX_DELETED) {
                let writes = rows
                    .iter()
                    .map(|(key, version)| abandoned_row(key, *version));
                let outcome = self.parts.directory.write(writes.collect()).await;
                tracing::info!(
                    rows = rows.len(),
                    ?outcome,
                    "old origins of streams deleted"
                );
            }
        }
    }

    fn cleans(&self) -> bool {
        let roster = self.parts.roster.lock();
        let own = &self.parts.node;
        let others = roster.serving_nodes().filter(|node| *node != own);
        let key = hash_bytes(0, b"old origins of streams");
        first_choices(key, others.chain([own]), 1).contains(&own)
    }

    fn is_any_service_mixed(&self) -> bool {
        let mut periods = stream_periods(&self.parts.routes).into_iter();
        periods.any(|(service, period)| {
            let versions = self.parts.registry.recent_versions(&service, period);
            versions.len() > 1
        })
    }

    fn is_first_writer(&self) -> bool {
        let writers = self.parts.origins.writers(&self.parts.zone);
        writers.own_rank == Some(0)
    }

    /// Returns the time for which an origin is kept.
    fn period(&self) -> Duration {
        let periods = stream_periods(&self.parts.routes);
        let longest = periods.into_values().max().unwrap_or(DEFAULT_PERIOD);
        longest + TAKE_UP_MARGIN
    }

    fn lock(&self) -> MutexGuard<'_, OriginRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
