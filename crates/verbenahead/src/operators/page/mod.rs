//! The status page, which shows the status of the deployment and updates itself.

mod events;
mod render;

use axum::{
    extract::State,
    response::{IntoResponse, Response},
};
use http::{HeaderName, HeaderValue, header};

use super::router::OperatorApi;

pub(super) use events::events;
pub use render::render_status;

const SCRIPT: &str = include_str!("status.js");

/// Content security policy of the page: it loads nothing from other origins, and markup in a name
/// cannot run a script.
const CONTENT_SECURITY_POLICY: HeaderValue = HeaderValue::from_static(
    "default-src 'none'; script-src 'self'; connect-src 'self'; style-src 'unsafe-inline'; \
     base-uri 'none'; form-action 'none'; frame-ancestors 'none'",
);

const HTML: HeaderValue = HeaderValue::from_static("text/html; charset=utf-8");
const JAVASCRIPT: HeaderValue = HeaderValue::from_static("text/javascript; charset=utf-8");
const NO_STORE: HeaderValue = HeaderValue::from_static("no-store");

/// Answers `GET /` with the page.
pub(super) async fn get(State(api): State<OperatorApi>) -> Response {
    let status = api.status().await;
    let burn = api.latest_burn();
    let headers: [(HeaderName, HeaderValue); 3] = [
        (header::CONTENT_TYPE, HTML),
        (header::CONTENT_SECURITY_POLICY, CONTENT_SECURITY_POLICY),
        (header::CACHE_CONTROL, NO_STORE),
    ];
    (headers, render::render_page(&status, burn.as_deref())).into_response()
}

/// Answers `GET /room.js` with the script of the page.
pub(super) async fn script() -> Response {
    ([(header::CONTENT_TYPE, JAVASCRIPT)], SCRIPT).into_response()
}
