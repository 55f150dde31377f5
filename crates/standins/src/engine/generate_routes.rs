//! Route that generates answers.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Body,
    extract::State,
    response::{IntoResponse as _, Response},
    routing::post,
};
use http::{StatusCode, header};
use serde::Serialize;
use tokio_stream::wrappers::ReceiverStream;
use verbenahead_upstream::GenerateRequest;

use super::{
    attempt::Attempt,
    state::{EngineState, Inner, Shared},
};
use crate::load_header::{LOAD_HEADER, load_header};

#[derive(Debug, Serialize)]
struct RefusedBody {
    reason: &'static str,
}

pub(super) fn routes() -> Router<Arc<EngineState>> {
    Router::new().route("/v1/generate", post(generate))
}

async fn generate(State(state): Shared, Json(req): Json<GenerateRequest>) -> Response {
    let mut inner = state.lock();
    let load = inner.delayed_load();
    let mut response = accept(&state, &mut inner, &req);
    response
        .headers_mut()
        .insert(LOAD_HEADER, load_header(&load));
    response
}

fn accept(state: &EngineState, inner: &mut Inner, req: &GenerateRequest) -> Response {
    if !inner.role.models.contains_key(&req.model) {
        return refuse(StatusCode::NOT_FOUND, "unknown_model");
    }
    if inner.behaviour.is_leaving {
        inner.counts.refused += 1;
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    if inner.queue.len() >= state.options.queue_limit {
        inner.counts.refused += 1;
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "queue_full");
    }
    let Ok((attempt, rx)) = Attempt::try_new(req) else {
        inner.counts.bad_continuations += 1;
        return refuse(StatusCode::UNPROCESSABLE_ENTITY, "bad_continuation");
    };
    inner.counts.attempts += 1;
    inner.queue.push(attempt);
    inner.record_load();
    state.has_work.notify_one();
    let body = Body::from_stream(ReceiverStream::new(rx));
    ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
}

fn refuse(status: StatusCode, reason: &'static str) -> Response {
    (status, Json(RefusedBody { reason })).into_response()
}
