//! Divides the limits of the process among its components.

use std::{sync::Arc, time::Duration};

use verbenahead_core::units::ByteSize;
use verbenahead_manifest::CallerLimits;
use verbenahead_relay::RouteView;

use crate::{
    node::{
        client_budget::{
            BACKLOG_DIVISOR, CLIENT_MEMORY_RATIO, CONNECTION_MEMORY_RATIO, CONNECTION_OVERHEAD,
        },
        http_server::{BoundsSource, ConnectionBounds},
        listener::Backlog,
    },
    settings::ProcessLimits,
};

/// File descriptors reserved for files, listeners, the store and other nodes. Platforms set 200 of
/// them aside for files.
const RESERVED_DESCRIPTORS: u64 = 256;

/// Fewest connections of callers, whatever the limit on descriptors.
const MIN_CONNECTIONS: u64 = 16;

/// Requests of other nodes take at most this fraction of the descriptors, as a divisor. The rest is for
/// the node's own callers.
const FORWARDED_DIVISOR: u64 = 8;

/// Smallest and largest buffer of a caller's connection, in bytes. The HTTP library requires the
/// smallest; the largest keeps the buffers of all connections within the memory limit.
const BUFFER_RANGE: (u64, u64) = (8 * 1024, 32 * 1024);

/// Size of the request line beside the header section, in bytes.
const REQUEST_LINE_BYTES: u64 = 1024;

/// Size of the shortest header field, in bytes: a name of one character, the colon and the line end.
const MIN_FIELD_BYTES: u64 = 4;

/// Most connections of the balancer, and of readers of the metrics.
const STATUS_CONNECTIONS: (u64, u64) = (64, 16);

/// Idle timeout of callers' connections until the first routes are known.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for the head of a request until the first routes are known.
const INITIAL_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// `ProcessBudget` is how much of the process's limits each component may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessBudget {
    /// Most connections of callers.
    pub caller_connections: usize,
    /// Most idle connections to replicas.
    pub idle_upstream_connections: usize,
    /// Most connections of other nodes.
    pub peer_connections: usize,
    /// Most requests of other nodes that are passed on at the same time.
    pub forwarded_requests: usize,
    /// Most connections to the readiness listener.
    pub readiness_connections: usize,
    /// Most connections to the metrics listener.
    pub metrics_connections: usize,
    /// Most memory that clients hold.
    pub client_memory: ByteSize,
    /// Memory that each connection of a client takes.
    pub connection_memory: ByteSize,
    /// Connections of callers that may wait to be accepted.
    pub caller_backlog: Backlog,
    /// Connections to each other listener that may wait to be accepted.
    pub other_backlog: Backlog,
}

impl From<&ProcessLimits> for ProcessBudget {
    fn from(limits: &ProcessLimits) -> Self {
        let available = limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let (readiness, metrics) = STATUS_CONNECTIONS;
        let readiness = (available / 32).clamp(MIN_CONNECTIONS, readiness);
        let available = available.saturating_sub(readiness + metrics);
        let for_nodes = available / FORWARDED_DIVISOR;
        // A request takes a connection from its caller or another node, and one to its replica.
        let by_descriptors = (available - for_nodes) / 2;
        let client_memory = (limits.memory.0 as f64 * CLIENT_MEMORY_RATIO) as u64;
        let connection_memory = CONNECTION_OVERHEAD + BUFFER_RANGE.1 / 2;
        let by_memory = client_memory as f64 * CONNECTION_MEMORY_RATIO / connection_memory as f64;
        let connections = by_descriptors.min(by_memory as u64).max(MIN_CONNECTIONS) as usize;
        let forwarded = (for_nodes / 3).max(1) as usize;
        let queued = limits.memory.0 / BACKLOG_DIVISOR;
        Self {
            caller_connections: connections,
            idle_upstream_connections: connections / 2,
            // Idle ones count too.
            peer_connections: 2 * forwarded,
            forwarded_requests: forwarded,
            readiness_connections: readiness as usize,
            metrics_connections: metrics as usize,
            client_memory: ByteSize(client_memory),
            connection_memory: ByteSize(connection_memory),
            caller_backlog: Backlog::within(ByteSize(queued)),
            other_backlog: Backlog::within(ByteSize(queued / 4)),
        }
    }
}

/// Returns the source of the limits on callers' connections, which the routes in force set.
pub fn caller_bounds(routes: RouteView) -> BoundsSource {
    Arc::new(move || match routes.borrow().as_ref() {
        Some(routes) => ConnectionBounds::from(routes.limits()),
        None => ConnectionBounds {
            header_timeout: INITIAL_IDLE_TIMEOUT,
            ..ConnectionBounds::default()
        },
    })
}

/// Returns the source of the time limit for the head of a request, which ends with the routes.
pub fn head_timeout(routes: RouteView) -> impl Fn() -> Option<Duration> {
    move || {
        routes.has_changed().ok()?;
        let timeout = routes.borrow().as_ref().map(|r| r.limits().header_timeout);
        Some(timeout.unwrap_or(INITIAL_HEAD_TIMEOUT))
    }
}

impl From<&CallerLimits> for ConnectionBounds {
    fn from(limits: &CallerLimits) -> Self {
        let (smallest, largest) = BUFFER_RANGE;
        let buffer = limits.max_header.0 + REQUEST_LINE_BYTES;
        Self {
            // One timer covers the idle time and the header section that follows it.
            header_timeout: limits.idle_timeout.max(limits.header_timeout),
            max_header_bytes: buffer.clamp(smallest, largest) as usize,
            // A head within the size limit is accepted whatever the number of its fields. The tables that the
            // HTTP library allocates for 4,096 fields cost some 10 us a request, those for 2,048 would cost 0.1.
            max_headers: (limits.max_header.0.min(largest) / MIN_FIELD_BYTES) as usize,
            ..Self::default()
        }
    }
}
