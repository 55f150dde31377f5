//! Health and readiness endpoints for load balancers.

use axum::{
    extract::State,
    response::{IntoResponse, Response},
};
use http::StatusCode;

use super::{backend::Readiness, problem::OperatorProblem, router::OperatorApi};

/// Answers `GET /healthz` with 200 as long as the process runs.
pub(super) async fn healthz() -> &'static str {
    "ok\n"
}

/// Answers `GET /readyz` with 200 while the node accepts requests, and with 503 otherwise.
pub(super) async fn readyz(State(api): State<OperatorApi>) -> Response {
    match api.backend().readiness() {
        Readiness::Ready => "ready\n".into_response(),
        Readiness::NotReady(reason) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            OperatorProblem::new("not-ready", status, reason).into_response()
        }
    }
}
