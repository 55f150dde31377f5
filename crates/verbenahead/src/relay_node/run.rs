//! Runs a relaying node from its start to the end of its drain.

use std::{sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time::{Instant, sleep, timeout, timeout_at},
};
use verbenahead_relay::Relay;

use crate::{
    node::{
        http_server::{HttpServerOptions, ServerPhase, serve},
        readiness::Readiness,
    },
    relay_node::{
        assembly,
        readiness::{self, ReadinessQuestion},
    },
    settings::RelaySettings,
    telemetry::metrics::Metrics,
};

/// Longest time for which an idle connection of a caller is kept. Callers use connections again
/// that were idle for up to four fifths of the idle timeout that the operator states, which is 15 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Part of the grace period for which the node goes on as before, so that the balancer stops
/// sending and callers move to other connections.
const LINGER_RATIO: f64 = 0.45;

/// Time before the end of the grace period at which the process ends in any case.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Longest time to wait for the release of the lease at the end.
const DUTIES_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a node until it has been asked to stop and has drained.
///
/// # Errors
///
/// When the node cannot start.
pub async fn run(settings: RelaySettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot watch for SIGTERM")?;
    let callers =
        readiness::listen(settings.listeners.callers).context("cannot listen for callers")?;
    let balancer = readiness::listen(settings.listeners.readiness)
        .context("cannot listen for the balancer")?;
    let node = assembly::assemble(&settings).await?;
    let state = Arc::new(Readiness::default());
    state.set_serving();
    let metrics = Metrics::try_new()?;
    let (phase_tx, phase) = watch::channel(ServerPhase::Open);
    let caller_options = HttpServerOptions {
        header_timeout: IDLE_TIMEOUT,
        ..HttpServerOptions::new(metrics.clone())
    };
    let serving = tokio::spawn(serve(
        callers,
        assembly::caller_router(Arc::clone(&node.relay)),
        caller_options,
        phase.clone(),
    ));
    let question = ReadinessQuestion {
        state: Arc::clone(&state),
        routes: node.routes.clone(),
    };
    let balancer_options = HttpServerOptions {
        listener: "readiness",
        ..HttpServerOptions::new(metrics)
    };
    tokio::spawn(serve(
        balancer,
        readiness::router(question),
        balancer_options,
        phase,
    ));
    tracing::info!(
        node = %settings.node,
        zone = %settings.zone,
        callers = %settings.listeners.callers,
        store = %settings.platform.store,
        version = env!("CARGO_PKG_VERSION"),
        "node started",
    );
    terminate.recv().await;
    state.set_draining();
    node.status.set_leaving();
    // Another node takes the duties over while this one drains.
    let duties = node.duties.map(|(tx, task)| {
        drop(tx);
        task
    });
    drain(&settings, &node.relay, &phase_tx, serving).await;
    drop(node.followers);
    if let Some(duties) = duties
        && timeout(DUTIES_TIMEOUT, duties).await.is_err()
    {
        tracing::warn!(node = %settings.node, "lease not released in time");
    }
    Ok(())
}

async fn drain(
    settings: &RelaySettings,
    relay: &Relay,
    phase: &watch::Sender<ServerPhase>,
    serving: tokio::task::JoinHandle<()>,
) {
    let grace = settings.promises.grace;
    let end = Instant::now() + grace.saturating_sub(END_MARGIN);
    tracing::info!(node = %settings.node, grace_ms = grace.as_millis() as u64, "drain started");
    relay.start_drain();
    sleep(grace.mul_f64(LINGER_RATIO)).await;
    phase.send_replace(ServerPhase::Closing);
    let is_complete = timeout_at(end, serving).await.is_ok();
    tracing::info!(node = %settings.node, is_complete, "node stopped");
}
