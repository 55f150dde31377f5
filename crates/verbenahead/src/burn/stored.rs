//! The counts that the table has, added up over nodes.

use std::collections::BTreeMap;

use verbenahead_core::HashMap;

use super::{
    counts::{ObjectiveCounts, SeriesKey},
    row::HourRow,
    slice::{DAY_HOURS, HOUR_MINUTES, Slice},
    store::NodeRow,
};

/// `Span` is a stretch of minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    start: u64,
    minutes: u64,
}

/// `StoredCounts` are the counts that the table has. Their size does not grow with the number of
/// nodes, but for the rows of the last two hours.
#[derive(Debug, Clone, Default)]
pub struct StoredCounts {
    totals: HashMap<SeriesKey, BTreeMap<Span, ObjectiveCounts>>,
    recent: Vec<NodeRow>,
    read_in: u64,
}

impl StoredCounts {
    /// Builds empty counts of a reading that is made in the hour `read_in`.
    pub(super) fn new(read_in: u64) -> Self {
        Self {
            read_in,
            ..Self::default()
        }
    }

    /// Adds the row of a node and hour.
    pub(super) fn add_hour(&mut self, row: NodeRow) {
        self.add(&row.row);
        if row.row.hour + 1 >= self.read_in {
            self.recent.push(row);
        }
    }

    /// Adds the row of a day, which takes the place of the rows of its hours.
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

    /// Iterates over the counts of a workspace at a service, over all nodes.
    pub fn slices(&self, series: &SeriesKey) -> impl Iterator<Item = Slice> {
        let spans = self.totals.get(series).into_iter().flatten();
        spans.map(|(span, counts)| Slice {
            start: span.start,
            minutes: span.minutes,
            counts: *counts,
        })
    }

    /// Returns the rows of single nodes of the last two hours.
    pub fn recent(&self) -> &[NodeRow] {
        &self.recent
    }
}
