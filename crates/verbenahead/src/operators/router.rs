//! Routes and shared state of the operator API.

use std::{sync::Arc, time::Duration};

use axum::{Router, middleware, routing::get};
use http::StatusCode;
use tokio::sync::{Semaphore, watch};
use verbenahead_relay::MemoryBudget;

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

/// `OperatorApiOptions` bounds the load that operators put on the node.
#[derive(Debug, Clone, Copy)]
pub struct OperatorApiOptions {
    /// Maximum age of a cached burn report.
    pub burn_max_age: Duration,
    /// Maximum age of a cached view of the deployment.
    pub status_max_age: Duration,
    /// Interval between two events of the status page.
    pub event_period: Duration,
    /// Maximum number of status pages with an open event stream.
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

/// `OperatorApi` is the state shared by the handlers of the operator API. Clones share it.
#[derive(Clone)]
pub struct OperatorApi(Arc<ApiState>);

struct ApiState {
    backend: Arc<dyn OperatorBackend>,
    keys: OperatorKeys,
    metrics: Metrics,
    options: OperatorApiOptions,
    memory: MemoryBudget,
    burn: ReportCache<BurnReport>,
    status: ReportCache<StatusReport>,
    page_permits: Arc<Semaphore>,
    closing: watch::Receiver<()>,
}

impl OperatorApi {
    /// Builds the state. Event streams end when the sender of `closing` is dropped. Publications take their memory from
    /// `memory`.
    pub fn new(
        backend: Arc<dyn OperatorBackend>,
        keys: OperatorKeys,
        metrics: Metrics,
        closing: watch::Receiver<()>,
        memory: MemoryBudget,
        options: OperatorApiOptions,
    ) -> Self {
        Self(Arc::new(ApiState {
            backend,
            keys,
            metrics,
            burn: ReportCache::new(options.burn_max_age),
            status: ReportCache::new(options.status_max_age),
            page_permits: Arc::new(Semaphore::new(options.max_pages)),
            options,
            memory,
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

    pub(super) fn memory(&self) -> &MemoryBudget {
        &self.0.memory
    }

    pub(super) fn options(&self) -> OperatorApiOptions {
        self.0.options
    }

    pub(super) fn page_permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.0.page_permits)
    }

    pub(super) fn closing(&self) -> watch::Receiver<()> {
        self.0.closing.clone()
    }

    /// Returns this node's view of the deployment from the cache. It is cached because building it
    /// may query the other nodes.
    pub(super) async fn status(&self) -> Arc<StatusReport> {
        let build = async { Some(self.backend().status().await) };
        match self.0.status.get_or_build(build).await {
            Some(status) => status,
            None => Arc::new(self.backend().status().await),
        }
    }

    /// Returns a fresh burn report, building one if there is none.
    pub(super) async fn burn(&self) -> Option<Arc<BurnReport>> {
        self.0.burn.get_or_build(self.backend().burn()).await
    }

    /// Returns the latest burn report without waiting, and starts a refresh in the background if it
    /// is no longer fresh.
    ///
    /// Building a report may wait for nodes that do not answer, and a page must not wait for them.
    pub(super) fn latest_burn(&self) -> Option<Arc<BurnReport>> {
        if self.0.burn.get_fresh().is_none() {
            let api = self.clone();
            tokio::spawn(async move { api.0.burn.refresh(api.backend().burn()).await });
        }
        self.0.burn.get_latest()
    }
}

/// Builds the routes of the operator API and the status page.
///
/// All routes but `/healthz` and `/readyz` require a credential.
pub fn router(api: OperatorApi) -> Router {
    let require_credential =
        middleware::from_fn_with_state(api.clone(), access::require_credential);
    let authenticated = Router::new()
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
        .layer(require_credential);
    Router::new()
        .route("/healthz", get(health::healthz))
        .route("/readyz", get(health::readyz))
        .merge(authenticated)
        .with_state(api)
}

async fn not_found() -> OperatorProblem {
    OperatorProblem::new("not-found", StatusCode::NOT_FOUND, "there is no such path")
}
