//! Routes for tests to control the platform stand-in.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    extract::{Path, State},
    response::{IntoResponse as _, Response},
    routing::{get, post, put},
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use verbenahead_core::{AvailabilityZone, Incarnation, VmId};
use verbenahead_services::VmRecord;

use super::{
    faults::PlatformFaults,
    state::{PlatformState, Shared},
};

/// `EntryVm` is the body of `PUT /control/entry-vms/{vm}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
}

/// `Reclaim` is the body of `POST /control/reclaim`. It names a VM or a whole availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reclaim {
    /// VM to reclaim, of an upstream or an entry VM.
    pub vm: Option<VmId>,
    /// Incarnation of that VM, if not the current one.
    pub incarnation: Option<Incarnation>,
    /// Availability zone whose VMs are all reclaimed.
    pub zone: Option<AvailabilityZone>,
    /// Time left until the VMs stop, in milliseconds.
    pub remaining_ms: u64,
}

/// `ReclaimDone` is the response body of `POST /control/reclaim`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimDone {
    /// VMs that got a reclaim notice.
    pub vms: Vec<VmId>,
}

pub(super) fn routes() -> Router<Arc<PlatformState>> {
    Router::new()
        .route("/control/faults", get(read_faults).put(set_faults))
        .route("/control/vms/{vm}", put(register))
        .route("/control/entry-vms/{vm}", put(register_entry))
        .route("/control/reclaim", post(reclaim))
        .route("/control/counts", get(counts))
}

async fn read_faults(State(state): Shared) -> Json<PlatformFaults> {
    Json(state.faults().clone())
}

async fn set_faults(State(state): Shared, Json(faults): Json<PlatformFaults>) -> StatusCode {
    *state.faults() = faults;
    StatusCode::NO_CONTENT
}

async fn register(
    State(state): Shared,
    Path(vm): Path<VmId>,
    Json(record): Json<VmRecord>,
) -> Response {
    if vm != record.vm {
        return (StatusCode::BAD_REQUEST, "another VM in the path").into_response();
    }
    state.fleet().register(record, Instant::now());
    StatusCode::NO_CONTENT.into_response()
}

async fn register_entry(
    State(state): Shared,
    Path(vm): Path<VmId>,
    Json(entry): Json<EntryVm>,
) -> StatusCode {
    state.fleet().register_entry(vm, entry);
    StatusCode::NO_CONTENT
}

async fn reclaim(State(state): Shared, Json(req): Json<Reclaim>) -> Json<ReclaimDone> {
    let now = Instant::now();
    let remaining = Duration::from_millis(req.remaining_ms);
    let mut fleet = state.fleet();
    let mut vms: Vec<VmId> = req.vm.into_iter().collect();
    if let Some(zone) = &req.zone {
        vms.extend(fleet.vms_in(zone));
    }
    for vm in &vms {
        fleet.reclaim(vm, req.incarnation, remaining, now);
    }
    Json(ReclaimDone { vms })
}

async fn counts(State(state): Shared) -> Response {
    let counts = state.counts().read(Instant::now());
    Json(counts).into_response()
}
