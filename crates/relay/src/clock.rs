//! The time that policies are given.

use std::sync::OnceLock;

use tokio::time::Instant;
use verbenahead_policy::Timestamp;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the first call in this process, on the monotonic clock.
pub fn policy_now() -> Timestamp {
    let start = START.get_or_init(Instant::now);
    Timestamp(start.elapsed())
}

/// Returns an instant as policies see it.
pub fn policy_time(instant: Instant) -> Timestamp {
    let start = START.get_or_init(Instant::now);
    Timestamp(instant.saturating_duration_since(*start))
}
