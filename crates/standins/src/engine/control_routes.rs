//! Routes by which tests steer the engine stand-in.

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
    /// Time of one step of the batch, in milliseconds. Zero means as fast as possible.
    pub token_ms: u64,
    /// New requests are refused. Those in progress go on.
    pub is_leaving: bool,
    /// Nothing is generated, but streams stay open.
    pub is_stalled: bool,
    /// A frame of another attempt goes before each frame.
    pub foreign_frames: bool,
    /// Each frame is sent twice.
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
