//! The burn report that was made last.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::Mutex as AsyncMutex, time::Instant};

use crate::burn::BurnReport;

use super::backend::OperatorBackend;

/// `BurnCache` makes a burn report at most once in a while.
pub(super) struct BurnCache {
    max_age: Duration,
    held: Mutex<Option<Held>>,
    /// Held while a report is made, so that only one is made at a time.
    making: AsyncMutex<()>,
}

#[derive(Clone)]
struct Held {
    made_at: Instant,
    report: Arc<BurnReport>,
}

impl BurnCache {
    /// Builds an empty cache whose reports are shown again for `max_age`.
    pub(super) fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            held: Mutex::default(),
            making: AsyncMutex::default(),
        }
    }

    /// Returns a report that is fresh, after making one if there is none.
    pub(super) async fn fresh(&self, backend: &dyn OperatorBackend) -> Option<Arc<BurnReport>> {
        if let Some(report) = self.held_fresh() {
            return Some(report);
        }
        let _making = self.making.lock().await;
        match self.held_fresh() {
            Some(report) => Some(report),
            None => self.make(backend).await,
        }
    }

    /// Makes a report if the held one is old and none is being made.
    pub(super) async fn refresh(&self, backend: &dyn OperatorBackend) {
        if let Ok(_making) = self.making.try_lock()
            && self.held_fresh().is_none()
        {
            self.make(backend).await;
        }
    }

    /// Returns the last report, however old.
    pub(super) fn last(&self) -> Option<Arc<BurnReport>> {
        self.held().map(|held| held.report)
    }

    /// Returns the last report if it is fresh.
    pub(super) fn held_fresh(&self) -> Option<Arc<BurnReport>> {
        let held = self.held()?;
        (held.made_at.elapsed() < self.max_age).then_some(held.report)
    }

    async fn make(&self, backend: &dyn OperatorBackend) -> Option<Arc<BurnReport>> {
        let report = Arc::new(backend.burn().await?);
        let held = Held {
            made_at: Instant::now(),
            report: Arc::clone(&report),
        };
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = Some(held);
        Some(report)
    }

    fn held(&self) -> Option<Held> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.clone()
    }
}
