//! Counts of consecutive minutes.

use std::time::Duration;

use verbenahead_core::time::UnixMillis;

use super::{counts::ObjectiveCounts, window::Window};

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60 * 1_000;

/// Minutes in an hour.
pub(super) const HOUR_MINUTES: u64 = 60;

/// Hours in a day.
pub(super) const DAY_HOURS: u64 = 24;

/// Returns the number of whole minutes from the Unix epoch to a time.
pub(super) fn minute_of(time: UnixMillis) -> u64 {
    time.0 / MINUTE_MS
}

/// Returns the number of whole hours from the Unix epoch to a time.
pub(super) fn hour_of(time: UnixMillis) -> u64 {
    minute_of(time) / HOUR_MINUTES
}

/// Returns the number of whole days from the Unix epoch to a time.
pub(super) fn day_of(time: UnixMillis) -> u64 {
    hour_of(time) / DAY_HOURS
}

/// `Slice` holds the counts of some consecutive minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// First minute since the Unix epoch.
    pub start: u64,
    /// Number of minutes.
    pub minutes: u64,
    /// Counts of the minutes.
    pub counts: ObjectiveCounts,
}

impl Slice {
    /// Returns whether the midpoint of the slice lies in the window that ends at `now`.
    ///
    /// A slice is counted in full or not at all, so the start of a window is off by at most half a
    /// slice.
    pub fn is_in(&self, window: Window, now: UnixMillis) -> bool {
        let middle = UnixMillis(self.start * MINUTE_MS + self.minutes * MINUTE_MS / 2);
        let started = UnixMillis(self.start * MINUTE_MS) <= now;
        started && now.since(middle) < window.length()
    }

    /// Returns the time since the end of the slice, or zero before its end.
    pub fn age(&self, now: UnixMillis) -> Duration {
        now.since(UnixMillis((self.start + self.minutes) * MINUTE_MS))
    }
}

/// Sums the counts of the slices in a window.
pub(super) fn sum_in<'a>(
    slices: impl IntoIterator<Item = &'a Slice>,
    window: Window,
    now: UnixMillis,
) -> ObjectiveCounts {
    let slices = slices.into_iter();
    slices
        .filter(|slice| slice.is_in(window, now))
        .map(|slice| slice.counts)
        .sum()
}
