//! Time on a monotonic clock.

use std::time::Duration;

use derive_more::{From, Into};

/// `Timestamp` is a point on a monotonic clock, as the time since an origin of the caller's
/// choice. Timestamps of two processes cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct Timestamp(pub Duration);

impl Timestamp {
    /// Returns the timestamp that lies `seconds` after the origin.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Self(Duration::from_secs_f64(seconds))
    }

    /// Returns the time since `earlier`, or zero when `earlier` lies in the future.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the timestamp that lies `delay` later.
    #[must_use]
    pub fn plus(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }

    /// Returns the timestamp that lies `delay` earlier, or the origin.
    #[must_use]
    pub fn minus(self, delay: Duration) -> Self {
        Self(self.0.saturating_sub(delay))
    }
}
