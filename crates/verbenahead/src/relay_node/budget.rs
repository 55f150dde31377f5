//! Divides the limits of the process among its components.

use std::{sync::Arc, time::Duration};

use verbenahead_core::units::ByteSize;
use verbenahead_manifest::CallerLimits;
use verbenahead_relay::RouteView;

use crate::{
    node::http_server::{BoundsSource, ConnectionBounds},
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

/// Fraction of the memory that request bodies may take. Connection buffers, answers that are
/// buffered whole and the state of the node share the rest.
const BODY_MEMORY_RATIO: f64 = 0.25;

/// Smallest and largest buffer of a caller's connection, in bytes. The HTTP library requires the
/// smallest; the largest keeps the buffers of all connections within the memory limit.
const BUFFER_RANGE: (u64, u64) = (8 * 1024, 32 * 1024);

/// Idle timeout of callers' connections until the first routes are known.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

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
    /// Most memory for request bodies.
    pub bodies: ByteSize,
}

impl From<&ProcessLimits> for ProcessBudget {
    fn from(limits: &ProcessLimits) -> Self {
        let available = limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let for_nodes = available / FORWARDED_DIVISOR;
        // A request takes a connection from its caller or another node, and one to its replica.
        let connections = ((available - for_nodes) / 2).max(MIN_CONNECTIONS) as usize;
        let forwarded = (for_nodes / 3).max(1) as usize;
        Self {
            caller_connections: connections,
            idle_upstream_connections: connections / 2,
            // Idle ones count too.
            peer_connections: 2 * forwarded,
            forwarded_requests: forwarded,
            bodies: ByteSize((limits.memory.0 as f64 * BODY_MEMORY_RATIO) as u64),
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

impl From<&CallerLimits> for ConnectionBounds {
    fn from(limits: &CallerLimits) -> Self {
        let (smallest, largest) = BUFFER_RANGE;
        Self {
            // One timer covers the idle time and the header section that follows it.
            header_timeout: limits.idle_timeout.max(limits.header_timeout),
            max_header_bytes: limits.max_header.0.clamp(smallest, largest) as usize,
            ..Self::default()
        }
    }
}
