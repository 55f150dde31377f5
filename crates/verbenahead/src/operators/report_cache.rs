//! Reports that are shown to many and made for one.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::Mutex as AsyncMutex, time::Instant};

/// `ReportCache` holds the report that was made last, so that open pages share it.
pub(super) struct ReportCache<T> {
    max_age: Duration,
    held: Mutex<Option<Held<T>>>,
    /// Held while a report is made, so that only one is made at a time.
    making: AsyncMutex<()>,
}

struct Held<T> {
    made_at: Instant,
    report: Arc<T>,
}

impl<T> ReportCache<T> {
    /// Builds an empty cache whose report is fresh for `max_age`.
    pub(super) fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            held: Mutex::default(),
            making: AsyncMutex::default(),
        }
    }

    /// Returns a fresh report. It is made by `make` if there is none.
    pub(super) async fn fresh(&self, make: impl Future<Output = Option<T>>) -> Option<Arc<T>> {
        if let Some(report) = self.held_fresh() {
            return Some(report);
        }
        let _making = self.making.lock().await;
        match self.held_fresh() {
            Some(report) => Some(report),
            None => self.make(make).await,
        }
    }

    /// Makes a report if there is no fresh one and none is being made.
    pub(super) async fn refresh(&self, make: impl Future<Output = Option<T>>) {
        if let Ok(_making) = self.making.try_lock()
            && self.held_fresh().is_none()
        {
            self.make(make).await;
        }
    }

    /// Returns the last report, however old.
    pub(super) fn last(&self) -> Option<Arc<T>> {
        self.held(|_| true)
    }

    /// Returns the last report if it is fresh.
    pub(super) fn held_fresh(&self) -> Option<Arc<T>> {
        self.held(|held| held.made_at.elapsed() < self.max_age)
    }

    async fn make(&self, make: impl Future<Output = Option<T>>) -> Option<Arc<T>> {
        let report = Arc::new(make.await?);
        let held = Held {
            made_at: Instant::now(),
            report: Arc::clone(&report),
        };
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = Some(held);
        Some(report)
    }

    fn held(&self, is_wanted: impl Fn(&Held<T>) -> bool) -> Option<Arc<T>> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let held = held.as_ref().filter(|held| is_wanted(held))?;
        Some(Arc::clone(&held.report))
    }
}
