//! Protection of a lease from a table that comes back from an older copy.
//!
//! The copy may lack the claim of the present holder, show a lease as released that was acquired since, or
//! show an earlier holder's record as the latest. A lease therefore ends for its holder with the restore,
//! whatever its row shows, and a candidate waits for a term after it has first seen the era, in which the term of a
//! holder ends that has not noticed. That includes a process that has just started: the restore may be as young as
//! its first answer. Fencing numbers that were lost with the row are not given out again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use verbenahead_core::{FencingNumber, time::UnixMillis};
use verbenahead_services::{EraView, StoreEra};

/// Unix time at the start of 2026 in milliseconds, from which fencing numbers count seconds.
const FENCING_EPOCH: UnixMillis = UnixMillis(1_767_225_600_000);

/// Number of low bits of a fencing number below the era.
const ERA_SHIFT: u32 = 36;

/// Highest era that fencing numbers tell apart. They stay below 2^53, so that receivers may keep them in a
/// double-precision number.
const MAX_ERA: u64 = (1 << (53 - ERA_SHIFT)) - 1;

/// `RestoreGuard` knows the era of a table and the fencing numbers in use.
#[derive(Debug, Clone)]
pub struct RestoreGuard(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    eras: EraView,
    highest_fencing: AtomicU64,
}

impl RestoreGuard {
    /// Builds a guard that follows the era of the table.
    pub fn new(eras: EraView) -> Self {
        Self(Arc::new(Inner {
            eras,
            highest_fencing: AtomicU64::new(0),
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

    /// Returns the present era of the table, if it states eras.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        self.0.eras.era()
    }

    /// Returns whether the present era is known for `term`, or is the first one.
    pub(crate) fn is_settled(&self, term: Duration) -> bool {
        let seen = self.0.eras.seen();
        seen.is_none_or(|seen| !seen.era.has_predecessor() || seen.since.elapsed() >= term)
    }

    /// Returns whether the table may have lost the claim of a holder.
    pub(crate) fn may_lack_claims(&self) -> bool {
        self.era().is_some_and(StoreEra::has_predecessor)
    }

    /// Returns the fencing number of a new holder: higher than that of the row, than all known ones and than all
    /// of earlier eras, because the row and all nodes may have been lost. Within an era it is not lower than the
    /// time of day in seconds. It is not given out again.
    pub(crate) fn next_fencing(&self, previous: FencingNumber) -> FencingNumber {
        let known = self.0.highest_fencing.load(Ordering::Relaxed);
        let seconds = UnixMillis::now().since(FENCING_EPOCH).as_secs();
        let era = self.era().unwrap_or_default().0.min(MAX_ERA);
        let next = previous
            .next()
            .max(FencingNumber(known).next())
            .max(FencingNumber(era << ERA_SHIFT | seconds));
        self.record_fencing(next);
        next
    }
}
