//! Routes and shared state of the callers' API.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    extract::Request,
    routing::{any, get, post},
};
use verbenahead_core::{WorkspaceId, units::Tokens};
use verbenahead_policy::{RefusalReason, hash::hash_bytes};
use verbenahead_relay::{MemoryAccount, clock::policy_time};

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

/// Retry delay that is sent to callers when no better one is known.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `AdmissionGuard` holds the resources of an admitted model request and releases them on drop.
pub struct AdmissionGuard {
    request: Option<AdmittedRequest>,
    _permit: ConcurrencyPermit,
}

impl AdmissionGuard {
    /// Sets the number of tokens that the prompt and the answer used.
    pub fn set_used_tokens(&mut self, used: Tokens) {
        if let Some(request) = &mut self.request {
            request.set_used_tokens(used);
        }
    }
}

/// `CallerState` is the state shared by the handlers of the callers' API.
pub struct CallerState {
    /// Context of the node that serves the requests.
    pub serving: Arc<ServingContext>,
    /// Limits the number of concurrent requests.
    pub concurrency_limiter: ConcurrencyLimiter,
}

impl CallerState {
    /// Builds the state for a node that serves requests.
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

    /// Authenticates a request under the manifest in force. Returns the account of its connection too.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] when no manifest is in force or the key is unknown.
    pub fn authenticate(&self, req: &Request) -> Result<(Caller, MemoryAccount), Problem> {
        let manifest = self.serving.manifest.current().ok_or_else(|| {
            Problem::attempt_not_run(ProblemKind::Unavailable, "no manifest is in force yet")
                .with_retry_after(RETRY_AFTER)
        })?;
        let caller = Caller::authenticate(manifest, req.headers())?;
        let account = self.serving.memory.account_of(req.extensions());
        account.set_known(Some(hash_bytes(0, caller.workspace.id.as_str().as_bytes())));
        Ok((caller, account))
    }

    /// Admits a model request.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] with the delay after which a retry may succeed.
    pub fn admit(
        &self,
        caller: &Caller,
        req: &GenerationRequest,
    ) -> Result<AdmissionGuard, Problem> {
        let workspace = &caller.workspace;
        let observer = &self.serving.observer;
        let permit = self.acquire_permit(&workspace.id).inspect_err(|_| {
            observer.refused(&workspace.id, &req.service, "no_place");
        })?;
        let admission_request = ModelAdmissionRequest {
            workspace: &workspace.id,
            service: &req.service,
            priority: workspace.priority,
            tokens: estimate_tokens(&req.prompt) + req.max_tokens,
            deadline: policy_time(req.deadline),
        };
        let request = self
            .serving
            .admission
            .admit(admission_request, &caller.manifest)
            .map_err(|refusal| {
                observer.refused(&workspace.id, &req.service, refusal_label(refusal.reason));
                overloaded(refusal.reason.to_string(), refusal.retry_after)
            })?;
        observer.tokens(&req.service, "prompt", estimate_tokens(&req.prompt));
        Ok(AdmissionGuard {
            request: Some(request),
            _permit: permit,
        })
    }

    /// Admits a resumed request. It was accepted before, so only the concurrency limits apply.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] when a concurrency limit is reached.
    pub fn admit_resumed(&self, caller: &Caller) -> Result<AdmissionGuard, Problem> {
        Ok(AdmissionGuard {
            request: None,
            _permit: self.acquire_permit(&caller.workspace.id)?,
        })
    }

    fn acquire_permit(&self, workspace: &WorkspaceId) -> Result<ConcurrencyPermit, Problem> {
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

/// Returns the metrics label of a refusal.
fn refusal_label(reason: RefusalReason) -> &'static str {
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
