//! Transport of messages about the origins of streams.

use std::net::SocketAddr;

use verbenahead_membership::OriginMessage;

use crate::quota_transport::NoTransport;

/// `OriginTransport` sends messages to other nodes. Messages may be lost, and none is retransmitted.
pub trait OriginTransport: Send + Sync + 'static {
    /// Sends a message to each of the addresses without waiting.
    fn send(&self, to: &[SocketAddr], message: &OriginMessage);
}

impl OriginTransport for NoTransport {
    fn send(&self, _: &[SocketAddr], _: &OriginMessage) {}
}
