//! Points in time that nodes exchange.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// `UnixMillis` is a point in time in milliseconds since the Unix epoch.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Reads the clock of the machine.
    pub fn now() -> Self {
        SystemTime::now().into()
    }

    /// Returns the time `period` later.
    #[must_use]
    pub fn saturating_add(self, period: Duration) -> Self {
        Self(self.0.saturating_add(millis(period)))
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(time: SystemTime) -> Self {
        Self(millis(time.duration_since(UNIX_EPOCH).unwrap_or_default()))
    }
}

fn millis(period: Duration) -> u64 {
    u64::try_from(period.as_millis()).unwrap_or(u64::MAX)
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
