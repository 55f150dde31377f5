//! Registry of the replicas that are registered with the platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard,
    },
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    time::{Instant, timeout},
};
use verbenahead_core::{HashMap, Incarnation, ServiceId, UpstreamId};
use verbenahead_membership::NameKey;
use verbenahead_policy::{LoadOptions, PrefillRateEstimator, PrefillRateOptions};
use verbenahead_services::{ReplicaRecord, ReplicaState};
use verbenahead_upstream::UpstreamAddress;

use crate::{
    service_outcomes::ServiceOutcomes,
    upstream::{
        DEFAULT_REMAINING, SharedBrittleness, SharedCallTime, SharedPrefillRate, UpstreamEntry,
        UpstreamProfile, UpstreamStatus,
    },
    version_history::{ServedVersion, VersionHistory},
};

/// Time for which a removed incarnation is remembered. Its registration may come back from a copy of
/// the table that is some seconds old.
const REMOVED_MEMORY: Duration = Duration::from_secs(300);

/// `RegistryChange` is the effect of a registration on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// No relevant change.
    None,
    /// A replica, or a new incarnation of one, was added.
    Added,
    /// A replica began to leave.
    Leaving,
    /// A replica was removed.
    Removed,
}

/// `UpstreamRegistry` holds the replicas that are registered with the platform.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    /// Ordered by id, so that all nodes list the same replicas in the same order.
    entries: RwLock<BTreeMap<UpstreamId, Arc<UpstreamEntry>>>,
    prefill_rates: Mutex<HashMap<ServiceId, Arc<SharedPrefillRate>>>,
    brittleness: Mutex<HashMap<ServiceId, Arc<SharedBrittleness>>>,
    call_times: Mutex<HashMap<ServiceId, Arc<SharedCallTime>>>,
    outcomes: Mutex<HashMap<ServiceId, Arc<ServiceOutcomes>>>,
    /// Receiver of the failures of replicas, which is set before the first registration.
    failures: OnceLock<mpsc::Sender<NameKey>>,
    removed: Mutex<HashMap<UpstreamId, RemovedReplica>>,
    versions: Mutex<VersionHistory>,
    /// Whether the store has told the versions that served before this node started, or that it has none.
    is_history_read: watch::Sender<bool>,
}

/// `RemovedReplica` is the last incarnation of a replica that was removed.
#[derive(Debug, Clone, Copy)]
struct RemovedReplica {
    incarnation: Incarnation,
    /// Whether it was leaving.
    was_leaving: bool,
    removed_at: Instant,
}

impl UpstreamRegistry {
    /// Sets the receiver of the keys of replicas that fail requests. It applies to replicas that are
    /// registered afterwards, and the first one that is set stays.
    pub fn pass_failures_on(&self, failures: mpsc::Sender<NameKey>) {
        if self.failures.set(failures).is_err() {
            tracing::warn!("receiver of failures of replicas is set already");
        }
    }

    /// Applies a registration. A new incarnation replaces the earlier one, whose state is
    /// discarded.
    pub fn apply(&self, record: &ReplicaRecord) -> RegistryChange {
        let mut entries = self.write();
        let profile = profile(record);
        let known = entries
            .get(&record.id)
            .filter(|known| known.address == profile.address && known.service == profile.service);
        let (entry, is_new) = match known {
            Some(known) => (Arc::clone(known), false),
            None => {
                let entry = Arc::new(self.new_entry(profile));
                if let Some(previous) = entries.insert(record.id.clone(), Arc::clone(&entry)) {
                    self.remember_version(&previous);
                    // The process may serve its runs for a while, unless another one has its address.
                    match previous.address.address == entry.address.address {
                        true => previous.mark_gone(),
                        false => {
                            previous.mark_leaving(DEFAULT_REMAINING);
                        }
                    }
                }
                (entry, true)
            }
        };
        let is_leaving = match record.state {
            ReplicaState::Ready if is_new && self.has_left(record) => {
                entry.mark_leaving(DEFAULT_REMAINING)
            }
            ReplicaState::Ready => false,
            ReplicaState::Leaving { remaining } => {
                entry.mark_leaving(remaining.unwrap_or(DEFAULT_REMAINING))
            }
        };
        match (is_leaving, is_new) {
            (true, _) => RegistryChange::Leaving,
            (false, true) => RegistryChange::Added,
            (false, false) => RegistryChange::None,
        }
    }

    fn new_entry(&self, profile: UpstreamProfile) -> UpstreamEntry {
        let mut options = LoadOptions::default();
        options.batch_limit = profile.slots.unwrap_or(options.batch_limit);
        let rate = self.prefill_rate(&profile.service);
        let mut brittleness = self
            .brittleness
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let shared = Arc::clone(brittleness.entry(profile.service.clone()).or_default());
        let mut call_times = self
            .call_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let call_time = Arc::clone(call_times.entry(profile.service.clone()).or_default());
        let outcomes = self.outcomes(&profile.service);
        UpstreamEntry::with_options(profile, options, Some(rate))
            .with_brittleness(shared)
            .with_call_time(call_time)
            .with_outcomes(outcomes)
    }

    fn outcomes(&self, service: &ServiceId) -> Arc<ServiceOutcomes> {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let of_service = outcomes.entry(service.clone()).or_insert_with(|| {
            let failures = self.failures.get().cloned();
            Arc::new(ServiceOutcomes::new(failures))
        });
        Arc::clone(of_service)
    }

    /// Returns the estimated prefill rate of the replicas of a service.
    pub fn prefill_rate(&self, service: &ServiceId) -> Arc<SharedPrefillRate> {
        let mut rates = self
            .prefill_rates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let rate = rates.entry(service.clone()).or_insert_with(|| {
            let estimator = PrefillRateEstimator::new(PrefillRateOptions::default());
            Arc::new(SharedPrefillRate::new(estimator))
        });
        Arc::clone(rate)
    }

