//! A bound on the requests that reach a service more than once.
//!
//! All nodes together may repeat a part of the requests of a window, and a fixed number besides.
//! Each node spends the part that its own requests earn, and its share of the fixed number.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// `RepeatBudgetOptions` tune a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBudgetOptions {
    /// Repeats as a part of the requests.
    pub ratio: f64,
    /// Window in which both are counted.
    pub window: Duration,
    /// Repeats that all nodes together may make besides, in a window.
    pub extra: f64,
    /// Part of the budget that is spent. The rest covers nodes that count other windows, and
    /// nodes that have just come or gone.
    pub spent_ratio: f64,
}

impl Default for RepeatBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window: Duration::from_secs(10),
            extra: 10.0,
            spent_ratio: 0.8,
        }
    }
}

/// `RepeatBudget` is one node's part of the budget of one service.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    options: RepeatBudgetOptions,
    requests: SlidingCount,
    repeats: SlidingCount,
}

impl RepeatBudget {
    /// Builds a budget of which nothing is spent.
    pub fn new(options: RepeatBudgetOptions) -> Self {
        Self {
            options,
            requests: SlidingCount::new(options.window),
            repeats: SlidingCount::new(options.window),
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Timestamp) {
        self.requests.add(now);
    }

    /// Counts a repeat that has to be made in any case.
    pub fn on_repeat(&mut self, now: Timestamp) {
        self.repeats.add(now);
    }

    /// Takes one repeat, if the budget allows it. `nodes` is the number of live nodes.
    pub fn try_take(&mut self, nodes: usize, now: Timestamp) -> bool {
        let earned = self.options.ratio * f64::from(self.requests.count(now));
        let share = self.options.extra / nodes.max(1) as f64;
        let allowed = (earned + share) * self.options.spent_ratio;
        if f64::from(self.repeats.count(now) + 1) > allowed {
            return false;
        }
        self.repeats.add(now);
        true
    }
}

/// Parts into which a window is cut.
const SLICES: u32 = 10;

/// `SlidingCount` counts what happened within the last window, to a tenth of it.
#[derive(Debug, Clone)]
pub struct SlidingCount {
    slice: Duration,
    slices: VecDeque<(u64, u32)>,
}

impl SlidingCount {
    /// Builds a count over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            slice: (window / SLICES).max(Duration::from_millis(1)),
            slices: VecDeque::new(),
        }
    }

    /// Counts one.
    pub fn add(&mut self, now: Timestamp) {
        let slice = self.slice_of(now);
        match self.slices.back_mut() {
            Some((last, count)) if *last == slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.forget(slice);
    }

    /// Returns the count.
    pub fn count(&mut self, now: Timestamp) -> u32 {
        self.forget(self.slice_of(now));
        self.slices.iter().map(|(_, count)| count).sum()
    }

    fn slice_of(&self, now: Timestamp) -> u64 {
        (now.0.as_nanos() / self.slice.as_nanos()) as u64
    }

    fn forget(&mut self, slice: u64) {
        let oldest = slice.saturating_sub(u64::from(SLICES));
        while self
            .slices
            .front()
            .is_some_and(|(first, _)| *first < oldest)
        {
            self.slices.pop_front();
        }
    }
}
