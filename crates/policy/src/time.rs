//! Time on a monotonic clock.

use std::time::Duration;

use derive_more::{From, Into};

/// `Timestamp` is a point on a monotonic clock, as the time since an origin that the caller
/// chooses. Timestamps of two processes are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct Timestamp(pub Duration);

impl Timestamp {
    /// Returns the timestamp `seconds` after the origin.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Self(Duration::from_secs_f64(seconds))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the timestamp `delay` later. It saturates at the largest duration.
    #[must_use]
    pub fn plus(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }

    /// Returns the timestamp `delay` earlier, or the origin if that would be before it.
    #[must_use]
    pub fn minus(self, delay: Duration) -> Self {
        Self(self.0.saturating_sub(delay))
    }
}
