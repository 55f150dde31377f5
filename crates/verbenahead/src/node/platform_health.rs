//! Whether the platform's services respond.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

#[derive(Debug, Default)]
struct CallHistory {
    last_answer: Option<Instant>,
    has_failed_since: bool,
}

/// `PlatformHealth` tracks whether the most recent calls to the platform succeeded.
#[derive(Debug, Default)]
pub struct PlatformHealth(Mutex<CallHistory>);

impl PlatformHealth {
    /// Records a call that was answered.
    pub fn record_success(&self) {
        *self.lock() = CallHistory {
            last_answer: Some(Instant::now()),
            has_failed_since: false,
        };
    }

    /// Records a call that failed.
    pub fn record_failure(&self) {
        self.lock().has_failed_since = true;
    }

    /// Returns whether a call was answered and none has failed since.
    pub fn is_reachable(&self) -> bool {
        let history = self.lock();
        history.last_answer.is_some() && !history.has_failed_since
    }

    /// Returns the time since the last answered call, if there was one.
    pub fn last_answer_age(&self) -> Option<Duration> {
        self.lock().last_answer.map(|answer| answer.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, CallHistory> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
