//! Checks that need more than one request.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_standins::users::RecordedUsage;

use super::{
    end_reason::{TOLERANCE, later_timeouts, timeouts_at_admission},
    node::GRACE,
    records::{Records, RequestRecord},
    report::EndCount,
};

/// How much more often requests may end beside a configuration than at other times.
const MAX_RATIO: f64 = 3.0;

/// Least number of ends beside configurations from which they are compared.
const MIN_ENDS: u64 = 5;

/// Time after a timeout by which a request is to have an answer.
const TIMEOUT_DELAY: Duration = Duration::from_millis(500);

/// Number of requests without an answer after their timeout from which their share counts.
const MIN_OVERDUE: u64 = 8;

/// Returns how much more often requests end in one way beside a configuration than at other times, of
/// `all` ends. `None` stands for no such end at all.
pub fn ratio(ends: EndCount, all: EndCount) -> Option<f64> {
    if ends.near_configuration == 0 && ends.other == 0 {
        return None;
    }
    let near = ends.near_configuration as f64 / all.near_configuration.max(1) as f64;
    let other = ends.other as f64 / all.other.max(1) as f64;
    Some(near / other)
}

/// Returns whether requests end in one way more often beside a configuration than is allowed.
pub fn is_caused_by_configurations(ends: EndCount, all: EndCount) -> bool {
    ends.near_configuration >= MIN_ENDS && ratio(ends, all).is_some_and(|ratio| ratio > MAX_RATIO)
}

/// `Overdue` counts the requests that had no answer at the timeout of their route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Overdue {
    /// Requests without an answer at their timeout.
    pub reached: u64,
    /// Requests without an answer half a second later.
    pub late: u64,
}

impl Overdue {
    /// Counts a request, unless its node was disturbed.
    pub fn count(&mut self, records: &Records, request: &RequestRecord) {
        if is_disturbed(records, request) {
            return;
        }
        let mut timeouts = timeouts_at_admission(records, request);
        timeouts.extend(later_timeouts(records, request));
        let Some(timeout) = timeouts.into_iter().max() else {
            return;
        };
        let elapsed = request.ended - request.started;
        self.reached += u64::from(elapsed >= timeout);
        self.late += u64::from(elapsed > timeout + TIMEOUT_DELAY + TOLERANCE);
    }

    /// Returns whether too many requests were late.
    pub fn is_broken(&self) -> bool {
        self.late >= MIN_OVERDUE && self.late * 4 > self.reached
    }
}

/// Returns whether the node of a request was disturbed while it worked on it, or shortly before.
fn is_disturbed(records: &Records, request: &RequestRecord) -> bool {
    let signals = records.signals();
    let mut of_node = signals.iter().filter(|s| s.node == request.node);
    of_node.any(|s| s.overlaps(request.started, request.ended, GRACE))
}

/// Returns what is wrong with the usage reports that the platform accepted.
pub fn check_usage(reports: &[RecordedUsage]) -> Vec<String> {
    let mut found = Vec::new();
    let mut windows = BTreeMap::new();
    let mut holders = BTreeMap::new();
    let mut highest = 0;
    for report in reports {
        if report.fence < highest {
            found.push(format!(
                "{} reported with number {} after {highest}",
                report.holder, report.fence
            ));
        }
        highest = highest.max(report.fence);
        let window = report.call.window_id;
        let counts = &report.call.counts;
        if windows.insert(window, counts).is_some_and(|c| c != counts) {
            found.push(format!(
                "two reports of window {window} with different counts"
            ));
        }
        let holder = &report.holder;
        let other = holders.insert(report.fence, holder);
        if let Some(other) = other.filter(|other| *other != holder) {
            found.push(format!("{holder} and {other} hold number {}", report.fence));
        }
    }
    found
}