    /// Removes a replica whose registration is gone. Some replicas announce their end only so, and serve on
    /// for a while; a replica that crashed serves nothing anyway.
    pub fn remove(&self, id: &UpstreamId) -> RegistryChange {
        match self.write().remove(id) {
            Some(entry) => {
                self.remember_removed(&entry);
                entry.mark_leaving(DEFAULT_REMAINING);
                RegistryChange::Removed
            }
            None => RegistryChange::None,
        }
    }

    fn remember_removed(&self, entry: &UpstreamEntry) {
        let mut removed = self.removed.lock().unwrap_or_else(PoisonError::into_inner);
        removed.retain(|_, replica| replica.removed_at.elapsed() < REMOVED_MEMORY);
        let replica = RemovedReplica {
            incarnation: entry.address.incarnation,
            was_leaving: matches!(entry.status(), UpstreamStatus::Leaving { .. }),
            removed_at: Instant::now(),
        };
        removed.insert(entry.address.upstream.clone(), replica);
        drop(removed);
        self.remember_version(entry);
    }

    /// Records that a replica with the version of `entry` serves no longer.
    fn remember_version(&self, entry: &UpstreamEntry) {
        let Some(version) = entry.version_key() else {
            return;
        };
        let service = NameKey::from(&entry.service);
        self.lock_versions()
            .remember(ServedVersion { service, version });
    }

    /// Returns whether this or a later incarnation of the replica was leaving when it was removed.
    fn has_left(&self, record: &ReplicaRecord) -> bool {
        self.removed(record)
            .is_some_and(|removed| removed.was_leaving)
    }

    /// Returns whether this or a later incarnation of the replica was removed and did not come back.
    pub fn was_removed(&self, record: &ReplicaRecord) -> bool {
        self.get(&record.id).is_none() && self.removed(record).is_some()
    }

    fn removed(&self, record: &ReplicaRecord) -> Option<RemovedReplica> {
        let removed = self.removed.lock().unwrap_or_else(PoisonError::into_inner);
        let removed = removed.get(&record.id);
        removed
            .filter(|removed| record.incarnation <= removed.incarnation)
            .copied()
    }

    /// Records the versions that served before this node started, as the store has them, or that it has
    /// none.
    pub fn load_versions(&self, served: Option<&[ServedVersion]>) {
        if let Some(served) = served {
            self.lock_versions().load(served);
        }
        self.is_history_read.send_replace(true);
    }

    /// Waits at most `limit` until the versions that served before this node started have been read from
    /// the store. Returns whether they have.
    pub async fn wait_for_versions(&self, limit: Duration) -> bool {
        let mut is_read = self.is_history_read.subscribe();
        timeout(limit, is_read.wait_for(|is_read| *is_read))
            .await
            .is_ok()
    }

    /// Returns whether the versions that served before this node started have been read from the store.
    pub fn is_history_read(&self) -> bool {
        *self.is_history_read.borrow()
    }

    /// Returns the keys of the software versions that replicas of a service are known to have had within
    /// the last `period`.
    pub fn recent_versions(&self, service: &ServiceId, period: Duration) -> BTreeSet<NameKey> {
        let mut versions = self.lock_versions().removed(NameKey::from(service), period);
        let entries = self.read();
        let of_service = entries.values().filter(|entry| entry.service == *service);
        versions.extend(of_service.filter_map(|entry| entry.version_key()));
        versions
    }

    /// Returns the key of the only software version that the replicas of a service had within the last
    /// `period`, or `None` if there were several or that is not known.
    pub fn sole_version(&self, service: &ServiceId, period: Duration) -> Option<NameKey> {
        let entries = self.all();
        let mut of_service = entries.iter().filter(|entry| entry.service == *service);
        let version = of_service.clone().next()?.version_key()?;
        let versions = self.lock_versions();
        let removed = versions.removed(NameKey::from(service), period);
        let is_sole = of_service.all(|entry| entry.version_key() == Some(version))
            && removed.iter().all(|removed| *removed == version);
        (is_sole && versions.covers(period)).then_some(version)
    }

    /// Returns the entry of a replica.
    pub fn get(&self, id: &UpstreamId) -> Option<Arc<UpstreamEntry>> {
        self.read().get(id).cloned()
    }

    /// Returns all entries, ordered by id.
    pub fn all(&self) -> Vec<Arc<UpstreamEntry>> {
        self.read().values().cloned().collect()
    }

    /// Returns the entries of a service that accept new requests, ordered by id.
    pub fn live(&self, service: &ServiceId) -> Vec<Arc<UpstreamEntry>> {
        let is_live = |entry: &&Arc<UpstreamEntry>| {
            entry.service == *service && entry.status() == UpstreamStatus::Live
        };
        self.read().values().filter(is_live).cloned().collect()
    }

    fn lock_versions(&self) -> MutexGuard<'_, VersionHistory> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self) -> RwLockReadGuard<'_, BTreeMap<UpstreamId, Arc<UpstreamEntry>>> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, BTreeMap<UpstreamId, Arc<UpstreamEntry>>> {
        self.entries.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn profile(record: &ReplicaRecord) -> UpstreamProfile {
    UpstreamProfile {
        address: UpstreamAddress {
            upstream: record.id.clone(),
            incarnation: record.incarnation,
            address: record.address,
        },
        service: record.service.clone(),
        software: Some(record.software.clone()),
        zone: record.zone.clone(),
        market: record.market,
        class: String::new(),
        slots: Some(record.slots),
    }
}
