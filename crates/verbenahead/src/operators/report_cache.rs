//! A cache that shares the latest report among concurrent readers.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::Mutex as AsyncMutex, time::Instant};

/// `ReportCache` holds the latest report, so that concurrent readers share it.
pub(super) struct ReportCache<T> {
    max_age: Duration,
    cached: Mutex<Option<CachedReport<T>>>,
    /// Held while a report is built, so that only one is built at a time.
    build_lock: AsyncMutex<()>,
}

struct CachedReport<T> {
    built_at: Instant,
    report: Arc<T>,
}

impl<T> ReportCache<T> {
    /// Builds an empty cache whose reports are fresh for `max_age`.
    pub(super) fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            cached: Mutex::default(),
            build_lock: AsyncMutex::default(),
        }
    }

    /// Returns a fresh report, building it with `build` if the cache has none.
    pub(super) async fn get_or_build(
        &self,
        build: impl Future<Output = Option<T>>,
    ) -> Option<Arc<T>> {
        if let Some(report) = self.get_fresh() {
            return Some(report);
        }
        let _guard = self.build_lock.lock().await;
        match self.get_fresh() {
            Some(report) => Some(report),
            None => self.build_and_store(build).await,
        }
    }

    /// Builds a report if there is no fresh one and none is being built.
    pub(super) async fn refresh(&self, build: impl Future<Output = Option<T>>) {
        if let Ok(_guard) = self.build_lock.try_lock()
            && self.get_fresh().is_none()
        {
            self.build_and_store(build).await;
        }
    }

    /// Returns the latest report, whatever its age.
    pub(super) fn get_latest(&self) -> Option<Arc<T>> {
        self.get_if(|_| true)
    }

    /// Returns the latest report if it is fresh.
    pub(super) fn get_fresh(&self) -> Option<Arc<T>> {
        self.get_if(|cached| cached.built_at.elapsed() < self.max_age)
    }

    async fn build_and_store(&self, build: impl Future<Output = Option<T>>) -> Option<Arc<T>> {
        let report = Arc::new(build.await?);
        let cached = CachedReport {
            built_at: Instant::now(),
            report: Arc::clone(&report),
        };
        *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = Some(cached);
        Some(report)
    }

    fn get_if(&self, is_wanted: impl Fn(&CachedReport<T>) -> bool) -> Option<Arc<T>> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = cached.as_ref().filter(|cached| is_wanted(cached))?;
        Some(Arc::clone(&cached.report))
    }
}
