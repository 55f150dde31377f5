//! Requests to stop a node.

use std::{io, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

/// `StopRequest` asks a node to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopRequest {
    /// The process got SIGTERM or SIGINT.
    Signal,
    /// The VM will be taken back.
    Reclaim {
        /// Time left to the VM.
        remaining: Duration,
    },
}

/// Sends a request for each SIGTERM and SIGINT, until the receiver is dropped.
///
/// # Errors
///
/// When the signals cannot be handled.
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
