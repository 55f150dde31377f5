//! Memory for the bodies of requests.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use verbenahead_core::units::ByteSize;

/// `BodyBudget` bounds the memory that the bodies of all requests take together.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    used: Arc<AtomicU64>,
    limit: u64,
}

impl BodyBudget {
    /// Builds a budget of `limit`.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            used: Arc::default(),
            limit: limit.0,
        }
    }

    /// Returns the share of a body that has not begun to arrive.
    pub fn share(&self) -> BodyShare {
        BodyShare {
            used: Arc::clone(&self.used),
            limit: self.limit,
            taken: 0,
        }
    }

    /// Returns what all shares take.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used.load(Ordering::Relaxed))
    }
}

/// `BodyShare` is what one body takes. Dropping it gives that back.
#[derive(Debug)]
pub struct BodyShare {
    used: Arc<AtomicU64>,
    limit: u64,
    taken: u64,
}

impl BodyShare {
    /// Takes `bytes` more. Returns whether they were left.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let grow = |used: u64| Some(used + bytes).filter(|used| *used <= self.limit);
        let grown = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        if grown.is_ok() {
            self.taken += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.used.fetch_sub(self.taken, Ordering::Relaxed);
    }
}
