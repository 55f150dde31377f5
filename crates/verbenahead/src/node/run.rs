//! Runs a node from start-up to the end of its graceful shutdown.

use std::{io::Write, net::SocketAddr};

use anyhow::{Context, bail};
use serde::Serialize;

use crate::{
    node::{
        assembly,
        lifecycle::{DrainOutcome, JoinOutcome, Node},
    },
    settings::Settings,
};

/// `ReadyLine` is the JSON line that a node prints to standard output once its listeners are open.
#[derive(Debug, Serialize)]
struct ReadyLine {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Runs a node until it has been asked to stop and has drained.
///
/// Prints one JSON line with the addresses of the listeners once they are open.
///
/// # Errors
///
/// When the node cannot start, when the drain timed out, or when a second signal interrupted it.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let assembled = assembly::assemble(settings).await?;
    print_ready(&assembled.addresses)?;
    let outcome = match Node::new(assembled.parts).join().await {
        JoinOutcome::Stopped => DrainOutcome::Complete,
        JoinOutcome::Serving(node) => node.serve().await.finish().await,
    };
    assembled.background.stop().await;
    match outcome {
        DrainOutcome::Complete => Ok(()),
        DrainOutcome::TimedOut => {
            bail!("node: connections were still open when the drain timed out")
        }
        DrainOutcome::Interrupted => bail!("node: the drain was interrupted by a second signal"),
    }
}

fn print_ready(addresses: &assembly::Addresses) -> anyhow::Result<()> {
    let line = serde_json::to_string(&ReadyLine {
        callers: addresses.callers,
        operators: addresses.operators,
        peers: addresses.peers,
    })?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").context("cannot print the listener addresses")?;
    out.flush().context("cannot print the listener addresses")
}
