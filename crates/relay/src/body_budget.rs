//! Limit on the memory that request bodies take.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use verbenahead_core::units::ByteSize;

/// `BodyBudget` limits the memory that the bodies of all requests take together.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    used: Arc<AtomicU64>,
    limit: u64,
}

impl BodyBudget {
    /// Builds a budget of `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        Self {
            used: Arc::default(),
            limit: limit.0,
        }
    }

    /// Returns an empty reservation for a body that has not begun to arrive.
    pub fn reservation(&self) -> BodyReservation {
        BodyReservation {
            used: Arc::clone(&self.used),
            limit: self.limit,
            reserved: 0,
        }
    }

    /// Returns the memory that all reservations hold.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used.load(Ordering::Relaxed))
    }
}

/// `BodyReservation` is the memory reserved for one body. Dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation {
    used: Arc<AtomicU64>,
    limit: u64,
    reserved: u64,
}

impl BodyReservation {
    /// Reserves `bytes` more. Returns `false` and reserves nothing if they exceed the budget.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let grow = |used: u64| Some(used + bytes).filter(|used| *used <= self.limit);
        let grown = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow);
        if grown.is_ok() {
            self.reserved += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}
