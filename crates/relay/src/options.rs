//! Options of the relay.

use std::time::Duration;

use verbenahead_core::units::ByteSize;

/// `RelayOptions` bound the handling of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayOptions {
    /// Longest time for which a body may arrive.
    pub body_timeout: Duration,
    /// Largest body that is taken while the node has no routes, which state the limit.
    pub default_max_body: ByteSize,
    /// Most memory for the bodies of all requests.
    pub max_body_memory: ByteSize,
    /// Largest answer that is read whole before it is passed on. A failed reading of such an
    /// answer can still be followed by another attempt.
    pub max_whole_answer: ByteSize,
    /// Time for which a caller waits that does not say so, where no route has a timeout.
    pub default_patience: Duration,
    /// Longest time for which a request waits for the first routes and replicas of a node that
    /// has just started. They come within some tens of milliseconds.
    pub first_routes_wait: Duration,
    /// Delay after which a caller that the node cannot serve yet should come back.
    pub not_ready_delay: Duration,
    /// Delay after which a caller should come back when a service has no replica.
    pub no_replica_delay: Duration,
    /// Least time left with which a request is sent. An answer would not come in less.
    pub min_remaining: Duration,
    /// Events that are kept for a caller that reads slowly.
    pub event_buffer: usize,
    /// Silence after which the replica of a resumable stream is probed, as a part of the longest
    /// pause that meets the objective. The rest is left for the probe and the first event at
    /// another replica.
    pub probe_after_gap: f64,
    /// Longest time of a probe.
    pub probe_timeout: Duration,
    /// Silence after which a resumable stream goes on at another replica although its replica
    /// answers probes, as a multiple of the longest pause that meets the objective.
    pub resume_after_gaps: f64,
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self {
            body_timeout: Duration::from_secs(10),
            default_max_body: ByteSize(4 * 1024 * 1024),
            max_body_memory: ByteSize(64 * 1024 * 1024),
            max_whole_answer: ByteSize(256 * 1024),
            default_patience: Duration::from_secs(30),
            first_routes_wait: Duration::from_millis(100),
            not_ready_delay: Duration::from_millis(500),
            no_replica_delay: Duration::from_millis(500),
            min_remaining: Duration::from_millis(5),
            event_buffer: 64,
            probe_after_gap: 0.5,
            probe_timeout: Duration::from_millis(150),
            resume_after_gaps: 2.0,
        }
    }
}
