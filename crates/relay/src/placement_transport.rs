//! Transport of messages about the load of replicas.

use std::net::SocketAddr;

use verbenahead_membership::PlacementMessage;

use crate::quota_transport::NoTransport;

/// `PlacementTransport` sends messages to other nodes. Messages may be lost, and none is retransmitted.
pub trait PlacementTransport: Send + Sync + 'static {
    /// Sends a message without waiting. Returns the size of the datagram, headers included.
    fn send(&self, to: SocketAddr, message: &PlacementMessage) -> usize;
}

impl PlacementTransport for NoTransport {
    fn send(&self, _: SocketAddr, _: &PlacementMessage) -> usize {
        0
    }
}
