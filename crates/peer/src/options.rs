//! Limits of the transport between nodes.

use std::time::Duration;

use verbenahead_core::units::ByteSize;

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
    /// Maximum number of connections that are accepted. Further ones wait.
    pub max_connections: usize,
    /// Memory that messages may take together while they arrive. A call beyond it is refused.
    pub max_message_memory: ByteSize,
    /// Bytes that a peer may send on a connection before they are read.
    pub window_bytes: u32,
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

/// Fraction of the memory, as a divisor, that messages may take while they arrive.
const MESSAGE_DIVISOR: u64 = 16;

/// Least memory for messages: two of the largest.
const MIN_MESSAGE_MEMORY: ByteSize = ByteSize(8 * 1_024 * 1_024);

/// Fraction of the memory, as a divisor, that connections may take.
const CONNECTION_DIVISOR: u64 = 4;

/// Memory of a connection, in bytes: its window, 32 KiB that the kernel keeps until they are read, and its task.
const CONNECTION_BYTES: u64 = 112 * 1_024;

/// Smallest and largest number of connections.
const CONNECTION_RANGE: (u64, u64) = (64, 1_024);

impl PeerOptions {
    /// Returns options for a process with this much memory.
    pub fn within(memory: ByteSize) -> Self {
        let (least, most) = CONNECTION_RANGE;
        let connections = memory.0 / CONNECTION_DIVISOR / CONNECTION_BYTES;
        Self {
            max_connections: connections.clamp(least, most) as usize,
            max_message_memory: MIN_MESSAGE_MEMORY.max(ByteSize(memory.0 / MESSAGE_DIVISOR)),
            ..Self::default()
        }
    }
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
            max_connections: 1_024,
            max_message_memory: ByteSize(64 * 1_024 * 1_024),
            window_bytes: 64 * 1_024,
            journal_timeout: Duration::from_millis(500),
            max_journal_batch_bytes: 1_024 * 1_024,
            max_append_batch: 512,
            max_queued_appends: 8_192,
            max_lookup_peers: 6,
            report_timeout: Duration::from_secs(1),
        }
    }
}
