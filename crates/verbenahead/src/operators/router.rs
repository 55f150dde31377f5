//! Routes of the operator API.

use std::{sync::Arc, time::Duration};

use axum::{Router, middleware, routing::get};
use http::StatusCode;
use tokio::sync::{Semaphore, watch};

use crate::{burn::BurnReport, telemetry::metrics::Metrics};

use super::{
    access::{self, OperatorKeys},
    backend::OperatorBackend,
    health, manifest_routes, page,
    problem::OperatorProblem,
    read_routes,
    report_cache::ReportCache,
    status::StatusReport,
};

/// `OperatorApiOptions` bound what the operator API costs.
#[derive(Debug, Clone, Copy)]
pub struct OperatorApiOptions {
    /// Time for which a burn report is shown again.
    pub burn_max_age: Duration,
    /// Time for which a view of the deployment is shown again.
    pub status_max_age: Duration,
    /// Time between two events of the status page.
    pub event_period: Duration,
    /// Most status pages that are open at a time.
    pub max_pages: usize,
}

impl Default for OperatorApiOptions {
    fn default() -> Self {
        Self {
            burn_max_age: Duration::from_secs(15),
            status_max_age: Duration::from_millis(500),
            event_period: Duration::from_secs(2),
            max_pages: 64,
        }
    }
}

/// `OperatorApi` is the state of the operator API. Clones share it.
#[derive(Clone)]
pub struct OperatorApi(Arc<Shared>);

struct Shared {
    backend: Arc<dyn OperatorBackend>,
    keys: OperatorKeys,
    metrics: Metrics,
    options: OperatorApiOptions,
    burn: ReportCache<BurnReport>,
    status: ReportCache<StatusReport>,
    pages: Arc<Semaphore>,
    closing: watch::Receiver<()>,
}

impl OperatorApi {
    /// Builds the state. Event streams end when the sender of `closing` is dropped.
    pub fn new(
        backend: Arc<dyn OperatorBackend>,
        keys: OperatorKeys,
        metrics: Metrics,
        closing: watch::Receiver<()>,
        options: OperatorApiOptions,
    ) -> Self {
        Self(Arc::new(Shared {
            backend,
            keys,
            metrics,
            burn: ReportCache::new(options.burn_max_age),
            status: ReportCache::new(options.status_max_age),
            pages: Arc::new(Semaphore::new(options.max_pages)),
            options,
            closing,
        }))
    }

    pub(super) fn backend(&self) -> &dyn OperatorBackend {
        self.0.backend.as_ref()
    }

    pub(super) fn keys(&self) -> &OperatorKeys {
        &self.0.keys
    }

    pub(super) fn metrics(&self) -> &Metrics {
        &self.0.metrics
    }

    pub(super) fn options(&self) -> OperatorApiOptions {
        self.0.options
    }

    pub(super) fn pages(&self) -> Arc<Semaphore> {
        Arc::clone(&self.0.pages)
    }

    pub(super) fn closing(&self) -> watch::Receiver<()> {
        self.0.closing.clone()
    }

    /// Returns this node's view of the deployment. Open pages share it, since it may ask the
    /// other nodes.
    pub(super) async fn status(&self) -> Arc<StatusReport> {
        let make = async { Some(self.backend().status().await) };
        match self.0.status.fresh(make).await {
            Some(status) => status,
            None => Arc::new(self.backend().status().await),
        }
    }

    /// Returns a burn report that is fresh, after making one if there is none.
    pub(super) async fn burn(&self) -> Option<Arc<BurnReport>> {
        self.0.burn.fresh(self.backend().burn()).await
    }

    /// Returns the last burn report at once, and has a new one made if it is old.
    ///
    /// A report may wait for nodes that do not answer; a page must not.
    pub(super) fn last_burn(&self) -> Option<Arc<BurnReport>> {
        if self.0.burn.held_fresh().is_none() {
            let api = self.clone();
            tokio::spawn(async move { api.0.burn.refresh(api.backend().burn()).await });
        }
        self.0.burn.last()
    }
}

/// Builds the routes of the operator API and the status page.
///
/// Health and readiness need no credential; everything else does.
pub fn router(api: OperatorApi) -> Router {
    let check = middleware::from_fn_with_state(api.clone(), access::check);
    let guarded = Router::new()
        .route("/", get(page::get))
        .route("/room.js", get(page::script))
        .route("/events", get(page::events))
        .route("/burn", get(read_routes::burn_page))
        .route(
            "/v1/manifest",
            get(manifest_routes::get).put(manifest_routes::put),
        )
        .route("/v1/manifest/history", get(manifest_routes::history))
        .route(
            "/v1/manifest/{generation}",
            get(manifest_routes::get_generation),
        )
        .route("/v1/status", get(read_routes::status))
        .route("/v1/burn", get(read_routes::burn))
        .route("/metrics", get(read_routes::metrics))
        .fallback(not_found)
        .layer(check);
    Router::new()
        .route("/healthz", get(health::healthz))
        .route("/readyz", get(health::readyz))
        .merge(guarded)
        .with_state(api)
}

async fn not_found() -> OperatorProblem {
    OperatorProblem::new("not-found", StatusCode::NOT_FOUND, "there is no such path")
}
