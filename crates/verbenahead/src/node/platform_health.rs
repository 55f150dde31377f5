//! Whether the platform answers.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

#[derive(Debug, Default)]
struct Seen {
    last_answer: Option<Instant>,
    has_failed_since: bool,
}

/// `PlatformHealth` remembers how the last calls to the platform ended.
#[derive(Debug, Default)]
pub struct PlatformHealth(Mutex<Seen>);

impl PlatformHealth {
    /// Notes an answered call.
    pub fn record_success(&self) {
        *self.lock() = Seen {
            last_answer: Some(Instant::now()),
            has_failed_since: false,
        };
    }

    /// Notes a failed call.
    pub fn record_failure(&self) {
        self.lock().has_failed_since = true;
    }

    /// Returns whether the last call was answered.
    pub fn is_reachable(&self) -> bool {
        let seen = self.lock();
        seen.last_answer.is_some() && !seen.has_failed_since
    }

    /// Returns the time since the last answer, if there was one.
    pub fn last_answer_age(&self) -> Option<Duration> {
        self.lock().last_answer.map(|answer| answer.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
