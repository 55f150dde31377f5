//! Wall-clock time as it is kept in rows.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `UnixMillis` is a wall-clock time in milliseconds since 1970. No safety property rests on it.
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

    /// Returns the time that is `duration` later.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
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

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
