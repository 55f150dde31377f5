//! Whether the platform answers.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// Time after a failed call for which the platform counts as unreachable.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// `PlatformHealth` remembers the last failed call to the platform.
#[derive(Debug, Default)]
pub struct PlatformHealth {
    last_failure: Mutex<Option<Instant>>,
}

impl PlatformHealth {
    /// Notes a failed call.
    pub fn failed(&self) {
        let mut last = self
            .last_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last = Some(Instant::now());
    }

    /// Returns whether no call has failed of late.
    pub fn is_reachable(&self) -> bool {
        let last = self
            .last_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.is_none_or(|failure| failure.elapsed() > FAILURE_MEMORY)
    }
}
