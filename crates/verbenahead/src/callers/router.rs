//! Routes of the callers' API and what its handlers share.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    routing::{any, get, post},
};
use http::HeaderMap;
use verbenahead_core::{WorkspaceId, units::Tokens};
use verbenahead_policy::RefusalReason;
use verbenahead_relay::clock::policy_time;

use crate::{
    callers::{
        auth::Caller,
        chat::estimate_tokens,
        completions,
        problem::{Problem, ProblemKind},
        resume, services,
    },
    node::{
        admission::{AdmittedRequest, ModelAdmissionRequest},
        concurrency_limiter::{ConcurrencyLimiter, ConcurrencyPermit},
        generation::GenerationRequest,
        serving::ServingContext,
    },
};

/// Time to tell callers to wait before the next try.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Admitted` holds what an admitted model request takes until it is dropped.
pub struct Admitted {
    request: Option<AdmittedRequest>,
    _place: ConcurrencyPermit,
}

impl Admitted {
    /// Says how many tokens prompt and answer had.
    pub fn settle(&mut self, used: Tokens) {
        if let Some(request) = &mut self.request {
            request.set_used_tokens(used);
        }
    }
}

/// `CallerState` is what the handlers of the callers' API share.
pub struct CallerState {
    /// The serving node.
    pub serving: Arc<ServingContext>,
    /// Places for requests.
    pub concurrency_limiter: ConcurrencyLimiter,
}

impl CallerState {
    /// Builds the state of a serving node.
    pub fn new(serving: Arc<ServingContext>) -> Self {
        let limits = &serving.limits;
        let concurrency_limiter = ConcurrencyLimiter::new(
            limits.max_concurrent_requests,
            limits.max_concurrent_per_workspace,
        );
        Self {
            serving,
            concurrency_limiter,
        }
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
    pub fn admit(&self, caller: &Caller, req: &GenerationRequest) -> Result<Admitted, Problem> {
        let workspace = &caller.workspace;
        let observer = &self.serving.observer;
        let place = self.take_place(&workspace.id).inspect_err(|_| {
            observer.refused(&workspace.id, &req.service, "no_place");
        })?;
        let demand = ModelAdmissionRequest {
            workspace: &workspace.id,
            service: &req.service,
            priority: workspace.priority,
            tokens: estimate_tokens(&req.prompt) + req.max_tokens,
            deadline: policy_time(req.deadline),
        };
        let request = self
            .serving
            .admission
            .admit(demand, &caller.manifest)
            .map_err(|refusal| {
                observer.refused(&workspace.id, &req.service, refusal_name(refusal.reason));
                overloaded(refusal.reason.to_string(), refusal.retry_after)
            })?;
        observer.tokens(&req.service, "prompt", estimate_tokens(&req.prompt));
        Ok(Admitted {
            request: Some(request),
            _place: place,
        })
    }

    /// Takes a place for a request that was accepted before, which no policy refuses any more.
    ///
    /// # Errors
    ///
    /// A [`Problem`] when all places are taken.
    pub fn readmit(&self, caller: &Caller) -> Result<Admitted, Problem> {
        Ok(Admitted {
            request: None,
            _place: self.take_place(&caller.workspace.id)?,
        })
    }

    fn take_place(&self, workspace: &WorkspaceId) -> Result<ConcurrencyPermit, Problem> {
        self.concurrency_limiter
            .try_acquire(workspace)
            .ok_or_else(|| {
                overloaded(
                    "the node or the workspace has no place for the request",
                    RETRY_AFTER,
                )
            })
    }
}

/// Returns the label of a refusal in the metrics.
fn refusal_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TokenLimit => "token_limit",
        RefusalReason::DeadlineUnreachable => "deadline",
        RefusalReason::ShareUsedUp => "share",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::UnknownWorkspace => "unknown_workspace",
    }
}

fn overloaded(detail: impl Into<String>, retry_after: Duration) -> Problem {
    Problem::not_run(ProblemKind::Overloaded, detail).with_retry_after(retry_after)
}

/// Builds the routes of the callers' API.
pub fn router(serving: Arc<ServingContext>) -> Router {
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
