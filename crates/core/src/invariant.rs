//! Invariant checks that are also active in release builds.
//!
//! A broken invariant is counted, and logged with the relevant state. In builds with debug
//! assertions, which include tests, it also panics.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN_COUNT: AtomicU64 = AtomicU64::new(0);

/// Returns the number of invariant checks that failed in this process.
pub fn broken_count() -> u64 {
    BROKEN_COUNT.load(Ordering::Relaxed)
}

/// Counts and logs a broken invariant. Called by [`invariant!`](crate::invariant!).
pub fn report(name: &'static str, state: &str) {
    BROKEN_COUNT.fetch_add(1, Ordering::Relaxed);
    tracing::error!(invariant = name, state, "invariant broken");
    debug_assert!(false, "invariant `{name}` broken: {state}");
}

/// Checks a condition that must hold at all times.
///
/// The first argument names the invariant, the second is the condition, and the rest is a format
/// string with the state to log.
#[macro_export]
macro_rules! invariant {
    ($name:literal, $condition:expr, $($state:tt)+) => {
        if !$condition {
            $crate::invariant::report($name, &format!($($state)+));
        }
    };
}
