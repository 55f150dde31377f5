//! Load reports that lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use verbenahead_upstream::LoadReport;

/// Shortest time between two kept reports.
const KEEP_PERIOD: Duration = Duration::from_millis(5);

/// `LoadHistory` keeps the reports of the last lag.
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

    /// Keeps the present load, if the last report differs and is not too young.
    pub(super) fn record(&mut self, report: LoadReport, now: Instant) {
        let is_kept = |(at, last): &(Instant, LoadReport)| {
            *last == report || now.duration_since(*at) < KEEP_PERIOD.min(self.lag)
        };
        if !self.reports.back().is_some_and(is_kept) {
            self.reports.push_back((now, report));
        }
        self.forget(now);
    }

    /// Returns the load as it was one lag ago.
    pub(super) fn lagging(&mut self, now: Instant) -> LoadReport {
        self.forget(now);
        let (at, report) = &self.reports[0];
        let age = self.lag.min(now.duration_since(*at));
        LoadReport {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            ..report.clone()
        }
    }

    fn forget(&mut self, now: Instant) {
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= self.lag {
            self.reports.pop_front();
        }
    }
}
