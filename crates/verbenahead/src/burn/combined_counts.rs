//! Counts of all nodes, combined from live nodes and the table.

use std::collections::BTreeMap;

use verbenahead_core::{HashMap, HashSet, time::UnixMillis};

use super::{
    counts::{ObjectiveCounts, SeriesKey},
    reporter::NodeBurnCounts,
    slice::{HOUR_MINUTES, Slice, sum_in},
    stored::StoredCounts,
    window::Window,
};

/// `LiveSums` holds the counts over the short windows, summed over the nodes that answered.
#[derive(Default)]
struct LiveSums {
    five_minutes: ObjectiveCounts,
    one_hour: ObjectiveCounts,
}

/// `CombinedCounts` combines the counts of live nodes with those in the table.
pub(super) struct CombinedCounts<'a> {
    now: UnixMillis,
    live: HashMap<SeriesKey, LiveSums>,
    /// Stored slices of nodes that did not answer, for the short windows.
    unanswered: HashMap<SeriesKey, Vec<Slice>>,
    /// Stored counts of all nodes, for the long windows.
    stored: Option<&'a StoredCounts>,
}

impl<'a> CombinedCounts<'a> {
    /// Combines the counts for windows that end at the time `now`.
    pub(super) fn new(
        answers: &[NodeBurnCounts],
        stored: Option<&'a StoredCounts>,
        now: UnixMillis,
    ) -> Self {
        Self {
            now,
            live: sum_answers(answers),
            unanswered: stored.map_or_else(HashMap::default, |stored| {
                slices_of_unanswered(answers, stored)
            }),
            stored,
        }
    }

    /// Returns the counts over a window, or `None` when they are not known.
    pub(super) fn window_counts(
        &self,
        series: &SeriesKey,
        window: Window,
    ) -> Option<ObjectiveCounts> {
        if !window.is_short() {
            let slices: Vec<_> = self.stored?.slices(series).collect();
            return Some(sum_in(&slices, window, self.now));
        }
        let live = self.live.get(series);
        let live = live.map_or_else(ObjectiveCounts::default, |sums| match window {
            Window::FiveMinutes => sums.five_minutes,
            _ => sums.one_hour,
        });
        let slices = self.unanswered.get(series).into_iter().flatten();
        Some(live + sum_in(slices, window, self.now))
    }

    /// Returns the counts of each hour of the last three days.
    pub(super) fn hourly_counts(&self, series: &SeriesKey) -> BTreeMap<u64, ObjectiveCounts> {
        let mut hours: BTreeMap<u64, ObjectiveCounts> = BTreeMap::new();
        let slices = self.stored.map(|stored| stored.slices(series));
        for slice in slices.into_iter().flatten() {
            let is_hourly = slice.minutes <= HOUR_MINUTES;
            if is_hourly && slice.is_in(Window::ThreeDays, self.now) {
                *hours.entry(slice.start / HOUR_MINUTES).or_default() += slice.counts;
            }
        }
        hours
    }
}

fn sum_answers(answers: &[NodeBurnCounts]) -> HashMap<SeriesKey, LiveSums> {
    let mut live: HashMap<SeriesKey, LiveSums> = HashMap::default();
    for entry in answers.iter().flat_map(|answer| &answer.counts.entries) {
        let series = SeriesKey {
            workspace: entry.workspace.clone(),
            service: entry.service.clone(),
        };
        let sums = live.entry(series).or_default();
        sums.five_minutes += entry.five_minutes;
        sums.one_hour += entry.one_hour;
    }
    live
}

fn slices_of_unanswered(
    answers: &[NodeBurnCounts],
    stored: &StoredCounts,
) -> HashMap<SeriesKey, Vec<Slice>> {
    let answered: HashSet<_> = answers
        .iter()
        .map(|answer| (&answer.node, answer.incarnation))
        .collect();
    let mut slices: HashMap<SeriesKey, Vec<Slice>> = HashMap::default();
    for row in stored.recent() {
        if answered.contains(&(&row.node, row.incarnation)) {
            continue;
        }
        for entry in &row.row.entries {
            let series_slices = slices.entry(entry.series.clone()).or_default();
            series_slices.extend(&entry.slices);
        }
    }
    slices
}
