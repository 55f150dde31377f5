//! Estimate of the part of the other nodes that a node is in contact with, from sampled probes.
//!
//! Late answers lengthen the time after which a missing answer counts. Without this, a collector that is late
//! finds itself in contact with no node and grants nothing.

use std::{collections::VecDeque, time::Duration};

use crate::{
    collector_timing::{AnswerTime, CollectorTimingOptions},
    time::Timestamp,
};

/// `ReachOptions` sets over which probes the part of reached nodes is estimated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReachOptions {
    /// Time for which a probe counts after its answer is due.
    pub window: Duration,
    /// Time after which a missing answer counts.
    pub timing: CollectorTimingOptions,
    /// Fewest probes from which the part is estimated.
    pub min_probes: usize,
}

impl Default for ReachOptions {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(1_250),
            timing: CollectorTimingOptions::default(),
            min_probes: 4,
        }
    }
}

/// Ratio of answered probes from which all nodes count as reached, because probes may be lost.
const FULL_REACH: f64 = 0.85;

/// Length of the short window as a part of the window.
const SHORT_WINDOW: f64 = 0.4;

/// Factor on a lower ratio. The parts of several partitions are estimated from samples and must not
/// add up to more than one.
const PARTIAL_REACH_MARGIN: f64 = 0.9;

/// `ReachProbes` holds the recent probes of a node.
#[derive(Debug, Clone, Default)]
pub struct ReachProbes {
    options: ReachOptions,
    probes: VecDeque<Probe>,
    answer_time: AnswerTime,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    number: u64,
    sent_at: Timestamp,
    is_answered: bool,
}

impl ReachProbes {
    /// Records that a probe was sent.
    pub fn record_sent(&mut self, number: u64, now: Timestamp) {
        let window = self.options.window + self.options.timing.max_limit;
        let is_old = |probe: &Probe| now.since(probe.sent_at) > window;
        while self.probes.front().is_some_and(is_old) {
            self.probes.pop_front();
        }
        self.probes.push_back(Probe {
            number,
            sent_at: now,
            is_answered: false,
        });
    }

    /// Records the answer to a probe.
    pub fn record_answer(&mut self, number: u64, now: Timestamp) {
        let mut probes = self.probes.iter_mut();
        if let Some(probe) = probes.find(|probe| probe.number == number) {
            let elapsed = now.since(probe.sent_at);
            probe.is_answered = self.answer_time.record(elapsed, &self.options.timing, now);
        }
    }

    /// Returns the part of the nodes that recently answered, or `None` without enough probes.
    pub fn ratio(&self, now: Timestamp) -> Option<f64> {
        let long = self.ratio_within(self.options.window, now)?;
        // Half of the time since the probes were sent, if answers are not late.
        let short = self.options.window.mul_f64(SHORT_WINDOW);
        let short = self.ratio_within(short, now);
        let lowest = short.map_or(long, |short| short.min(long));
        match lowest >= FULL_REACH {
            true => Some(1.0),
            false => Some(lowest * PARTIAL_REACH_MARGIN),
        }
    }

    /// Returns the ratio of answered probes among those whose answers were due within the last `window`.
    fn ratio_within(&self, window: Duration, now: Timestamp) -> Option<f64> {
        let limit = self.answer_time.limit(&self.options.timing, now);
        let is_due = |probe: &&Probe| {
            let age = now.since(probe.sent_at);
            (limit..=limit + window).contains(&age)
        };
        let due = self.probes.iter().filter(is_due).count();
        let answered = self.probes.iter().filter(is_due);
        let answered = answered.filter(|probe| probe.is_answered).count();
        (due >= self.options.min_probes).then(|| answered as f64 / due as f64)
    }
}
