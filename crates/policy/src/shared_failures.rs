//! Evidence of several nodes that a replica fails part of its requests.
//!
//! In a large deployment each node sends a request to a given replica only now and then, so a replica
//! that fails part of its requests would fail at each node before that node's circuit breaker opens.
//! One node a replica collects the failures that all nodes see there.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// `SharedFailureOptions` sets when a replica counts as failing, and for how long it is then avoided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedFailureOptions {
    /// Period over which failures are counted.
    pub window: Duration,
    /// Fewest failures in the window. Fewer may be errors of single requests.
    pub min_failures: usize,
    /// Fewest nodes that report them. The failures of one node may be due to its network.
    pub min_reporters: usize,
    /// Fewest failures as a part of the requests that all nodes are expected to have sent there.
    pub failure_ratio: f64,
    /// Time for which a replica is avoided at first.
    pub first_pause: Duration,
    /// Upper bound of that time, which doubles when the replica fails again.
    pub max_pause: Duration,
    /// Time after the end of a pause within which a single failure begins the next one. All nodes send
    /// requests again then.
    pub trial: Duration,
    /// Time after the end of a pause within which failures count as those of the same fault.
    pub memory: Duration,
}

impl Default for SharedFailureOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            min_failures: 3,
            min_reporters: 2,
            failure_ratio: 0.2,
            first_pause: Duration::from_millis(1_500),
            max_pause: Duration::from_secs(6),
            trial: Duration::from_secs(1),
            memory: Duration::from_secs(10),
        }
    }
}

/// `FailureRecord` holds the failures that all nodes recently saw at one replica.
#[derive(Debug, Clone, Default)]
pub struct FailureRecord {
    /// Times and reporting nodes of the failures in the window, oldest first.
    failures: VecDeque<(Timestamp, u64)>,
    /// Last pause, with its end.
    pause: Option<(Duration, Timestamp)>,
}

impl FailureRecord {
    /// Records a failure that the node with the key `reporter` saw. `expected_requests` is the number of
    /// requests that all nodes are expected to send to the replica in the window. Returns the time for
    /// which all nodes should avoid the replica, if the failures suffice and it is not avoided yet.
    pub fn record(
        &mut self,
        reporter: u64,
        expected_requests: f64,
        options: &SharedFailureOptions,
        now: Timestamp,
    ) -> Option<Duration> {
        // Requests that were under way when the pause began still fail.
        if self.pause.is_some_and(|(_, end)| now < end) {
            return None;
        }
        self.failures.push_back((now, reporter));
        let is_old = |(at, _): &(Timestamp, u64)| now.since(*at) > options.window;
        while self.failures.front().is_some_and(is_old) {
            self.failures.pop_front();
        }
        let is_on_trial = self
            .pause
            .is_some_and(|(_, end)| now.since(end) < options.trial);
        if !is_on_trial && !self.is_failing(expected_requests, options) {
            return None;
        }
        let pause = match self.pause {
            Some((last, end)) if now.since(end) < options.memory => {
                (last * 2).min(options.max_pause)
            }
            _ => options.first_pause,
        };
        self.pause = Some((pause, now.plus(pause)));
        self.failures.clear();
        Some(pause)
    }

    /// Returns whether the record may be dropped.
    pub fn is_idle(&self, options: &SharedFailureOptions, now: Timestamp) -> bool {
        let last = self.failures.back().map(|(at, _)| *at);
        let is_recent = |at: Timestamp| now.since(at) <= options.memory;
        !last.is_some_and(is_recent)
            && !self
                .pause
                .is_some_and(|(_, end)| now < end || is_recent(end))
    }

    fn is_failing(&self, expected_requests: f64, options: &SharedFailureOptions) -> bool {
        let first = self.failures.front().map(|(_, reporter)| *reporter);
        let others = self
            .failures
            .iter()
            .any(|(_, reporter)| Some(*reporter) != first);
        let reporters = if others { 2 } else { 1 };
        self.failures.len() >= options.min_failures
            && reporters >= options.min_reporters
            && self.failures.len() as f64 >= expected_requests * options.failure_ratio
    }
}

/// Returns whether another replica of a service may be avoided. If most replicas fail, the cause is not in
/// single replicas, and the others could not take their requests.
pub fn may_avoid(avoided: usize, live: usize) -> bool {
    2 * (avoided + 1) <= live
}
