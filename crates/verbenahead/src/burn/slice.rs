//! Counts of a stretch of minutes.

use std::time::Duration;

use verbenahead_core::time::UnixMillis;

use super::{counts::ObjectiveCounts, window::Window};

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60 * 1_000;

/// Minutes of an hour.
pub(super) const HOUR_MINUTES: u64 = 60;

/// Hours of a day.
pub(super) const DAY_HOURS: u64 = 24;

/// Returns the minute of a time, counted from the Unix epoch.
pub(super) fn minute_of(time: UnixMillis) -> u64 {
    time.0 / MINUTE_MS
}

/// Returns the hour of a time, counted from the Unix epoch.
pub(super) fn hour_of(time: UnixMillis) -> u64 {
    minute_of(time) / HOUR_MINUTES
}

/// Returns the day of a time, counted from the Unix epoch.
pub(super) fn day_of(time: UnixMillis) -> u64 {
    hour_of(time) / DAY_HOURS
}

/// `Slice` holds the counts of some consecutive minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// First minute, counted from the Unix epoch.
    pub start: u64,
    /// Number of minutes.
    pub minutes: u64,
    /// Counts of the minutes.
    pub counts: ObjectiveCounts,
}

impl Slice {
    /// Returns whether the middle of the slice lies in the window that ends at `now`.
    ///
    /// A slice is counted whole or not at all, so the bounds of a window are off by at most half
    /// a slice.
    pub fn is_in(&self, window: Window, now: UnixMillis) -> bool {
        let middle = UnixMillis(self.start * MINUTE_MS + self.minutes * MINUTE_MS / 2);
        let started = UnixMillis(self.start * MINUTE_MS) <= now;
        started && now.since(middle) < window.length()
    }

    /// Returns how long ago the slice ended, or zero while it goes on.
    pub fn age(&self, now: UnixMillis) -> Duration {
        now.since(UnixMillis((self.start + self.minutes) * MINUTE_MS))
    }
}

/// Adds up the counts of the slices in a window.
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
