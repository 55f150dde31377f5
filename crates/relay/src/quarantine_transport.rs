//! Transport of messages about quarantines.

use std::net::SocketAddr;

use verbenahead_membership::QuarantineMessage;

use crate::quota_transport::NoTransport;

/// `QuarantineTransport` sends messages to other nodes. Messages may be lost, and none is
/// retransmitted.
pub trait QuarantineTransport: Send + Sync + 'static {
    /// Sends a message to each of the addresses without waiting.
    fn send(&self, to: &[SocketAddr], message: &QuarantineMessage);
}

impl QuarantineTransport for NoTransport {
    fn send(&self, _: &[SocketAddr], _: &QuarantineMessage) {}
}
