//! Faults of a bad software version.

use std::time::Duration;

use http::StatusCode;

use super::ReplicaBehaviour;

/// `VersionFaults` tells which requests a replica of a bad version treats badly.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionFaults {
    /// Requests in 100 that are answered with status 500.
    pub failed: u64,
    /// Requests in 100 that are answered late.
    pub slow: u64,
    /// Time of a late answer.
    pub slow_by: Duration,
    /// Number of requests that are treated well before the first fault.
    pub after: u64,
}

/// Factor that spreads the faults over the requests. It has no common divisor with 100.
const SPREAD: u64 = 37;

impl VersionFaults {
    /// Returns the behaviour for the request with this number, or `None` if it is treated well.
    pub(super) fn behaviour(&self, number: u64) -> Option<ReplicaBehaviour> {
        let place = number.wrapping_mul(SPREAD) % 100;
        if number < self.after {
            None
        } else if place < self.failed {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Some(ReplicaBehaviour::Answer(status, Duration::ZERO))
        } else if place < self.failed + self.slow {
            Some(ReplicaBehaviour::Answer(StatusCode::OK, self.slow_by))
        } else {
            None
        }
    }
}
