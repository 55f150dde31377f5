//! Messages by which nodes ask the collector of a quota for grants. A quota belongs to a workspace, or to
//! a replica that limits its requests.

use std::time::Duration;

use verbenahead_core::{Generation, units::Tokens};

use crate::report::NameKey;

/// `GrantRequest` asks for units of a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantRequest {
    /// Key of the id of the workspace, or of the incarnation of the replica.
    pub quota: NameKey,
    /// Requested units.
    pub units: Tokens,
    /// Units per second of the quota, as the asking node knows it.
    pub rate: f64,
    /// Largest level of the quota's bucket in units, as the asking node knows it.
    pub burst: f64,
    /// Generation of these limits: the one of the routes that state them, or the time in milliseconds at
    /// which the replica stated them.
    pub generation: Generation,
    /// Whether the request runs whatever the answer, so that its units are always taken.
    pub is_admitted: bool,
    /// Key of the fingerprint of the caller's request, which is the same each time the caller returns.
    pub caller: Option<NameKey>,
}

/// `GrantDecision` is the collector's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantDecision {
    /// The units are granted.
    Granted,
    /// The quota is used up until this delay has passed.
    UsedUp(Duration),
    /// The asked node found no collector.
    NoCollector,
}

/// `QuotaMessage` is a message between two nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaMessage {
    /// Asks for a grant.
    Ask {
        /// Number of the request, unique for the asking process.
        number: u64,
        /// Whether the same request was sent before.
        is_repeat: bool,
        /// Number of nodes that passed the request on.
        hops: u32,
        /// The request.
        request: GrantRequest,
    },
    /// Answers a request.
    Answer {
        /// Number of the request.
        number: u64,
        /// The decision.
        decision: GrantDecision,
    },
    /// Tells that the request was passed on to another node and the answer will take longer.
    PassedOn {
        /// Number of the request.
        number: u64,
    },
    /// Asks for an answer that shows that the node runs and is reachable.
    Probe {
        /// Number of the probe, unique for the asking process.
        number: u64,
    },
    /// Returns units that were granted to a request that did not run.
    Refund {
        /// Key of the quota.
        quota: NameKey,
        /// Returned units.
        units: Tokens,
    },
}
