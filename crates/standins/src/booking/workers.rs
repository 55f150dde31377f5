//! Concurrency limit of the booking stand-in, and its load report.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use verbenahead_upstream::LoadReport;

/// `Workers` limits the number of concurrent calls.
#[derive(Debug)]
pub(super) struct Workers {
    count: usize,
    semaphore: Arc<Semaphore>,
    queued: AtomicU32,
}

impl Workers {
    pub(super) fn new(count: usize) -> Self {
        let count = count.clamp(1, Semaphore::MAX_PERMITS);
        Self {
            count,
            semaphore: Arc::new(Semaphore::new(count)),
            queued: AtomicU32::new(0),
        }
    }

    /// Waits for a free worker. Dropping the permit frees the worker.
    pub(super) async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.queued.fetch_add(1, Ordering::Relaxed);
        let permit = Arc::clone(&self.semaphore).acquire_owned().await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        permit.ok()
    }

    pub(super) fn load(&self) -> LoadReport {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        LoadReport {
            running: count(self.count - self.semaphore.available_permits()),
            queued: self.queued.load(Ordering::Relaxed),
            batch_limit: count(self.count),
            queued_tokens: 0,
            age_ms: 0,
        }
    }
}
