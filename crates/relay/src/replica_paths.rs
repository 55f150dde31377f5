//! Sends a request to a replica: over a connection of this node, or through another node if this one does
//! not reach the replica.

use std::sync::Arc;

use http::{Request, Response};
use tokio::time::Instant;
use verbenahead_upstream::{Error as UpstreamError, Reuse, SegmentedBody, UpstreamBody};

use crate::{
    peer_paths::{PeerLease, PeerPathError},
    relay::Relay,
    upstream::UpstreamEntry,
};

/// `SentRequest` is the response to a request, of which the head has arrived.
pub(crate) struct SentRequest {
    pub(crate) response: Response<UpstreamBody>,
    /// The node that passes the response on, unless it came directly.
    pub(crate) lease: Option<PeerLease>,
}

/// `SendError` tells what failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The replica.
    Replica(UpstreamError),
    /// The path to it, which says nothing about the replica.
    Path(UpstreamError),
}

impl Relay {
    /// Sends a request to a replica. `build` builds the request, once for each time that it is sent; it is
    /// only sent again after nothing of it was sent before.
    pub(crate) async fn send_to_replica(
        &self,
        upstream: &Arc<UpstreamEntry>,
        build: impl Fn() -> Request<SegmentedBody>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<SentRequest, SendError> {
        if !self.peer_paths.has_node() {
            let connect_timeout = self.connections.connect_timeout();
            let limit = deadline.saturating_duration_since(Instant::now());
            let sent = self.connections.send_connected_within(
                upstream.address.address,
                build(),
                reuse,
                limit,
                connect_timeout,
            );
            return sent
                .await
                .map(SentRequest::direct)
                .map_err(SendError::Replica);
        }
        let is_cut = self.direct_paths.is_cut(upstream);
        let mut not_reached = None;
        if !is_cut {
            match self.send_directly(upstream, build(), reuse, deadline).await {
                Err(SendError::Replica(error)) if is_not_sent(&error) => not_reached = Some(error),
                sent => return sent,
            }
        }
        let sent = self.peer_paths.send(upstream, &build, reuse, deadline);
        match (sent.await, not_reached) {
            (Ok((response, lease)), not_reached) => {
                if not_reached.is_some() {
                    self.direct_paths.record_cut(upstream);
                }
                Ok(SentRequest {
                    response,
                    lease: Some(lease),
                })
            }
            (Err(PeerPathError::Failed(error)), _) => Err(SendError::Path(error)),
            (Err(PeerPathError::Unreachable), not_reached) => {
                self.direct_paths.record_down(upstream);
                // No process listens there, as far as any node can tell.
                let reason = match not_reached {
                    Some(error) => format!("no node reaches the replica: {error}"),
                    None => "no node reaches the replica".to_owned(),
                };
                Err(SendError::Replica(UpstreamError::ConnectionRefused {
                    reason,
                }))
            }
            (Err(PeerPathError::NoNode), Some(error)) => Err(SendError::Replica(error)),
            (Err(PeerPathError::NoNode), None) => {
                self.send_directly(upstream, build(), reuse, deadline).await
            }
        }
    }

    /// Sends a request over a connection of this node. A request that may be repeated is given up when the
    /// replica is found to be cut off from this node.
    async fn send_directly(
        &self,
        upstream: &Arc<UpstreamEntry>,
        req: Request<SegmentedBody>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<SentRequest, SendError> {
        let limit = deadline.saturating_duration_since(Instant::now());
        let sent = self.connections.send_connected_within(
            upstream.address.address,
            req,
            reuse,
            limit,
            self.options.peer_path_timeout,
        );
        let sent = match reuse {
            Reuse::Forbidden => sent.await,
            Reuse::Allowed => tokio::select! {
                biased;
                sent = sent => sent,
                () = self.direct_paths.wait_cut(upstream) => {
                    let error = UpstreamError::interrupted("the replica is cut off from this node");
                    return Err(SendError::Path(error));
                }
            },
        };
        let response = sent.map_err(SendError::Replica)?;
        self.direct_paths.record_direct(upstream);
        Ok(SentRequest::direct(response))
    }
}

impl SentRequest {
    fn direct(response: Response<UpstreamBody>) -> Self {
        Self {
            response,
            lease: None,
        }
    }
}

fn is_not_sent(error: &UpstreamError) -> bool {
    matches!(
        error,
        UpstreamError::NotSent { .. } | UpstreamError::ConnectionRefused { .. }
    )
}
