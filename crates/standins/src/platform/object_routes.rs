//! Routes of the object store.

use std::{sync::Arc, time::Instant};

use axum::{
    Extension, Router,
    extract::{Path, State},
    response::{IntoResponse as _, Response},
    routing::get,
};
use bytes::Bytes;
use http::StatusCode;

use super::{
    counts::CallKind,
    faults::Effect,
    state::{PlatformState, Shared},
};

pub(super) fn routes() -> Router<Arc<PlatformState>> {
    Router::new().route("/v1/objects/{name}", get(read).put(write))
}

async fn read(State(state): Shared, Path(name): Path<String>) -> Response {
    state.counts().count(CallKind::ObjectRead, Instant::now());
    if state.faults().refuse_object_reads {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    match state.objects().get(&name).cloned() {
        Some(data) => data.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write(State(state): Shared, Path(name): Path<String>, data: Bytes) -> Response {
    state.counts().count(CallKind::ObjectWrite, Instant::now());
    state.objects().insert(name, data);
    (StatusCode::NO_CONTENT, Extension(Effect::default())).into_response()
}
