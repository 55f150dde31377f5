//! Workers of the booking stand-in, and its load.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use verbenahead_upstream::LoadReport;

/// `Workers` bounds the calls that run at a time.
#[derive(Debug)]
pub(super) struct Workers {
    count: usize,
    free: Arc<Semaphore>,
    waiting: AtomicU32,
}

impl Workers {
    pub(super) fn new(count: usize) -> Self {
        let count = count.clamp(1, Semaphore::MAX_PERMITS);
        Self {
            count,
            free: Arc::new(Semaphore::new(count)),
            waiting: AtomicU32::new(0),
        }
    }

    /// Waits for a free worker. It is free again when the permit is dropped.
    pub(super) async fn take(&self) -> Option<OwnedSemaphorePermit> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = Arc::clone(&self.free).acquire_owned().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        permit.ok()
    }

    pub(super) fn load(&self) -> LoadReport {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        LoadReport {
            running: count(self.count - self.free.available_permits()),
            queued: self.waiting.load(Ordering::Relaxed),
            batch_limit: count(self.count),
            queued_tokens: 0,
            age_ms: 0,
        }
    }
}
