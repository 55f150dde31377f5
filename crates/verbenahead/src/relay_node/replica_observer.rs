//! Keeps the registry of replicas in step with their registrations in the platform's table.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{HashSet, UpstreamId};
use verbenahead_relay::{RegistryChange, UpstreamRegistry};
use verbenahead_services::{Error, FeedRow, ReplicaRecord, Result, Snapshot};
use verbenahead_state::follower::TableObserver;

/// Time after the platform answers a node again in which a replica whose registration expired
/// during the outage stays in use. Replicas register again within about 2 s of the end of an
/// outage. A node notices the end some tenths of a second later, 1.1 s at most. The time must not
/// be longer: a replica that stopped while only this node was cut off is missing too, and the
/// promised limits apply again 3 s after the end of the outage.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_800);

/// Most keys of unreadable rows that are kept. Further ones are not logged.
const MAX_UNREADABLE_KEYS: usize = 1_000;

/// `ReadRegistration` decodes the registration of a replica from its key and value.
pub type ReadRegistration = fn(&str, &[u8]) -> Result<ReplicaRecord>;

/// `ReplicaObserver` applies the registrations of replicas to the registry.
///
/// Registrations expire during an outage of the platform, because replicas cannot renew them.
/// Replicas whose registrations are missing after an outage stay in use until they have had time to
/// register again.
pub struct ReplicaObserver {
    read: ReadRegistration,
    registry: Arc<UpstreamRegistry>,
    /// Keys of rows that cannot be decoded. Each key is logged once, and again when its row was sound meanwhile.
    unreadable: HashSet<String>,
    /// Replicas whose registrations are missing since the end of the outage.
    missing: HashSet<UpstreamId>,
    is_store_unavailable: bool,
    grace_until: Option<Instant>,
}

impl ReplicaObserver {
    /// Builds an observer that fills `registry`.
    pub fn new(read: ReadRegistration, registry: Arc<UpstreamRegistry>) -> Self {
        Self {
            read,
            registry,
            unreadable: HashSet::default(),
            missing: HashSet::default(),
            is_store_unavailable: false,
            grace_until: None,
        }
    }

    fn apply_row(&mut self, row: &FeedRow) {
        match &row.value {
            Some(value) => self.register(row, value),
            None => {
                self.unreadable.remove(&row.key);
                self.handle_missing(&row.key);
            }
        }
    }

    fn register(&mut self, row: &FeedRow, value: &[u8]) {
        let record = match (self.read)(&row.key, value) {
            Ok(record) => record,
            Err(error) => {
                self.log_unreadable(row, &error);
                self.handle_missing(&row.key);
                return;
            }
        };
        self.unreadable.remove(&row.key);
        self.missing.remove(&record.id);
        let change = self.registry.apply(&record);
        if change != RegistryChange::None {
            log_change(&record, row, change);
        }
    }

    /// Returns whether a row of a restored table is that of a replica which was removed before the
    /// restore. A replica that runs writes its row again.
    fn is_removed(&self, row: &FeedRow) -> bool {
        let value = row.value.as_ref();
        let record = value.and_then(|value| (self.read)(&row.key, value).ok());
        let is_removed = record.is_some_and(|record| self.registry.was_removed(&record));
        if is_removed {
            let version = row.version.0;
            tracing::info!(
                key = row.key,
                version,
                "registration of a removed replica came back"
            );
        }
        is_removed
    }

    fn log_unreadable(&mut self, row: &FeedRow, error: &Error) {
        if self.unreadable.len() >= MAX_UNREADABLE_KEYS || !self.unreadable.insert(row.key.clone())
        {
            return;
        }
        tracing::warn!(
            key = row.key,
            version = row.version.0,
            %error,
            keys = self.unreadable.len(),
            "registration names no replica",
        );
    }

    /// Removes the replica, or marks it as missing while it may register again.
    fn handle_missing(&mut self, key: &str) {
        let Ok(id) = UpstreamId::try_new(key) else {
            return;
        };
        if self.registry.get(&id).is_none() {
            return;
        }
        if self.grace_until.is_some() {
            self.missing.insert(id);
        } else {
            self.remove(&id, "registration gone");
        }
    }

    fn remove(&self, id: &UpstreamId, reason: &str) {
        if self.registry.remove(id) == RegistryChange::Removed {
            tracing::info!(upstream = %id, reason, "replica removed");
        }
    }
}

fn log_change(record: &ReplicaRecord, row: &FeedRow, change: RegistryChange) {
    tracing::info!(
        upstream = %record.id,
        service = %record.service,
        software = %record.software,
        zone = %record.zone,
        address = %record.address,
        market = %record.market,
        state = ?record.state,
        version = row.version.0,
        ?change,
        "replica registered",
    );
}

impl TableObserver for ReplicaObserver {
    fn on_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.is_restored {
            // Replicas write the registrations again that the restored table lacks.
            self.grace_until = Some(Instant::now() + EXPIRY_GRACE);
        }
        let listed: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        for entry in self.registry.all() {
            let id = entry.address.upstream.as_str();
            if !listed.contains(id) {
                self.handle_missing(id);
            }
        }
        self.unreadable.retain(|key| listed.contains(key.as_str()));
        for row in &snapshot.rows {
            if !(snapshot.is_restored && self.is_removed(row)) {
                self.apply_row(row);
            }
        }
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        for row in &rows {
            self.apply_row(row);
        }
    }

    fn on_unavailable(&mut self, error: &Error) {
        self.is_store_unavailable = true;
        tracing::warn!(dependency = "store", table = "replicas", %error, "dependency lost");
    }

    fn on_available(&mut self) {
        self.is_store_unavailable = false;
        self.grace_until = Some(Instant::now() + EXPIRY_GRACE);
        tracing::info!(
            dependency = "store",
            table = "replicas",
            "dependency regained"
        );
    }

    fn deadline(&self) -> Option<Instant> {
        self.grace_until.filter(|_| !self.is_store_unavailable)
    }

    fn on_deadline(&mut self) {
        self.grace_until = None;
        for id in std::mem::take(&mut self.missing) {
            self.remove(&id, "registration did not come back");
        }
    }
}
