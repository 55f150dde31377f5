//! Monotonic time in the form that the policy crate uses.

use std::sync::OnceLock;

use tokio::time::Instant;
use verbenahead_policy::Timestamp;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the monotonic time since the first call in this process.
pub fn policy_now() -> Timestamp {
    let start = START.get_or_init(Instant::now);
    Timestamp(start.elapsed())
}

/// Converts an instant to a policy timestamp. Instants before the first call become zero.
pub fn policy_time(instant: Instant) -> Timestamp {
    let start = START.get_or_init(Instant::now);
    Timestamp(instant.saturating_duration_since(*start))
}
