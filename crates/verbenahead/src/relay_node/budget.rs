//! Division of the process's limits among its parts.

use std::{sync::Arc, time::Duration};

use verbenahead_core::units::ByteSize;
use verbenahead_manifest::CallerLimits;
use verbenahead_relay::RouteView;

use crate::{
    node::http_server::{BoundsSource, ConnectionBounds},
    settings::ProcessLimits,
};

/// Descriptors for files, listeners, the store and other nodes. Platforms keep 200 of them for
/// files.
const RESERVED_DESCRIPTORS: u64 = 256;

/// Fewest connections of callers, whatever the limit of descriptors.
const MIN_CONNECTIONS: u64 = 16;

/// Part of the memory that bodies of requests may take. Buffers of connections, answers that are
/// read whole and the state of the node share the rest.
const BODY_MEMORY_PART: f64 = 0.25;

/// Smallest and largest buffer of a caller's connection, in bytes. The HTTP library needs the
/// first; the second keeps the buffers of all connections within the memory.
const BUFFER_RANGE: (u64, u64) = (8 * 1024, 32 * 1024);

/// Longest time for which a connection stays idle before the first routes are known.
const FIRST_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// `ProcessBudget` is what each part of the process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessBudget {
    /// Most connections of callers.
    pub caller_connections: usize,
    /// Most unused connections to replicas.
    pub idle_upstream_connections: usize,
    /// Most memory for the bodies of requests.
    pub bodies: ByteSize,
}

impl From<&ProcessLimits> for ProcessBudget {
    fn from(limits: &ProcessLimits) -> Self {
        // A request takes a connection of its caller and one to its replica.
        let connections = limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let connections = connections.max(MIN_CONNECTIONS) as usize;
        Self {
            caller_connections: connections,
            idle_upstream_connections: connections / 2,
            bodies: ByteSize((limits.memory.0 as f64 * BODY_MEMORY_PART) as u64),
        }
    }
}

/// Returns the bounds of callers' connections that the routes in force state.
pub fn caller_bounds(routes: RouteView) -> BoundsSource {
    Arc::new(move || match routes.borrow().as_ref() {
        Some(routes) => ConnectionBounds::from(routes.limits()),
        None => ConnectionBounds {
            header_timeout: FIRST_IDLE_TIMEOUT,
            ..ConnectionBounds::default()
        },
    })
}

impl From<&CallerLimits> for ConnectionBounds {
    fn from(limits: &CallerLimits) -> Self {
        let (smallest, largest) = BUFFER_RANGE;
        Self {
            // One timer covers the idle time and the header section after it.
            header_timeout: limits.idle_timeout.max(limits.header_timeout),
            max_header_bytes: limits.max_header.0.clamp(smallest, largest) as usize,
            ..Self::default()
        }
    }
}
