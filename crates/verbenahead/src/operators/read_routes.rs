//! Handlers for the status, the burn report and the metrics.

use axum::{
    Json,
    extract::State,
    response::{IntoResponse, Response},
};
use http::{HeaderValue, StatusCode, header};

use crate::burn::render_page;

use super::{problem::OperatorProblem, router::OperatorApi};

const HTML: HeaderValue = HeaderValue::from_static("text/html; charset=utf-8");

/// Answers `GET /v1/status` with this node's view of the deployment.
pub(super) async fn status(State(api): State<OperatorApi>) -> Response {
    Json(api.status().await.as_ref()).into_response()
}

/// Answers `GET /v1/burn` with the burn report as JSON.
pub(super) async fn burn(State(api): State<OperatorApi>) -> Result<Response, OperatorProblem> {
    let report = api.burn().await.ok_or_else(no_manifest)?;
    Ok(Json(report.as_ref()).into_response())
}

/// Answers `GET /burn` with the burn report as an HTML page.
pub(super) async fn burn_page(State(api): State<OperatorApi>) -> Result<Response, OperatorProblem> {
    let report = api.burn().await.ok_or_else(no_manifest)?;
    let page = render_page(&report);
    Ok(([(header::CONTENT_TYPE, HTML)], page).into_response())
}

fn no_manifest() -> OperatorProblem {
    let detail = "no manifest is in force, so there are no objectives";
    OperatorProblem::new("not-found", StatusCode::NOT_FOUND, detail)
}

/// Answers `GET /metrics` with the metrics of the process in the Prometheus text format.
pub(super) async fn metrics(State(api): State<OperatorApi>) -> Result<Response, OperatorProblem> {
    let text = api
        .metrics()
        .encode()
        .map_err(|e| OperatorProblem::new("metrics", StatusCode::INTERNAL_SERVER_ERROR, e))?;
    let content_type = HeaderValue::from_static(prometheus::TEXT_FORMAT);
    Ok(([(header::CONTENT_TYPE, content_type)], text).into_response())
}
