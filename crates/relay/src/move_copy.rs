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
    /// Handle of the copy. `None` once it was kept.
    handle: Option<String>,
}

impl MoveCopy {
    /// Builds the guard of a copy that the replica at `source` made.
    pub(crate) fn new(relay: Arc<Relay>, source: SocketAddr, handle: String) -> Self {
        Self {
            relay,
            source,
            handle: Some(handle),
        }
    }

    /// Leaves the copy to the run that continues from it.
    pub(crate) fn keep(mut self) {
        self.handle = None;
    }
}

impl Drop for MoveCopy {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else {
            return;
        };
        let Some(req) = self.relay.dialect.release_request(&handle) else {
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
