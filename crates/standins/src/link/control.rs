//! Steering of a link.

use axum::{Json, Router, extract::State, routing::put};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::mode::{LinkMode, LinkState, NewConnections};

/// `LinkChange` is the body of `PUT /control/link`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkChange {
    /// What happens to the connections that are open. What they have suffered before stays.
    pub mode: LinkMode,
    /// What happens to later connections.
    pub new_connections: NewConnections,
    /// New time that bytes take in each direction, in milliseconds.
    pub delay_ms: Option<u64>,
}

pub(super) fn router(state: watch::Sender<LinkState>) -> Router {
    Router::new()
        .route("/control/link", put(set))
        .with_state(state)
}

async fn set(
    State(state): State<watch::Sender<LinkState>>,
    Json(change): Json<LinkChange>,
) -> StatusCode {
    state.send_modify(|state| state.apply(change));
    StatusCode::NO_CONTENT
}
