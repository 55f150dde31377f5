//! The time of day as most nodes see it.

use std::sync::atomic::{AtomicI64, Ordering};

use verbenahead_core::time::{SteadyClock, UnixMillis};

/// `AgreedClock` tells the time of day. It goes on with the steady clock between two settings, so
/// a machine whose clock jumps does not follow the jump.
#[derive(Debug)]
pub struct AgreedClock {
    steady: SteadyClock,
    /// Milliseconds from the Unix epoch to the start.
    offset: AtomicI64,
}

impl Default for AgreedClock {
    fn default() -> Self {
        let clock = Self {
            steady: SteadyClock::default(),
            offset: AtomicI64::new(0),
        };
        clock.set(UnixMillis::now());
        clock
    }
}

impl AgreedClock {
    /// Sets the time of day.
    pub fn set(&self, now: UnixMillis) {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        self.offset
            .store(now.saturating_sub(self.elapsed()), Ordering::Relaxed);
    }

    /// Returns the time of day.
    pub fn now(&self) -> UnixMillis {
        let now = self.offset.load(Ordering::Relaxed) + self.elapsed();
        UnixMillis(u64::try_from(now).unwrap_or_default())
    }

    fn elapsed(&self) -> i64 {
        i64::try_from(self.steady.elapsed().as_millis()).unwrap_or(i64::MAX)
    }
}
