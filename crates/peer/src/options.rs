//! Options of the transport between nodes.

use std::time::Duration;

/// `PeerOptions` sets the bounds of the transport between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerOptions {
    /// Largest message that is sent or accepted, in bytes.
    pub max_message_bytes: usize,
    /// Time within which a TCP connection has to be made.
    pub connect_timeout: Duration,
    /// Time within which a TLS handshake has to end.
    pub handshake_timeout: Duration,
    /// Time between two keepalive pings while a call is open. Idle connections are not pinged,
    /// because each call has a deadline of its own.
    pub keepalive_interval: Duration,
    /// Time within which a keepalive ping has to be answered.
    pub keepalive_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Longest time that this node works on a call of a peer.
    pub serve_timeout: Duration,
    /// Most calls of one connection that are served at the same time.
    pub max_calls_per_connection: u32,
    /// Time within which a change or reading of a journal has to be answered.
    pub journal_timeout: Duration,
    /// Most bytes of journals in one message.
    pub max_journal_batch_bytes: usize,
    /// Most appends in one message.
    pub max_append_batch: usize,
    /// Most appends that wait for one holder.
    pub max_waiting_appends: usize,
    /// Most peers that are asked for a journal.
    pub max_lookups: usize,
    /// Time within which a report has to be answered.
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
            max_waiting_appends: 8_192,
            max_lookups: 6,
            report_timeout: Duration::from_secs(1),
        }
    }
}
