//! Counts of the calls that the platform stand-in received.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Window over which rates are averaged.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Length of one counting period within the window.
const PERIOD: Duration = Duration::from_millis(500);

/// `CallKind` is the operation of a call.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum CallKind {
    /// Reading a row or listing rows.
    TableRead,
    /// A transaction of one or more rows.
    TableWrite,
    /// Reading an object.
    ObjectRead,
    /// Writing an object.
    ObjectWrite,
    /// Reading the list of VMs.
    VmList,
    /// Reading the reclaim notices.
    Notices,
    /// Requesting a VM.
    Start,
    /// Stopping a VM.
    Stop,
}

/// `KindCounts` counts the calls of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct KindCounts {
    /// Calls since the start of the stand-in.
    pub total: u64,
    /// Calls per second over the last 10 s.
    pub per_second: f64,
}

#[derive(Debug, Clone, Default)]
struct CallCounter {
    total: u64,
    periods: VecDeque<(Instant, u64)>,
}

impl CallCounter {
    fn count(&mut self, now: Instant) {
        self.total += 1;
        match self.periods.back_mut() {
            Some((start, count)) if now.duration_since(*start) < PERIOD => *count += 1,
            _ => self.periods.push_back((now, 1)),
        }
        self.discard_old_periods(now);
    }

    fn discard_old_periods(&mut self, now: Instant) {
        let is_old = |(start, _): &(Instant, u64)| now.duration_since(*start) > RATE_WINDOW;
        while self.periods.front().is_some_and(is_old) {
            self.periods.pop_front();
        }
    }

    fn read(&mut self, now: Instant) -> KindCounts {
        self.discard_old_periods(now);
        let recent: u64 = self.periods.iter().map(|(_, count)| count).sum();
        KindCounts {
            total: self.total,
            per_second: recent as f64 / RATE_WINDOW.as_secs_f64(),
        }
    }
}

/// `CallCounts` counts calls by kind.
#[derive(Debug, Clone, Default)]
pub struct CallCounts {
    counters: BTreeMap<CallKind, CallCounter>,
}

impl CallCounts {
    /// Counts one call.
    pub fn count(&mut self, kind: CallKind, now: Instant) {
        self.counters.entry(kind).or_default().count(now);
    }

    /// Returns the counts by kind.
    pub fn read(&mut self, now: Instant) -> BTreeMap<CallKind, KindCounts> {
        let counters = self.counters.iter_mut();
        counters
            .map(|(kind, counter)| (*kind, counter.read(now)))
            .collect()
    }
}
