//! Copies of running requests at other replicas.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use verbenahead_upstream::Reuse;

use crate::relay::Relay;

/// Timeout of the call that gives a copy back.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// `MoveCopy` is the copy of a run's KV cache, which takes room at its target. Dropping it gives the room
/// back, unless it was kept.
pub(crate) struct MoveCopy {
    relay: Arc<Relay>,
    /// Address of the replica that made the copy.
    source: SocketAddr,
    handle: String,
    /// Whether a run continues from the copy.
    is_kept: bool,
}

impl MoveCopy {
    /// Builds the guard of a copy that the replica at `source` made.
    pub(crate) fn new(relay: Arc<Relay>, source: SocketAddr, handle: String) -> Self {
        Self {
            relay,
            source,
            handle,
            is_kept: false,
        }
    }

    /// Leaves the copy to the run that continues from it, and returns its handle.
    pub(crate) fn keep(mut self) -> String {
        self.is_kept = true;
        std::mem::take(&mut self.handle)
    }
}

impl Drop for MoveCopy {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        let Some(req) = self.relay.dialect.release_request(&self.handle) else {
            tracing::warn!(source = %self.source, "handle of a copy is no valid path");
            return;
        };
        let (relay, source) = (Arc::clone(&self.relay), self.source);
        tokio::spawn(async move {
            let connections = &relay.connections;
            let sent = connections.send_to(source, req, Reuse::Forbidden, RELEASE_TIMEOUT);
            if let Err(error) = sent.await {
                // The target frees the room by itself after some time.
                tracing::info!(%source, %error, "copy of a run not given back");
            }
        });
    }
}
