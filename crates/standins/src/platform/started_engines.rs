//! Engines on the VMs that the platform stand-in starts.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use anyhow::Result;
use tokio::time::sleep;
use verbenahead_core::{Incarnation, VmId};
use verbenahead_services::StartVm;

use super::state::PlatformState;
use crate::{
    engine::{self, EngineOptions},
    registration::Registration,
    server::Server,
};

/// Interval between checks whether a VM still exists.
const VM_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Runs the engine of a started VM until the VM is stopped or reclaimed.
pub(super) async fn run(state: Weak<PlatformState>, req: StartVm, vm: VmId) {
    let Some(options) = state
        .upgrade()
        .and_then(|state| engine_options(&state, req, &vm))
    else {
        return;
    };
    let Some(start_time) = state.upgrade().map(|state| state.start_time) else {
        return;
    };
    sleep(start_time).await;
    match start_engine(&state, options, &vm).await {
        Ok(Some(server)) => wait_until_removed(&state, &vm, server).await,
        Ok(None) => {}
        Err(error) => tracing::error!(%vm, %error, "cannot start the engine of a VM"),
    }
}

fn engine_options(state: &PlatformState, req: StartVm, vm: &VmId) -> Option<EngineOptions> {
    let mut engines = state.start_engines.iter();
    let engine = engines.find(|engine| engine.service == req.service)?;
    let registration = Registration {
        platform: None,
        advertise: None,
        vm: vm.clone(),
        incarnation: Incarnation(1),
        service: req.service,
        zone: req.zone,
        class: req.class,
        market: req.market,
    };
    Some(EngineOptions {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        models: vec![engine.model.clone()],
        ..EngineOptions::new(registration)
    })
}

async fn start_engine(
    state: &Weak<PlatformState>,
    options: EngineOptions,
    vm: &VmId,
) -> Result<Option<Server>> {
    let server = engine::start(options).await?;
    let Some(state) = state.upgrade() else {
        return Ok(None);
    };
    let is_live = state
        .fleet()
        .set_address(vm, server.address(), Instant::now());
    Ok(is_live.then_some(server))
}

/// Keeps the engine running until its VM is removed from the fleet.
async fn wait_until_removed(state: &Weak<PlatformState>, vm: &VmId, _server: Server) {
    let exists = |state: Arc<PlatformState>| state.fleet().contains(vm, Instant::now());
    while state.upgrade().is_some_and(exists) {
        sleep(VM_POLL_PERIOD).await;
    }
}
