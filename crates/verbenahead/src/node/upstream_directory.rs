//! The upstreams that a node knows.

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

/// Time left to a VM that the list calls leaving, when no notice has told it.
const DEFAULT_REMAINING: Duration = Duration::from_secs(30);

/// How long a life that has ended is remembered; longer than the list lags.
const RETIRED_RETENTION: Duration = Duration::from_secs(600);

/// `LeavingUpstream` is an upstream that will stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingUpstream {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Life that stops.
    pub incarnation: Incarnation,
    /// Time left.
    pub remaining: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Retired {
    incarnation: Incarnation,
    since: Instant,
}

/// `UpstreamDirectory` holds the upstreams that a node knows.
///
/// The platform's list lags, so what was learnt from notices and peers goes before it: an
/// incarnation that was said to leave stays so whatever the list says.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    /// In the order of the ids, so that a listing needs no sorting.
    entries: RwLock<BTreeMap<UpstreamId, Arc<UpstreamEntry>>>,
    retired: RwLock<HashMap<UpstreamId, Retired>>,
}

impl UpstreamDirectory {
    /// Takes in the platform's list. Returns the upstreams that it newly calls leaving.
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
            // A lagging list may still name an earlier incarnation of a VM that is known already.
            let is_listed = listed.contains(upstream.as_str());
            if !is_listed {
                entry.mark_gone();
            }
            is_listed
        });
    }

    /// Says that an incarnation of an upstream leaves. Returns whether that is news.
    pub fn mark_leaving(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        remaining: Duration,
    ) -> bool {
        let is_news = self.retire(upstream, incarnation);
        let entry = self.get(upstream);
        if let Some(entry) = entry.filter(|entry| entry.address.incarnation <= incarnation) {
            entry.mark_leaving(remaining);
        }
        is_news
    }

    fn retire(&self, upstream: &UpstreamId, incarnation: Incarnation) -> bool {
        let mut retired = self.retired.write().unwrap_or_else(PoisonError::into_inner);
        let known = retired.get(upstream);
        if known.is_some_and(|known| known.incarnation >= incarnation) {
            return false;
        }
        let since = Instant::now();
        retired.retain(|_, known| known.since + RETIRED_RETENTION > since);
        retired.insert(upstream.clone(), Retired { incarnation, since });
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

    /// Returns the entries of a service that may get new work, in the order of their ids.
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
        zone: record.zone.clone(),
        market: record.market,
        class: record.class.clone(),
        slots: None,
    }
}
