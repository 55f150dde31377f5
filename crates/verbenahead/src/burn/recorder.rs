//! In-memory counts of the requests of one node.

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

/// Number of minutes that are kept in memory for the short windows.
const KEPT_MINUTES: u64 = 65;

/// Length of a slice of a row, in minutes.
const ROW_SLICE_MINUTES: u64 = 5;

/// Maximum number of hours in memory that are not yet written to the table for the last time.
const MAX_UNWRITTEN_HOURS: usize = 80;

/// `LiveCounts` holds the counts of a node over the short windows, computed from its memory.
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

/// `BurnRecorder` counts the results of a node's requests. Recording takes two locks, each held for
/// about ten nanoseconds.
#[derive(Debug, Default)]
pub struct BurnRecorder {
    clock: WallClock,
    series: RwLock<HashMap<WorkspaceId, HashMap<ServiceId, Mutex<Series>>>>,
}

#[derive(Debug, Default)]
struct Series {
    objectives: Objectives,
    /// Slices of one minute, for the short windows.
    minutes: VecDeque<Slice>,
    /// Slices of five minutes by hour, for the rows of the table.
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

    /// Returns the clock that dates the requests.
    pub fn clock(&self) -> WallClock {
        self.clock
    }

    /// Applies the workspaces, services and objectives of a manifest.
    ///
    /// Series that the manifest no longer has are removed by the first call after their counts are
    /// written.
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

    /// Counts a finished request. Requests of a workspace or service that is in no applied manifest
    /// are ignored.
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

    /// Returns the hours that have counts, the oldest first.
    pub(super) fn hours(&self) -> Vec<u64> {
        let mut hours = BTreeSet::new();
        self.for_each(|_, _, series| hours.extend(series.hours.keys().copied()));
        hours.into_iter().collect()
    }

    /// Returns the row of an hour. With `has_detail`, the row holds slices of five minutes instead of one slice of an hour.
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

    /// Removes the counts of an hour after its last write to the table.
    pub(super) fn remove_hour(&self, hour: u64) {
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
        self.minute_counts(minute).record(result, &objectives);
        let hour = self.hours.entry(hour_of(now)).or_default();
        let start = minute - minute % ROW_SLICE_MINUTES;
        slice_counts(hour, start).record(result, &objectives);
        while self.hours.len() > MAX_UNWRITTEN_HOURS {
            self.hours.pop_first();
        }
    }

    fn minute_counts(&mut self, minute: u64) -> &mut ObjectiveCounts {
        let is_new = self.minutes.back().is_none_or(|last| last.start < minute);
        if is_new {
            self.minutes.push_back(Slice {
                start: minute,
                minutes: 1,
                counts: ObjectiveCounts::default(),
            });
        }
        while self.minutes.len() as u64 > KEPT_MINUTES {
            self.minutes.pop_front();
        }
        let last = self.minutes.len() - 1;
        &mut self.minutes[last].counts
    }
}

fn slice_counts(slices: &mut Vec<Slice>, start: u64) -> &mut ObjectiveCounts {
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
