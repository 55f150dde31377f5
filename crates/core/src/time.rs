//! Timestamps and clocks.

use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 24 * 60 * 60;

/// `UnixMillis` is a point in time in milliseconds since the Unix epoch. Its `Display` text is a
/// date and time in UTC. No safety property depends on it, as system clocks may differ or jump.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the current time of the system clock.
    pub fn now() -> Self {
        SystemTime::now().into()
    }

    /// Returns the time `period` later, limited to the largest time.
    #[must_use]
    pub fn saturating_add(self, period: Duration) -> Self {
        Self(self.0.saturating_add(millis(period)))
    }

    /// Returns the time `period` earlier, limited to the Unix epoch.
    #[must_use]
    pub fn saturating_sub(self, period: Duration) -> Self {
        Self(self.0.saturating_sub(millis(period)))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(time: SystemTime) -> Self {
        Self(millis(time.duration_since(UNIX_EPOCH).unwrap_or_default()))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / MILLIS_PER_SECOND;
        let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
        let second_of_day = seconds % SECONDS_PER_DAY;
        let (hour, minute, second) = (
            second_of_day / 3_600,
            second_of_day / 60 % 60,
            second_of_day % 60,
        );
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z"
        )
    }
}

fn millis(period: Duration) -> u64 {
    u64::try_from(period.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a number of days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// The computation starts years in March, so that the leap day is the last day of its year. An era
/// is 400 years, after which the calendar repeats.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // From 0000-03-01 to 1970-01-01.
    const DAYS_BEFORE_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_BEFORE_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Returns the total time for which the machine has been suspended since it booted.
///
/// The monotonic clock does not count that time, so a deadline on the monotonic clock, such as the
/// end of a lease, must also be checked against this value.
pub fn suspended_time() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    let with_suspension = read(ClockId::CLOCK_BOOTTIME);
    let without = read(ClockId::CLOCK_MONOTONIC);
    match (with_suspension, without) {
        (Ok(with_suspension), Ok(without)) => with_suspension.saturating_sub(without),
        // Not reached: both clocks exist on every supported system.
        _ => Duration::ZERO,
    }
}

/// `SteadyClock` measures the time since its creation, including time for which the machine was
/// suspended.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    started: Instant,
    suspended_before: Duration,
}

impl SteadyClock {
    /// Returns the time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        let suspended_since = suspended_time().saturating_sub(self.suspended_before);
        self.started.elapsed() + suspended_since
    }
}

impl Default for SteadyClock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            suspended_before: suspended_time(),
        }
    }
}

/// `WallClock` derives the time of day from the monotonic clock, so it never goes back and follows
/// the paused clock of `tokio` in tests.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    initial_time: UnixMillis,
    started: Instant,
}

impl WallClock {
    /// Builds a clock that reads `now` at the time of the call.
    pub fn starting_at(now: UnixMillis) -> Self {
        Self {
            initial_time: now,
            started: Instant::now(),
        }
    }

    /// Returns the current time of day.
    pub fn now(&self) -> UnixMillis {
        self.initial_time.saturating_add(self.started.elapsed())
    }
}

impl Default for WallClock {
    fn default() -> Self {
        Self::starting_at(UnixMillis::now())
    }
}
