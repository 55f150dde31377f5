//! Protection of a lease from a table that comes back from an older copy.
//!
//! The copy may lack the claim of the present holder, show a lease as released that was acquired since, or
//! show an earlier holder's record as the latest. A lease therefore ends for its holder with the restore,
//! whatever its row shows, and a candidate waits for a term after it, in which the term of a holder ends that
//! has not noticed. Fencing numbers that were lost with the row are not given out again.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::watch, time::Instant};
use verbenahead_core::{FencingNumber, time::UnixMillis};

/// Unix time at the start of 2026 in milliseconds, from which fencing numbers count seconds.
const FENCING_EPOCH: UnixMillis = UnixMillis(1_767_225_600_000);

/// `RestoreGuard` knows the restores of a table and the fencing numbers in use.
#[derive(Debug, Clone)]
pub struct RestoreGuard(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    restores: watch::Receiver<u64>,
    highest_fencing: AtomicU64,
    last: Mutex<LastRestore>,
}

#[derive(Debug, Default)]
struct LastRestore {
    count: u64,
    at: Option<Instant>,
}

impl RestoreGuard {
    /// Builds a guard. `restores` receives the number of restores that this process noticed.
    pub fn new(restores: watch::Receiver<u64>) -> Self {
        Self(Arc::new(Inner {
            restores,
            highest_fencing: AtomicU64::new(0),
            last: Mutex::default(),
        }))
    }

    /// Records a fencing number that a holder uses.
    pub fn record_fencing(&self, fencing: FencingNumber) {
        let highest = &self.0.highest_fencing;
        highest.fetch_max(fencing.0, Ordering::Relaxed);
    }

    /// Returns whether a holder is known with a higher fencing number.
    pub(crate) fn is_superseded(&self, fencing: FencingNumber) -> bool {
        self.0.highest_fencing.load(Ordering::Relaxed) > fencing.0
    }

    /// Returns the number of restores that this process has noticed.
    pub(crate) fn restores(&self) -> u64 {
        *self.0.restores.borrow()
    }

    /// Returns whether no restore was noticed for `term`.
    pub(crate) fn is_settled(&self, term: Duration) -> bool {
        let count = self.restores();
        let mut last = self.0.last.lock().unwrap_or_else(PoisonError::into_inner);
        if count != last.count {
            last.count = count;
            last.at = Some(Instant::now());
        }
        last.at.is_none_or(|at| at.elapsed() >= term)
    }

    /// Returns the fencing number of a new holder: higher than that of the row, than all known ones
    /// and than the time of day in seconds, because the row and all nodes may have been lost. It is not given
    /// out again.
    pub(crate) fn next_fencing(&self, previous: FencingNumber) -> FencingNumber {
        let known = self.0.highest_fencing.load(Ordering::Relaxed);
        let seconds = UnixMillis::now().since(FENCING_EPOCH).as_secs();
        let next = previous
            .next()
            .max(FencingNumber(known).next())
            .max(FencingNumber(seconds));
        self.record_fencing(next);
        next
    }
}
