//! Checks of invariants that stay in the shipped program.
//!
//! A broken invariant is logged with its state and counted. In builds with debug assertions,
//! which include tests, it also panics.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Returns how many invariant checks failed in this process.
pub fn broken_count() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts and logs a broken invariant. Called by [`invariant!`](crate::invariant!).
pub fn report(name: &'static str, state: &str) {
    BROKEN.fetch_add(1, Ordering::Relaxed);
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
