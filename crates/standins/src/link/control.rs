//! Control route of a link.

use axum::{Json, Router, extract::State, routing::put};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::mode::{LinkMode, LinkState, NewConnections};

/// `LinkChange` is the body of `PUT /control/link`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkChange {
    /// Fault applied to open connections, in addition to faults applied before.
    pub mode: LinkMode,
    /// Mode of connections accepted after the change.
    pub new_connections: NewConnections,
    /// New delay of bytes in each direction, in milliseconds. `None` leaves the delay unchanged.
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
