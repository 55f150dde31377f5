//! The status page.

mod events;
mod render;

use axum::{
    extract::State,
    response::{IntoResponse, Response},
};
use http::{HeaderName, HeaderValue, header};

use super::router::OperatorApi;

pub(super) use events::events;
pub use render::render_room;

const SCRIPT: &str = include_str!("room.js");

/// The page loads nothing from elsewhere, and no markup in a name can run a script.
const POLICY: HeaderValue = HeaderValue::from_static(
    "default-src 'none'; script-src 'self'; connect-src 'self'; style-src 'unsafe-inline'; \
     base-uri 'none'; form-action 'none'; frame-ancestors 'none'",
);

const HTML: HeaderValue = HeaderValue::from_static("text/html; charset=utf-8");
const JAVASCRIPT: HeaderValue = HeaderValue::from_static("text/javascript; charset=utf-8");
const NO_STORE: HeaderValue = HeaderValue::from_static("no-store");

/// Answers with the page.
pub(super) async fn get(State(api): State<OperatorApi>) -> Response {
    let status = api.status().await;
    let burn = api.last_burn();
    let headers: [(HeaderName, HeaderValue); 3] = [
        (header::CONTENT_TYPE, HTML),
        (header::CONTENT_SECURITY_POLICY, POLICY),
        (header::CACHE_CONTROL, NO_STORE),
    ];
    (headers, render::render_page(&status, burn.as_deref())).into_response()
}

/// Answers with the script of the page.
pub(super) async fn script() -> Response {
    ([(header::CONTENT_TYPE, JAVASCRIPT)], SCRIPT).into_response()
}
