//! Points in time that are kept, exchanged and shown.

use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

const MILLIS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_DAY: u64 = 24 * 60 * 60;

/// `UnixMillis` is a point in time in milliseconds since the Unix epoch. It shows as a date and
/// time in UTC. No safety property rests on it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Reads the clock of the machine.
    pub fn now() -> Self {
        SystemTime::now().into()
    }

    /// Returns the time that is `period` later.
    #[must_use]
    pub fn saturating_add(self, period: Duration) -> Self {
        Self(self.0.saturating_add(millis(period)))
    }

    /// Returns the time that is `period` earlier.
    #[must_use]
    pub fn saturating_sub(self, period: Duration) -> Self {
        Self(self.0.saturating_sub(millis(period)))
    }

    /// Returns the time passed since `earlier`, or zero when `earlier` is later.
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
        let of_day = seconds % SECONDS_PER_DAY;
        let (hour, minute, second) = (of_day / 3_600, of_day / 60 % 60, of_day % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z"
        )
    }
}

fn millis(period: Duration) -> u64 {
    u64::try_from(period.as_millis()).unwrap_or(u64::MAX)
}

/// Returns year, month and day of a day counted from 1970-01-01, in the Gregorian calendar.
///
/// The year is taken to begin in March, so that the leap day is the last of its year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_BEFORE_EPOCH: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_BEFORE_EPOCH;
    let era = days / DAYS_PER_ERA;
    let of_era = days % DAYS_PER_ERA;
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Returns how long the machine was suspended since it started. The monotonic clock does not count
/// that time, so a promise that ends by it has to be checked for this besides.
pub fn suspended_time() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    let with_suspension = read(ClockId::CLOCK_BOOTTIME);
    let without = read(ClockId::CLOCK_MONOTONIC);
    match (with_suspension, without) {
        (Ok(with_suspension), Ok(without)) => with_suspension.saturating_sub(without),
        // Both clocks exist on every system that the program runs on.
        _ => Duration::ZERO,
    }
}

/// `SteadyClock` counts the time since its start, that of suspensions included.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    started: Instant,
    suspended_before: Duration,
}

impl SteadyClock {
    /// Returns the time since the start.
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

/// `WallClock` tells the time of day by the monotonic clock, so that it follows paused time in
/// tests and never goes back.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started_at: UnixMillis,
    started: Instant,
}

impl WallClock {
    /// Starts a clock that shows `now` at this moment.
    pub fn starting_at(now: UnixMillis) -> Self {
        Self {
            started_at: now,
            started: Instant::now(),
        }
    }

    /// Returns the time of day.
    pub fn now(&self) -> UnixMillis {
        self.started_at.saturating_add(self.started.elapsed())
    }
}

impl Default for WallClock {
    fn default() -> Self {
        Self::starting_at(UnixMillis::now())
    }
}
