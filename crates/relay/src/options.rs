//! Options of the relay.

use std::time::Duration;

use verbenahead_core::units::ByteSize;

use crate::{body_reader::BodyProgressOptions, service_admission::ServiceAdmissionOptions};

/// `RelayOptions` holds the limits and delays in the handling of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RelayOptions {
    /// Least progress of a request body. The deadline of the request applies as well.
    pub body_progress: BodyProgressOptions,
    /// Limit on a request body while the node has no routes, which contain the limit otherwise.
    pub default_max_body: ByteSize,
    /// Limit on the memory that clients hold: their connections, requests, and responses they have not read.
    pub client_memory: ByteSize,
    /// Part of the memory of each connection that the kernel may take.
    pub connection_kernel_memory: ByteSize,
    /// Largest response that is buffered as a whole before it is forwarded. While it is buffered, a
    /// failure can still be followed by another attempt.
    pub max_buffered_response: ByteSize,
    /// Time limit of a request that states none. The timeout of its route applies as well.
    pub default_timeout: Duration,
    /// Time after the start of the node until which requests wait for its first routes. They
    /// arrive within some tens of milliseconds.
    pub first_routes_wait: Duration,
    /// Retry delay sent to a caller that the node cannot serve yet.
    pub not_ready_delay: Duration,
    /// Retry delay sent to a caller if the service has no available replica.
    pub no_replica_delay: Duration,
    /// Time for which a request that takes a stream up waits until a node that has just started knows
    /// which software versions served before.
    pub version_history_wait: Duration,
    /// Maximum time to open a connection to a replica before another node is asked to pass the request on.
    pub peer_path_timeout: Duration,
    /// Maximum number of requests of other nodes that the node passes on at the same time.
    pub max_forwarded: usize,
    /// Minimum time left to send a request. No response would arrive in less.
    pub min_remaining: Duration,
    /// Maximum number of chunks buffered for a caller that reads slowly.
    pub max_buffered_chunks: usize,
    /// Most bytes of a streamed response that are buffered for a caller that reads slowly. One chunk beyond
    /// them is buffered.
    pub max_read_ahead: ByteSize,
    /// Time without an event after which the replica of a resumable stream is probed, as a fraction
    /// of the longest gap that meets the objective. The rest of the gap is left for the probe and
    /// the first event at another replica.
    pub probe_after_gap: f64,
    /// Timeout of a probe.
    pub probe_timeout: Duration,
    /// Time without an event after which a resumable stream is resumed at another replica although
    /// its replica answers probes, as a multiple of the longest gap that meets the objective. It is not
    /// shorter than `silence_tolerance`.
    pub resume_after_gaps: f64,
    /// Time for which a sound replica may be silent. A stream stays that long at a replica that answers no
    /// probes, unless it refuses connections.
    pub silence_tolerance: Duration,
    /// When prompts are refused or held because their service lacks places.
    pub service_admission: ServiceAdmissionOptions,
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self {
            body_progress: BodyProgressOptions::default(),
            default_max_body: ByteSize(4 * 1024 * 1024),
            client_memory: ByteSize(64 * 1024 * 1024),
            connection_kernel_memory: ByteSize(0),
            max_buffered_response: ByteSize(256 * 1024),
            default_timeout: Duration::from_secs(30),
            first_routes_wait: Duration::from_millis(100),
            not_ready_delay: Duration::from_millis(500),
            no_replica_delay: Duration::from_millis(500),
            version_history_wait: Duration::from_millis(150),
            peer_path_timeout: Duration::from_millis(250),
            max_forwarded: 256,
            min_remaining: Duration::from_millis(5),
            max_buffered_chunks: 64,
            max_read_ahead: ByteSize(64 * 1024),
            probe_after_gap: 0.5,
            probe_timeout: Duration::from_millis(150),
            resume_after_gaps: 2.0,
            silence_tolerance: Duration::from_millis(1_500),
            service_admission: ServiceAdmissionOptions::default(),
        }
    }
}
