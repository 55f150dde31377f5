//! Messages about replicas that fail part of their requests.

use std::time::Duration;

use crate::report::NameKey;

/// `FailureMessage` is a message between two nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureMessage {
    /// Reports requests of the sender that a replica failed to the node that collects them.
    Failures {
        /// Key of the incarnation of the replica.
        replica: NameKey,
        /// Number of requests.
        count: u32,
    },
    /// Asks the receiver to avoid a replica.
    Pause {
        /// Key of the incarnation of the replica.
        replica: NameKey,
        /// Time for which the replica is avoided.
        duration: Duration,
    },
}
