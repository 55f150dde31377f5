//! Runs a node from its start to the end of its drain.

use std::{io::Write, net::SocketAddr};

use anyhow::{Context, bail};
use serde::Serialize;

use crate::{
    node::{
        assembly,
        lifecycle::{DrainReport, Joined, Node},
    },
    settings::Settings,
};

/// `ReadyLine` is the line that a node prints once its listeners are open.
#[derive(Debug, Serialize)]
struct ReadyLine {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// Runs a node until it has been asked to stop and has drained. Prints one line of JSON with the
/// addresses of its listeners when they are open.
///
/// # Errors
///
/// When the node cannot start, or when its drain left requests behind.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let assembled = assembly::assemble(settings).await?;
    print_ready(&assembled.addresses)?;
    let report = match Node::new(assembled.parts).join().await {
        Joined::Stopped => DrainReport::Complete,
        Joined::Serving(node) => node.serve().await.finish().await,
    };
    assembled.background.stop().await;
    match report {
        DrainReport::Complete => Ok(()),
        DrainReport::TimedOut => bail!("node: the drain left connections behind"),
        DrainReport::Interrupted => bail!("node: the drain was interrupted by a second signal"),
    }
}

fn print_ready(addresses: &assembly::Addresses) -> anyhow::Result<()> {
    let line = serde_json::to_string(&ReadyLine {
        callers: addresses.callers,
        operators: addresses.operators,
        peers: addresses.peers,
    })?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").context("cannot print the addresses")?;
    out.flush().context("cannot print the addresses")
}
