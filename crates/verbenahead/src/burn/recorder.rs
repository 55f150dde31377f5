//! Counting of the requests of one node.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError, RwLock},
};

use serde::{Deserialize, Serialize};
use verbenahead_core::{HashMap, ServiceId, WorkspaceId, time::UnixMillis, time::WallClock};
use verbenahead_manifest::{Manifest, Objectives};

use super::{
    counts::{ObjectiveCounts, RequestResult, SeriesKey},
    row::{HourRow, RowEntry},
    slice::{HOUR_MINUTES, Slice, hour_of, minute_of, sum_in},
    window::Window,
};

/// Minutes that stay in memory for the short windows.
const HELD_MINUTES: u64 = 65;

/// Minutes of a slice of a row.
const ROW_SLICE_MINUTES: u64 = 5;

/// Most hours that wait for the table to take them.
const MAX_HELD_HOURS: usize = 80;

/// `LiveCounts` are the counts of a node's short windows, as it answers them from memory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveCounts {
    /// Counts of each workspace at each service that had requests.
    pub entries: Vec<LiveEntry>,
}

/// `LiveEntry` holds the counts of one workspace at one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEntry {
    /// Workspace of the requests.
    pub workspace: WorkspaceId,
    /// Service of the requests.
    pub service: ServiceId,
    /// Counts of the last five minutes.
    pub five_minutes: ObjectiveCounts,
    /// Counts of the last hour.
    pub one_hour: ObjectiveCounts,
}

/// `BurnRecorder` counts the results of a node's requests. Recording takes two locks that are
/// held for some ten nanoseconds.
#[derive(Debug, Default)]
pub struct BurnRecorder {
    clock: WallClock,
    series: RwLock<HashMap<WorkspaceId, HashMap<ServiceId, Mutex<Series>>>>,
}

#[derive(Debug, Default)]
struct Series {
    objectives: Objectives,
    minutes: VecDeque<Slice>,
    hours: BTreeMap<u64, Vec<Slice>>,
}

impl BurnRecorder {
    /// Builds a recorder without counts.
    pub fn new(clock: WallClock) -> Self {
        Self {
            clock,
            series: RwLock::default(),
        }
    }

    /// Returns the clock by which requests are counted.
    pub fn clock(&self) -> WallClock {
        self.clock
    }

    /// Takes over the workspaces, services and objectives of a manifest.
    ///
    /// Workspaces and services that the manifest lacks are dropped once their counts are written.
    pub fn apply(&self, manifest: &Manifest) {
        let mut series = self.series.write().unwrap_or_else(PoisonError::into_inner);
        for workspace in &manifest.workspaces {
            let services = series.entry(workspace.id.clone()).or_default();
            for service in &manifest.services {
                let objectives = manifest.objectives(&workspace.id, &service.id);
                let entry = services.entry(service.id.clone()).or_default();
                lock(entry).objectives = objectives.unwrap_or_default();
            }
        }
        for (workspace, services) in series.iter_mut() {
            services.retain(|service, entry| {
                let is_known = manifest.objectives(workspace, service).is_some();
                let is_workspace = manifest.workspace(workspace).is_some();
                (is_known && is_workspace) || !lock(entry).hours.is_empty()
            });
        }
        series.retain(|_, services| !services.is_empty());
    }

    /// Counts a finished request. A workspace or service that no manifest had is not counted.
    pub fn record(&self, workspace: &WorkspaceId, service: &ServiceId, result: RequestResult) {
        let now = self.clock.now();
        let series = self.series.read().unwrap_or_else(PoisonError::into_inner);
        let found = series
            .get(workspace)
            .and_then(|services| services.get(service));
        if let Some(entry) = found {
            lock(entry).record(now, &result);
        }
    }

    /// Returns the counts of the short windows that end now.
    pub fn live_counts(&self) -> LiveCounts {
        let now = self.clock.now();
        let mut entries = Vec::new();
        self.for_each(|workspace, service, series| {
            let one_hour = sum_in(&series.minutes, Window::OneHour, now);
            if !one_hour.is_empty() {
                entries.push(LiveEntry {
                    workspace: workspace.clone(),
                    service: service.clone(),
                    five_minutes: sum_in(&series.minutes, Window::FiveMinutes, now),
                    one_hour,
                });
            }
        });
        LiveCounts { entries }
    }

    /// Returns the hours with counts, the oldest first.
    pub(super) fn hours(&self) -> Vec<u64> {
        let mut hours = BTreeSet::new();
        self.for_each(|_, _, series| hours.extend(series.hours.keys().copied()));
        hours.into_iter().collect()
    }

    /// Returns the row of an hour. A row with detail holds slices of five minutes.
    pub(super) fn row(&self, hour: u64, has_detail: bool) -> HourRow {
        let mut row = HourRow::new(hour);
        self.for_each(|workspace, service, series| {
            let Some(slices) = series.hours.get(&hour) else {
                return;
            };
            row.entries.push(RowEntry {
                series: SeriesKey {
                    workspace: workspace.clone(),
                    service: service.clone(),
                },
                slices: slices.clone(),
            });
        });
        row.entries.sort_by(|a, b| a.series.cmp(&b.series));
        if has_detail { row } else { row.compacted() }
    }

    /// Drops the counts of an hour that the table has.
    pub(super) fn forget(&self, hour: u64) {
        let series = self.series.read().unwrap_or_else(PoisonError::into_inner);
        for entry in series.values().flat_map(HashMap::values) {
            lock(entry).hours.remove(&hour);
        }
    }

    fn for_each(&self, mut visit: impl FnMut(&WorkspaceId, &ServiceId, &Series)) {
        let series = self.series.read().unwrap_or_else(PoisonError::into_inner);
        for (workspace, services) in series.iter() {
            for (service, entry) in services {
                visit(workspace, service, &lock(entry));
            }
        }
    }
}

fn lock(entry: &Mutex<Series>) -> MutexGuard<'_, Series> {
    entry.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Series {
    fn record(&mut self, now: UnixMillis, result: &RequestResult) {
        let minute = minute_of(now);
        let objectives = self.objectives;
        self.minute(minute).record(result, &objectives);
        let hour = self.hours.entry(hour_of(now)).or_default();
        let start = minute - minute % ROW_SLICE_MINUTES;
        slice_at(hour, start).record(result, &objectives);
        while self.hours.len() > MAX_HELD_HOURS {
            self.hours.pop_first();
        }
    }

    fn minute(&mut self, minute: u64) -> &mut ObjectiveCounts {
        let is_new = self.minutes.back().is_none_or(|last| last.start < minute);
        if is_new {
            self.minutes.push_back(Slice {
                start: minute,
                minutes: 1,
                counts: ObjectiveCounts::default(),
            });
        }
        while self.minutes.len() as u64 > HELD_MINUTES {
            self.minutes.pop_front();
        }
        let last = self.minutes.len() - 1;
        &mut self.minutes[last].counts
    }
}

fn slice_at(slices: &mut Vec<Slice>, start: u64) -> &mut ObjectiveCounts {
    debug_assert!(HOUR_MINUTES.is_multiple_of(ROW_SLICE_MINUTES));
    if slices.last().is_none_or(|last| last.start < start) {
        slices.push(Slice {
            start,
            minutes: ROW_SLICE_MINUTES,
            counts: ObjectiveCounts::default(),
        });
    }
    let last = slices.len() - 1;
    &mut slices[last].counts
}
