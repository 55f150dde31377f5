//! Eras of a table that may come back from an older copy.
//!
//! A copy lacks what was written after it was made. The absence of a row therefore only tells that nothing was
//! written in the present era.

use derive_more::{Display, From, FromStr};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

/// `StoreEra` is the number of times that a table came back from a copy.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Returns whether the table may have lost what was written in an earlier era.
    pub fn has_predecessor(self) -> bool {
        self > Self::default()
    }
}

/// `SeenEra` is the era that the last answers of a table stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenEra {
    /// The era.
    pub era: StoreEra,
    /// Time at which this process first learned of it. The restore that began it is at least as old.
    pub since: Instant,
}

/// `EraView` follows the era of a table. It is empty before the first answer, and stays empty for a table that
/// states no eras and never loses what it has acknowledged.
#[derive(Debug, Clone)]
pub struct EraView(watch::Receiver<Option<SeenEra>>);

impl EraView {
    /// Builds a view of the era in `seen`.
    pub fn new(seen: watch::Receiver<Option<SeenEra>>) -> Self {
        Self(seen)
    }

    /// Builds the view of a table that states no eras.
    pub fn without_eras() -> Self {
        Self(watch::channel(None).1)
    }

    /// Returns the present era, if an answer has stated one.
    pub fn seen(&self) -> Option<SeenEra> {
        *self.0.borrow()
    }

    /// Returns the number of the present era, if an answer has stated one.
    pub fn era(&self) -> Option<StoreEra> {
        self.seen().map(|seen| seen.era)
    }
}
