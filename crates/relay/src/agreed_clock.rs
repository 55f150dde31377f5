//! Wall-clock time that the nodes of a deployment agree on.

use std::sync::atomic::{AtomicI64, Ordering};

use verbenahead_core::time::{SteadyClock, UnixMillis};

/// `AgreedClock` is a wall clock that follows the time agreed on by the majority of nodes. Between
/// two calls of [`set`](Self::set) it advances with the monotonic clock, so a jump of the machine's
/// own wall clock does not affect it.
#[derive(Debug)]
pub struct AgreedClock {
    steady: SteadyClock,
    /// Milliseconds from the Unix epoch to the origin of `steady`.
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
    /// Sets the current wall-clock time.
    pub fn set(&self, now: UnixMillis) {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        self.offset
            .store(now.saturating_sub(self.elapsed()), Ordering::Relaxed);
    }

    /// Returns the current wall-clock time.
    pub fn now(&self) -> UnixMillis {
        let now = self.offset.load(Ordering::Relaxed) + self.elapsed();
        UnixMillis(u64::try_from(now).unwrap_or_default())
    }

    fn elapsed(&self) -> i64 {
        i64::try_from(self.steady.elapsed().as_millis()).unwrap_or(i64::MAX)
    }
}
