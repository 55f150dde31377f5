//! Delayed load reports.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use verbenahead_upstream::LoadReport;

/// Minimum time between two stored reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// `LoadHistory` stores the reports needed to tell the load one `lag` ago.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration, first: LoadReport, now: Instant) -> Self {
        Self {
            lag,
            reports: VecDeque::from([(now, first)]),
        }
    }

    /// Stores the current load, unless the last report is equal or too recent.
    pub(super) fn record(&mut self, report: LoadReport, now: Instant) {
        let is_redundant = |(at, last): &(Instant, LoadReport)| {
            *last == report || now.duration_since(*at) < MIN_REPORT_INTERVAL.min(self.lag)
        };
        if !self.reports.back().is_some_and(is_redundant) {
            self.reports.push_back((now, report));
        }
        self.discard_old(now);
    }

    /// Returns the load as it was one `lag` ago, or the oldest known one.
    pub(super) fn delayed(&mut self, now: Instant) -> LoadReport {
        self.discard_old(now);
        let (at, report) = &self.reports[0];
        let age = self.lag.min(now.duration_since(*at));
        LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..report.clone()
        }
    }

    fn discard_old(&mut self, now: Instant) {
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= self.lag {
            self.reports.pop_front();
        }
    }
}
