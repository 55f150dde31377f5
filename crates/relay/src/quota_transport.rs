//! Transport of messages about quotas.

use std::net::SocketAddr;

use verbenahead_membership::QuotaMessage;

/// `QuotaTransport` sends messages to other nodes. Messages may be lost, and none is retransmitted.
pub trait QuotaTransport: Send + Sync + 'static {
    /// Sends a message without waiting.
    fn send(&self, to: SocketAddr, message: &QuotaMessage);
}

/// `NoTransport` is the transport of a node that has no other nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoTransport;

impl QuotaTransport for NoTransport {
    fn send(&self, _: SocketAddr, _: &QuotaMessage) {}
}
