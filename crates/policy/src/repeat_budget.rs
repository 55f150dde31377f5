//! A budget for requests that are sent to a service more than once.
//!
//! All nodes together may repeat a part of the requests of a window, plus a fixed number. Each node
//! spends the part earned by its own requests, and an equal share of the fixed number.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// `RepeatBudgetOptions` configures a repeat budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBudgetOptions {
    /// Repeats per request.
    pub ratio: f64,
    /// Sliding window in which requests and repeats are counted.
    pub window: Duration,
    /// Additional repeats per window of all nodes together.
    pub extra: f64,
    /// Part of the budget that the nodes may spend, between 0 and 1. The rest is a margin for
    /// windows that are not aligned with those of the nodes, and for nodes that have just joined
    /// or left.
    pub usable_ratio: f64,
}

impl Default for RepeatBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window: Duration::from_secs(10),
            extra: 10.0,
            usable_ratio: 0.8,
        }
    }
}

/// `RepeatBudget` is one node's part of the repeat budget of one service.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    options: RepeatBudgetOptions,
    requests: SlidingCount,
    repeats: SlidingCount,
}

impl RepeatBudget {
    /// Builds a budget without requests and repeats.
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

    /// Counts a repeat that is made whether or not the budget allows it.
    pub fn on_repeat(&mut self, now: Timestamp) {
        self.repeats.add(now);
    }

    /// Takes one repeat from the budget. Returns false if the budget does not allow it. `nodes` is
    /// the number of live nodes.
    pub fn try_take(&mut self, nodes: usize, now: Timestamp) -> bool {
        let earned = self.options.ratio * f64::from(self.requests.count(now));
        let share = self.options.extra / nodes.max(1) as f64;
        let allowed = (earned + share) * self.options.usable_ratio;
        if f64::from(self.repeats.count(now) + 1) > allowed {
            return false;
        }
        self.repeats.add(now);
        true
    }

    /// Gives back a repeat that was taken lately and not made.
    pub fn give_back(&mut self) {
        self.repeats.remove_latest();
    }
}

/// Slices of a window, which give the resolution of the counts.
const SLICES: u32 = 10;

/// `SlidingCount` counts events in a sliding window, with a resolution of a tenth of the window.
#[derive(Debug, Clone)]
pub struct SlidingCount {
    slice: Duration,
    /// Number of each slice that has events, and its count, oldest first.
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

    /// Counts one event.
    pub fn add(&mut self, now: Timestamp) {
        let slice = self.slice_at(now);
        match self.slices.back_mut() {
            Some((last, count)) if *last == slice => *count += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        self.expire(slice);
    }

    /// Removes the latest event, if there is one.
    pub fn remove_latest(&mut self) {
        if let Some((_, count)) = self.slices.back_mut() {
            *count -= 1;
            if *count == 0 {
                self.slices.pop_back();
            }
        }
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Timestamp) -> u32 {
        self.expire(self.slice_at(now));
        self.slices.iter().map(|(_, count)| count).sum()
    }

    fn slice_at(&self, time: Timestamp) -> u64 {
        (time.0.as_nanos() / self.slice.as_nanos()) as u64
    }

    /// Removes the slices that are no longer in the window that ends with `slice`.
    fn expire(&mut self, slice: u64) {
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
