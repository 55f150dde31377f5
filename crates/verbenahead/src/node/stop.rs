//! Requests to stop a node gracefully.

use std::{io, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

/// `StopRequest` asks a node to stop gracefully.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopRequest {
    /// The process received SIGTERM or SIGINT.
    Signal,
    /// The VM of the node will be reclaimed or stopped.
    Reclaim {
        /// Time until the VM ends.
        remaining: Duration,
    },
}

/// Sends a [`StopRequest::Signal`] for each SIGTERM and SIGINT, until the receiver is dropped.
///
/// # Errors
///
/// When a signal handler cannot be installed.
pub fn forward_signals(tx: mpsc::Sender<StopRequest>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                () = tx.closed() => return,
            }
            if tx.send(StopRequest::Signal).await.is_err() {
                return;
            }
        }
    });
    Ok(())
}
