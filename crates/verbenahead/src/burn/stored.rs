//! Counts from the table, summed over nodes.

use std::collections::BTreeMap;

use verbenahead_core::HashMap;

use super::{
    counts::{ObjectiveCounts, SeriesKey},
    row::HourRow,
    slice::{DAY_HOURS, HOUR_MINUTES, Slice},
    store::NodeRow,
};

/// `Span` is a range of consecutive minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    start: u64,
    minutes: u64,
}

/// `StoredCounts` holds the counts from the table. Except for the rows of the last two hours, its
/// size does not grow with the number of nodes.
#[derive(Debug, Clone, Default)]
pub struct StoredCounts {
    totals: HashMap<SeriesKey, BTreeMap<Span, ObjectiveCounts>>,
    recent: Vec<NodeRow>,
    /// Hour in which the table was read.
    read_hour: u64,
}

impl StoredCounts {
    /// Builds empty counts for a read of the table in the hour `read_hour`.
    pub(super) fn new(read_hour: u64) -> Self {
        Self {
            read_hour,
            ..Self::default()
        }
    }

    /// Adds the row of one hour of a node.
    pub(super) fn add_hour(&mut self, row: NodeRow) {
        self.add(&row.row);
        if row.row.hour + 1 >= self.read_hour {
            self.recent.push(row);
        }
    }

    /// Adds the row of a day and discards all hourly counts up to the end of that day, because
    /// daily rows replace them.
    pub(super) fn add_day(&mut self, day: &HourRow) {
        let end = (day.hour + DAY_HOURS) * HOUR_MINUTES;
        let is_day = |span: &Span| span.minutes > HOUR_MINUTES;
        for spans in self.totals.values_mut() {
            spans.retain(|span, _| is_day(span) || span.start >= end);
        }
        self.add(day);
    }

    fn add(&mut self, row: &HourRow) {
        for entry in &row.entries {
            if !self.totals.contains_key(&entry.series) {
                self.totals.insert(entry.series.clone(), BTreeMap::new());
            }
            let Some(spans) = self.totals.get_mut(&entry.series) else {
                continue;
            };
            for slice in &entry.slices {
                let span = Span {
                    start: slice.start,
                    minutes: slice.minutes,
                };
                *spans.entry(span).or_default() += slice.counts;
            }
        }
    }

    /// Returns the counts of a workspace at a service, summed over all nodes.
    pub fn slices(&self, series: &SeriesKey) -> impl Iterator<Item = Slice> {
        let spans = self.totals.get(series).into_iter().flatten();
        spans.map(|(span, counts)| Slice {
            start: span.start,
            minutes: span.minutes,
            counts: *counts,
        })
    }

    /// Returns the rows of the last two hours, one per node incarnation and hour.
    pub fn recent(&self) -> &[NodeRow] {
        &self.recent
    }
}
