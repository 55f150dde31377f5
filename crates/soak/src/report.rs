//! Counters of a run and its closing report.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// `SoakReport` is the closing report of a run, printed as one JSON line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run, in minutes.
    pub minutes: f64,
    /// Accepted chats that were read whole.
    pub chats: u64,
    /// Times that a chat was resumed, at another node if one was healthy.
    pub resumed: u64,
    /// Chats that were refused before they were accepted.
    pub refused: u64,
    /// Resumptions that succeeded after one or more attempts that were answered with status 404.
    pub resumed_not_found: u64,
    /// Bookings whose last outcome is known: answered or `not_run`.
    pub bookings: u64,
    /// Bookings with the final outcome `not_run`, which count as bookings too.
    pub not_run: u64,
    /// Bookings whose outcome remained unknown to their caller.
    pub unknown: u64,
    /// Accepted publications.
    pub publications: u64,
    /// Faults that were applied.
    pub faults: u64,
    /// Broken invariants; a run stops at the first.
    pub broken: u64,
}

/// `Counter` is an atomic event counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// `Counters` are the counts of a run in progress, named as in [`SoakReport`].
#[derive(Debug, Default)]
pub struct Counters {
    /// Accepted chats that were read whole.
    pub chats: Counter,
    /// Times that a chat was resumed, at another node if one was healthy.
    pub resumed: Counter,
    /// Chats that were refused.
    pub refused: Counter,
    /// Resumptions that succeeded after one or more attempts answered with status 404.
    pub resumed_not_found: Counter,
    /// Bookings whose last outcome is known: answered or `not_run`.
    pub bookings: Counter,
    /// Bookings with the final outcome `not_run`.
    pub not_run: Counter,
    /// Bookings whose outcome remained unknown.
    pub unknown: Counter,
    /// Accepted publications.
    pub publications: Counter,
    /// Faults that were applied.
    pub faults: Counter,
}

impl Counters {
    /// Returns the counts as a report without broken invariants.
    pub fn report(&self, seed: u64, minutes: f64) -> SoakReport {
        SoakReport {
            seed,
            minutes,
            chats: self.chats.get(),
            resumed: self.resumed.get(),
            refused: self.refused.get(),
            resumed_not_found: self.resumed_not_found.get(),
            bookings: self.bookings.get(),
            not_run: self.not_run.get(),
            unknown: self.unknown.get(),
            publications: self.publications.get(),
            faults: self.faults.get(),
            broken: 0,
        }
    }
}
