//! Routes of the callers' API and what its handlers share.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    routing::{any, get, post},
};
use http::HeaderMap;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use verbenahead_manifest::Service;

use crate::{
    callers::{
        auth::Caller,
        completions,
        problem::{Problem, ProblemKind},
        resume, services,
    },
    node::{generation::GenerationRequest, serving::Serving},
};

/// Time to tell callers to wait before the next try.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Permit` holds the place of one admitted request until it is dropped.
#[derive(Debug)]
pub struct Permit(#[allow(dead_code)] OwnedSemaphorePermit);

/// `CallerState` is what the handlers of the callers' API share.
pub struct CallerState {
    /// The serving node.
    pub serving: Arc<Serving>,
    requests: Arc<Semaphore>,
}

impl CallerState {
    /// Builds the state of a serving node.
    pub fn new(serving: Arc<Serving>) -> Self {
        let requests = Arc::new(Semaphore::new(serving.limits.max_concurrent_requests));
        Self { serving, requests }
    }

    /// Finds the workspace of a request under the manifest in force.
    ///
    /// # Errors
    ///
    /// A [`Problem`] when no manifest is in force or the key is not known.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Problem> {
        let manifest = self.serving.manifest.current().ok_or_else(|| {
            Problem::attempt_not_run(ProblemKind::Unavailable, "no manifest is in force yet")
                .with_retry_after(RETRY_AFTER)
        })?;
        Caller::authenticate(manifest, headers)
    }

    /// Admits a model request.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with the time at which a retry may help.
    pub fn admit(
        &self,
        _caller: &Caller,
        _service: &Service,
        _req: &GenerationRequest,
    ) -> Result<Permit, Problem> {
        self.take_place().ok_or_else(|| {
            Problem::not_run(
                ProblemKind::Overloaded,
                "the node has no place for the request",
            )
            .with_retry_after(RETRY_AFTER)
        })
    }

    /// Takes the place of one request, if there is one.
    pub fn take_place(&self) -> Option<Permit> {
        let place = Arc::clone(&self.requests).try_acquire_owned().ok()?;
        Some(Permit(place))
    }
}

/// Builds the routes of the callers' API.
pub fn router(serving: Arc<Serving>) -> Router {
    let state = Arc::new(CallerState::new(serving));
    Router::new()
        .route("/v1/chat/completions", post(completions::complete))
        .route("/v1/completions", post(completions::complete))
        .route("/v1/models", get(completions::models))
        .route("/v1/requests/{id}", get(resume::resume))
        .route("/v1/services/{service}/{*path}", any(services::call))
        .fallback(not_found)
        .with_state(state)
}

async fn not_found() -> Problem {
    Problem::not_run(ProblemKind::NotFound, "there is no such path")
}
