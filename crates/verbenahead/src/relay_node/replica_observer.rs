//! Keeps the registry of replicas up to date.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{HashMap, HashSet, UpstreamId};
use verbenahead_relay::{RegistryChange, UpstreamRegistry};
use verbenahead_services::{Error, FeedRow, ReplicaRecord, Result, Snapshot};
use verbenahead_state::follower::TableObserver;

/// Time after a node has noticed the return of the platform in which registrations that lapsed
/// meanwhile come back. They are back within about 2 s of the return, which a node notices some
/// tenths of a second later, and at most 1.1 s later. A replica that left during an outage of the
/// node alone is missing too, and promises hold again 3 s after the return.
const LAPSE_GRACE: Duration = Duration::from_millis(1_800);

/// `ReadRegistration` reads the registration of a replica from its key and value.
pub type ReadRegistration = fn(&str, &[u8]) -> Result<ReplicaRecord>;

/// `ReplicaObserver` takes in the registrations of replicas.
///
/// Registrations lapse while the platform is away. Those that are missing when it returns stay in
/// use until the replicas have had time to register again.
pub struct ReplicaObserver {
    read: ReadRegistration,
    registry: Arc<UpstreamRegistry>,
    /// Rows that cannot be read, so that each is logged once per version.
    unreadable: HashMap<String, u64>,
    /// Registrations that are missing since the platform returned.
    missing: HashSet<UpstreamId>,
    is_lost: bool,
    grace_until: Option<Instant>,
}

impl ReplicaObserver {
    /// Builds an observer that fills `registry`.
    pub fn new(read: ReadRegistration, registry: Arc<UpstreamRegistry>) -> Self {
        Self {
            read,
            registry,
            unreadable: HashMap::default(),
            missing: HashSet::default(),
            is_lost: false,
            grace_until: None,
        }
    }

    fn take_in(&mut self, row: &FeedRow) {
        match &row.value {
            Some(value) => self.register(row, value),
            None => self.miss(&row.key),
        }
    }

    fn register(&mut self, row: &FeedRow, value: &[u8]) {
        let record = match (self.read)(&row.key, value) {
            Ok(record) => record,
            Err(error) => {
                self.log_unreadable(row, &error);
                self.miss(&row.key);
                return;
            }
        };
        self.missing.remove(&record.id);
        let change = self.registry.apply(&record);
        if change != RegistryChange::None {
            log_change(&record, row, change);
        }
    }

    fn log_unreadable(&mut self, row: &FeedRow, error: &Error) {
        let before = self.unreadable.insert(row.key.clone(), row.version.0);
        if before.is_none() {
            tracing::warn!(
                key = row.key,
                version = row.version.0,
                %error,
                "registration names no replica",
            );
        }
    }

    fn miss(&mut self, key: &str) {
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
        let listed: HashSet<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        for entry in self.registry.all() {
            let id = entry.address.upstream.as_str();
            if !listed.contains(id) {
                self.miss(id);
            }
        }
        for row in &snapshot.rows {
            self.take_in(row);
        }
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        for row in &rows {
            self.take_in(row);
        }
    }

    fn on_unavailable(&mut self, error: &Error) {
        self.is_lost = true;
        tracing::warn!(dependency = "store", table = "replicas", %error, "dependency lost");
    }

    fn on_available(&mut self) {
        self.is_lost = false;
        self.grace_until = Some(Instant::now() + LAPSE_GRACE);
        tracing::info!(
            dependency = "store",
            table = "replicas",
            "dependency regained"
        );
    }

    fn deadline(&self) -> Option<Instant> {
        self.grace_until.filter(|_| !self.is_lost)
    }

    fn on_deadline(&mut self) {
        self.grace_until = None;
        for id in std::mem::take(&mut self.missing) {
            self.remove(&id, "registration did not come back");
        }
    }
}
