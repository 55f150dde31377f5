//! Routes for load, KV cache, cache events and orders.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    response::{IntoResponse as _, Response},
    routing::{get, post},
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use verbenahead_core::{AttemptId, FencingNumber};
use verbenahead_upstream::{LoadReport, Order, OrderKind};

use super::{
    cache::KvBody,
    cache_events::CacheEvent,
    orders::EngineRoleState,
    state::{EngineState, Shared},
};

pub(super) fn routes() -> Router<Arc<EngineState>> {
    Router::new()
        .route("/v1/load", get(load))
        .route("/v1/kv/{attempt}", get(export_kv))
        .route("/v1/kv", post(import_kv))
        .route("/v1/orders", post(order))
        .route("/v1/state", get(role_state))
        .route("/v1/cache-events", get(cache_events))
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Debug, Serialize)]
struct FencedBody {
    fencing: FencingNumber,
}

async fn load(State(state): Shared) -> Json<LoadReport> {
    Json(state.lock().delayed_load())
}

async fn export_kv(State(state): Shared, Path(attempt): Path<AttemptId>) -> Response {
    match state.lock().export(attempt) {
        Some(body) => Json(body).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn import_kv(State(state): Shared, Json(body): Json<KvBody>) -> StatusCode {
    state.lock().cache.import(&body);
    StatusCode::NO_CONTENT
}

async fn order(State(state): Shared, Json(order): Json<Order>) -> Response {
    let mut inner = state.lock();
    match inner.role.apply(&order, state.options.check_fencing) {
        Ok(()) => {
            inner.counts.orders += 1;
            inner.orders.push(order.clone());
            drop(inner);
            load_model(state, order.kind);
            StatusCode::NO_CONTENT.into_response()
        }
        Err(fencing) => {
            inner.counts.fenced_orders += 1;
            (StatusCode::CONFLICT, Json(FencedBody { fencing })).into_response()
        }
    }
}

/// Completes the model load of an order after `model_load_ms`.
fn load_model(state: Arc<EngineState>, kind: OrderKind) {
    let OrderKind::LoadModel { model, version } = kind else {
        return;
    };
    let duration = Duration::from_millis(state.options.model_load_ms);
    if duration.is_zero() {
        state.lock().role.finish_load(&model, &version);
        return;
    }
    tokio::spawn(async move {
        sleep(duration).await;
        state.lock().role.finish_load(&model, &version);
    });
}

async fn role_state(State(state): Shared) -> Json<EngineRoleState> {
    Json(state.lock().role.clone())
}

async fn cache_events(
    State(state): Shared,
    Query(query): Query<EventsQuery>,
) -> Json<Vec<CacheEvent>> {
    let inner = state.lock();
    Json(inner.cache.events.published(query.after, Instant::now()))
}
