//! Limits of the transport between nodes.

use std::time::Duration;

/// `PeerOptions` sets the limits of the transport between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerOptions {
    /// Maximum size of a message that is sent or accepted, in bytes.
    pub max_message_bytes: usize,
    /// Time within which a TCP connection must be established.
    pub connect_timeout: Duration,
    /// Time within which a TLS handshake must complete.
    pub handshake_timeout: Duration,
    /// Interval between keepalive pings while a call is open. Idle connections are not pinged,
    /// because each call has a deadline of its own.
    pub keepalive_interval: Duration,
    /// Time within which a keepalive ping must be answered.
    pub keepalive_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Time limit for serving a call of a peer.
    pub serve_timeout: Duration,
    /// Maximum number of concurrent calls on one connection.
    pub max_calls_per_connection: u32,
    /// Time limit of a call that reads or changes journals.
    pub journal_timeout: Duration,
    /// Maximum size of the journals in one message, in bytes.
    pub max_journal_batch_bytes: usize,
    /// Maximum number of appends in one message.
    pub max_append_batch: usize,
    /// Maximum number of appends that are queued for one holder.
    pub max_queued_appends: usize,
    /// Maximum number of peers that are asked for a journal.
    pub max_lookup_peers: usize,
    /// Time limit of a call that reads a report.
    pub report_timeout: Duration,
}

impl Default for PeerOptions {
    fn default() -> Self {
        Self {
            max_message_bytes: 4 * 1_024 * 1_024,
            connect_timeout: Duration::from_millis(500),
            handshake_timeout: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(2),
            keepalive_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
            serve_timeout: Duration::from_secs(10),
            max_calls_per_connection: 1_024,
            journal_timeout: Duration::from_millis(500),
            max_journal_batch_bytes: 1_024 * 1_024,
            max_append_batch: 512,
            max_queued_appends: 8_192,
            max_lookup_peers: 6,
            report_timeout: Duration::from_secs(1),
        }
    }
}
