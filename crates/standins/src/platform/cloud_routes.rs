//! Routes of the cloud API and of the list of VMs.

use std::{sync::Arc, time::Instant};

use axum::{
    Extension, Json, Router,
    extract::{Path, Query, State},
    response::{IntoResponse as _, Response},
    routing::{delete, get},
};
use http::{HeaderMap, StatusCode, header};
use serde::Deserialize;
use verbenahead_core::{Digest, Incarnation, VmId};
use verbenahead_services::{
    StartVm,
    http::wire::{StartRefusedBody, StartedBody},
};

use super::{
    counts::CallKind,
    faults::Effect,
    fleet::StartResult,
    started_engines,
    state::{PlatformState, Shared},
};

pub(super) fn routes() -> Router<Arc<PlatformState>> {
    Router::new()
        .route("/v1/vms", get(list).post(start))
        .route("/v1/vms/{vm}", delete(stop))
        .route("/v1/notices", get(notices))
}

#[derive(Debug, Deserialize)]
struct StopQuery {
    incarnation: Incarnation,
}

async fn list(State(state): Shared, headers: HeaderMap) -> Response {
    let now = Instant::now();
    state.counts().count(CallKind::VmList, now);
    let list = state.fleet().list(now);
    let body = serde_json::to_vec(list.as_ref()).unwrap_or_default();
    let tag = format!("\"{}\"", Digest::of(&body));
    let known = headers.get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    let fields = [
        (header::CONTENT_TYPE, "application/json".to_owned()),
        (header::ETAG, tag),
    ];
    (fields, body).into_response()
}

async fn notices(State(state): Shared) -> Response {
    let now = Instant::now();
    state.counts().count(CallKind::Notices, now);
    let notices = state.fleet().notices(now);
    Json(notices).into_response()
}

async fn start(State(state): Shared, Json(req): Json<StartVm>) -> Response {
    let now = Instant::now();
    state.counts().count(CallKind::Start, now);
    let refuses_starts = state.faults().refuse_starts;
    let vm = match state.fleet().start_once(&req, refuses_starts, now) {
        StartResult::Refused => {
            let reason = "no VM of this class is free".to_owned();
            return (StatusCode::CONFLICT, Json(StartRefusedBody { reason })).into_response();
        }
        StartResult::Repeated(vm) => vm,
        StartResult::New(vm) => {
            let engine = started_engines::run(Arc::downgrade(&state), req, vm.clone());
            tokio::spawn(engine);
            vm
        }
    };
    let body = Json(StartedBody { vm });
    (StatusCode::CREATED, Extension(Effect::default()), body).into_response()
}

async fn stop(
    State(state): Shared,
    Path(vm): Path<VmId>,
    Query(query): Query<StopQuery>,
) -> Response {
    let now = Instant::now();
    state.counts().count(CallKind::Stop, now);
    state.fleet().stop(&vm, query.incarnation, now);
    (StatusCode::NO_CONTENT, Extension(Effect::default())).into_response()
}
