//! Routes that let tests control the engine stand-in.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::State,
    routing::{get, post},
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use verbenahead_upstream::Order;

use super::state::{EngineCounts, EngineState, Shared};

/// `EngineBehaviour` is the body of `PUT /control/behaviour`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineBehaviour {
    /// Duration of one batch step, in milliseconds. Zero means as fast as possible.
    pub token_ms: u64,
    /// Refuses new requests. Requests in progress continue.
    pub is_leaving: bool,
    /// Generates no tokens, but keeps streams open.
    pub is_stalled: bool,
    /// Sends a frame of another attempt before each token frame.
    pub foreign_frames: bool,
    /// Sends each token frame twice.
    pub repeated_frames: bool,
}

pub(super) fn routes() -> Router<Arc<EngineState>> {
    Router::new()
        .route("/control/behaviour", get(behaviour).put(set_behaviour))
        .route("/control/break-streams", post(break_streams))
        .route("/control/counts", get(counts))
        .route("/control/orders", get(orders))
}

async fn behaviour(State(state): Shared) -> Json<EngineBehaviour> {
    Json(state.lock().behaviour)
}

async fn set_behaviour(State(state): Shared, Json(behaviour): Json<EngineBehaviour>) -> StatusCode {
    state.lock().behaviour = behaviour;
    StatusCode::NO_CONTENT
}

async fn break_streams(State(state): Shared) -> Json<serde_json::Value> {
    state.lock().break_streams();
    Json(serde_json::json!({}))
}

async fn counts(State(state): Shared) -> Json<EngineCounts> {
    Json(state.lock().counts)
}

async fn orders(State(state): Shared) -> Json<Vec<Order>> {
    Json(state.lock().orders.clone())
}
