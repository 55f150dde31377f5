//! The replicas that a node knows by their registrations.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
    time::Duration,
};

use verbenahead_core::{HashMap, ServiceId, UpstreamId};
use verbenahead_policy::{LoadOptions, PrefillRateEstimator, PrefillRateOptions};
use verbenahead_services::{ReplicaRecord, ReplicaState};
use verbenahead_upstream::UpstreamAddress;

use crate::upstream::{SharedSpeed, UpstreamEntry, UpstreamProfile, UpstreamStatus};

/// Time left to a replica that leaves without saying when. Work that takes longer may be cut off
/// by its end, so nothing may rely on more.
const DEFAULT_REMAINING: Duration = Duration::from_secs(2);

/// `RegistryChange` is what a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that matters.
    None,
    /// A replica, or a new life of one, is known.
    Added,
    /// A replica leaves.
    Leaving,
    /// A replica is gone.
    Removed,
}

/// `UpstreamRegistry` holds the replicas that are registered with the platform.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    /// In the order of the ids, so that all nodes list the same replicas in the same order.
    entries: RwLock<BTreeMap<UpstreamId, Arc<UpstreamEntry>>>,
    speeds: Mutex<HashMap<ServiceId, Arc<SharedSpeed>>>,
}

impl UpstreamRegistry {
    /// Takes in a registration. Another incarnation is another life: what was known of the one
    /// before is forgotten.
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
                if let Some(before) = entries.insert(record.id.clone(), Arc::clone(&entry)) {
                    before.mark_gone();
                }
                (entry, true)
            }
        };
        let is_leaving = match record.state {
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
        let speed = self.prefill_rate(&profile.service);
        UpstreamEntry::with_options(profile, options, Some(speed))
    }

    /// Returns what the replicas of a service have shown of their speed.
    pub fn prefill_rate(&self, service: &ServiceId) -> Arc<SharedSpeed> {
        let mut speeds = self.speeds.lock().unwrap_or_else(PoisonError::into_inner);
        let speed = speeds.entry(service.clone()).or_insert_with(|| {
            let speed = PrefillRateEstimator::new(PrefillRateOptions::default());
            Arc::new(SharedSpeed::new(speed))
        });
        Arc::clone(speed)
    }

    /// Takes out a replica whose registration is gone.
    pub fn remove(&self, id: &UpstreamId) -> RegistryChange {
        match self.write().remove(id) {
            Some(entry) => {
                entry.mark_gone();
                RegistryChange::Removed
            }
            None => RegistryChange::None,
        }
    }

    /// Returns an entry.
    pub fn get(&self, id: &UpstreamId) -> Option<Arc<UpstreamEntry>> {
        self.read().get(id).cloned()
    }

    /// Returns all entries in the order of their ids.
    pub fn all(&self) -> Vec<Arc<UpstreamEntry>> {
        self.read().values().cloned().collect()
    }

    /// Returns the entries of a service that may get new work, in the order of their ids.
    pub fn live(&self, service: &ServiceId) -> Vec<Arc<UpstreamEntry>> {
        let is_live = |entry: &&Arc<UpstreamEntry>| {
            entry.service == *service && entry.status() == UpstreamStatus::Live
        };
        self.read().values().filter(is_live).cloned().collect()
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
        zone: record.zone.clone(),
        market: record.market,
        class: String::new(),
        slots: Some(record.slots),
    }
}
