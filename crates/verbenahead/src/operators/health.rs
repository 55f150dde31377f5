//! Health and readiness, for the balancer.

use axum::{
    extract::State,
    response::{IntoResponse, Response},
};
use http::StatusCode;

use super::{backend::Readiness, problem::OperatorProblem, router::OperatorApi};

/// Answers while the process runs.
pub(super) async fn healthz() -> &'static str {
    "ok\n"
}

/// Answers with 200 while the node takes requests.
pub(super) async fn readyz(State(api): State<OperatorApi>) -> Response {
    match api.backend().readiness() {
        Readiness::Ready => "ready\n".into_response(),
        Readiness::NotReady(reason) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            OperatorProblem::new("not-ready", status, reason).into_response()
        }
    }
}
