//! Routes of the booking stand-in.

use std::{future::pending, sync::Arc, time::Duration};

use axum::{
    Extension, Json, Router,
    extract::{OriginalUri, Request, State},
    middleware::{self, Next},
    response::{IntoResponse as _, Response},
    routing::{get, post},
};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenahead_upstream::LoadReport;

use super::state::{BookingBehaviour, BookingState, Receipt, Runs};
use crate::{
    load_header::{LOAD_HEADER, load_header},
    server::Abandoned,
};

/// `IDEMPOTENCY_KEY_HEADER` is the name of the header field with the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// `KEYLESS` is the key under which calls without an idempotency key are counted.
pub const KEYLESS: &str = "";

/// Interval between checks of whether `hang_then_run` was switched off.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(2);

type Shared = State<Arc<BookingState>>;

pub(super) fn router(state: Arc<BookingState>) -> Router {
    Router::new()
        .route("/bookings", post(call))
        .route("/filings", post(call))
        .route("/availability", get(availability))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&state),
            report_load,
        ))
        .route("/v1/load", get(load))
        .route("/control/runs", get(runs))
        .route("/control/behaviour", get(behaviour).put(set_behaviour))
        .with_state(state)
}

/// Adds the load as a header field to each response.
async fn report_load(State(state): Shared, req: Request, next: Next) -> Response {
    let mut response = next.run(req).await;
    let load = load_header(&state.workers.load());
    response.headers_mut().insert(LOAD_HEADER, load);
    response
}

async fn load(State(state): Shared) -> Json<LoadReport> {
    Json(state.workers.load())
}

async fn call(
    State(state): Shared,
    OriginalUri(uri): OriginalUri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let key = headers.get(IDEMPOTENCY_KEY_HEADER);
    let key = key.and_then(|key| key.to_str().ok()).unwrap_or(KEYLESS);
    let behaviour = state.lock().behaviour;
    state.lock().runs.received += 1;
    if let Some(status) = behaviour.refuse_status {
        return (status_code(status), "refused").into_response();
    }
    // A separate task, so that the call runs even if the caller disconnects, as in a service that
    // does not detect disconnects.
    let run = tokio::spawn(run(state, uri.path().to_owned(), key.to_owned(), body));
    let Ok(receipt) = run.await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    answer(behaviour, receipt).await
}

async fn run(state: Arc<BookingState>, path: String, key: String, body: Bytes) -> Receipt {
    let _worker = state.workers.acquire().await;
    let delay_ms = state.lock().behaviour.delay_ms;
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    while state.lock().behaviour.hang_then_run {
        sleep(HANG_POLL_INTERVAL).await;
    }
    state.run(&path, &key, &body)
}

async fn answer(behaviour: BookingBehaviour, receipt: Receipt) -> Response {
    if behaviour.run_then_hang || behaviour.hang_then_run {
        return pending().await;
    }
    if behaviour.run_then_close {
        return Extension(Abandoned).into_response();
    }
    let status = behaviour.status.map_or(StatusCode::CREATED, status_code);
    (status, Json(receipt)).into_response()
}

fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

async fn availability(State(state): Shared) -> Json<Value> {
    let mut inner = state.lock();
    inner.runs.reads += 1;
    Json(json!({ "free": [1, 2, 3] }))
}

async fn runs(State(state): Shared) -> Json<Runs> {
    Json(state.lock().runs.clone())
}

async fn behaviour(State(state): Shared) -> Json<BookingBehaviour> {
    Json(state.lock().behaviour)
}

async fn set_behaviour(
    State(state): Shared,
    Json(behaviour): Json<BookingBehaviour>,
) -> StatusCode {
    state.lock().behaviour = behaviour;
    StatusCode::NO_CONTENT
}
