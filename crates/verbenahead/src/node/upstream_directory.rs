//! Directory of the upstreams that a node knows.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{HashMap, HashSet, Incarnation, ServiceId, UpstreamId};
use verbenahead_relay::upstream::{UpstreamEntry, UpstreamProfile, UpstreamStatus};
use verbenahead_services::{VmRecord, VmState};
use verbenahead_upstream::UpstreamAddress;

/// Assumed remaining time of a VM that the list shows as leaving, when no reclaim notice gave one.
const DEFAULT_REMAINING: Duration = Duration::from_secs(30);

/// Time for which a retired incarnation is remembered. It exceeds the lag of the platform's list.
const RETIRED_RETENTION: Duration = Duration::from_secs(600);

/// `LeavingUpstream` is an incarnation of an upstream that will stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingUpstream {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation that stops.
    pub incarnation: Incarnation,
    /// Time until it stops.
    pub remaining: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RetiredIncarnation {
    incarnation: Incarnation,
    since: Instant,
}

/// `UpstreamDirectory` holds the upstreams that a node knows.
///
/// The platform's list lags, so reclaim notices and messages from peers take precedence: an
/// incarnation that was announced as leaving stays leaving, even if the list shows it as live.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    /// Ordered by id, so that listings need no sorting.
    entries: RwLock<BTreeMap<UpstreamId, Arc<UpstreamEntry>>>,
    /// Latest incarnation of each upstream that was announced as leaving.
    retired: RwLock<HashMap<UpstreamId, RetiredIncarnation>>,
}

impl UpstreamDirectory {
    /// Applies the platform's list of VMs. Returns the upstreams that it newly shows as leaving.
    pub fn apply_list(&self, records: &[VmRecord]) -> Vec<LeavingUpstream> {
        let leaving = records
            .iter()
            .filter_map(|record| self.apply_record(record))
            .collect();
        self.remove_unlisted(records);
        leaving
    }

    fn apply_record(&self, record: &VmRecord) -> Option<LeavingUpstream> {
        let upstream = UpstreamId::try_new(record.vm.as_str()).ok()?;
        if self.is_retired(&upstream, record.incarnation) {
            return None;
        }
        if record.state == VmState::Starting {
            return None;
        }
        self.add(record, &upstream);
        if record.state != VmState::Leaving {
            return None;
        }
        self.mark_leaving(&upstream, record.incarnation, DEFAULT_REMAINING);
        Some(LeavingUpstream {
            upstream,
            incarnation: record.incarnation,
            remaining: DEFAULT_REMAINING,
        })
    }

    fn add(&self, record: &VmRecord, upstream: &UpstreamId) {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = entries.get(upstream) {
            if known.address.incarnation >= record.incarnation {
                return;
            }
            known.mark_gone();
        }
        let entry = UpstreamEntry::new(profile(record, upstream));
        entries.insert(upstream.clone(), Arc::new(entry));
    }

    fn remove_unlisted(&self, records: &[VmRecord]) {
        let listed: HashSet<&str> = records.iter().map(|record| record.vm.as_str()).collect();
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|upstream, entry| {
            // Compares ids only: a lagging list may still name an earlier incarnation of the VM.
            let is_listed = listed.contains(upstream.as_str());
            if !is_listed {
                entry.mark_gone();
            }
            is_listed
        });
    }

    /// Marks an incarnation of an upstream as leaving. Returns whether that was not known yet.
    pub fn mark_leaving(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        remaining: Duration,
    ) -> bool {
        let is_new = self.retire(upstream, incarnation);
        let entry = self.get(upstream);
        if let Some(entry) = entry.filter(|entry| entry.address.incarnation <= incarnation) {
            entry.mark_leaving(remaining);
        }
        is_new
    }

    fn retire(&self, upstream: &UpstreamId, incarnation: Incarnation) -> bool {
        let mut retired = self.retired.write().unwrap_or_else(PoisonError::into_inner);
        let known = retired.get(upstream);
        if known.is_some_and(|known| known.incarnation >= incarnation) {
            return false;
        }
        let since = Instant::now();
        retired.retain(|_, known| known.since + RETIRED_RETENTION > since);
        retired.insert(upstream.clone(), RetiredIncarnation { incarnation, since });
        true
    }

    fn is_retired(&self, upstream: &UpstreamId, incarnation: Incarnation) -> bool {
        let retired = self.retired.read().unwrap_or_else(PoisonError::into_inner);
        retired
            .get(upstream)
            .is_some_and(|known| known.incarnation >= incarnation)
    }

    /// Returns the entry of an upstream.
    pub fn get(&self, upstream: &UpstreamId) -> Option<Arc<UpstreamEntry>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(upstream).cloned()
    }

    /// Returns all entries.
    pub fn all(&self) -> Vec<Arc<UpstreamEntry>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.values().cloned().collect()
    }

    /// Returns the live entries of a service, which may get new work, ordered by id.
    pub fn live(&self, service: &ServiceId) -> Vec<Arc<UpstreamEntry>> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries
            .values()
            .filter(|entry| entry.service == *service && entry.status() == UpstreamStatus::Live)
            .cloned()
            .collect()
    }
}

fn profile(record: &VmRecord, upstream: &UpstreamId) -> UpstreamProfile {
    UpstreamProfile {
        address: UpstreamAddress {
            upstream: upstream.clone(),
            incarnation: record.incarnation,
            address: record.address,
        },
        service: record.service.clone(),
        software: None,
        zone: record.zone.clone(),
        market: record.market,
        class: record.class.clone(),
        slots: None,
    }
}
