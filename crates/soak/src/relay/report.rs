//! Report of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// `EndCount` counts ends with one reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EndCount {
    /// A configuration was acknowledged within 5 s before.
    pub near_configuration: u64,
    /// No configuration was.
    pub other: u64,
}

/// `RelayReport` holds the counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RelayReport {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replicas that were started.
    pub replicas: usize,
    /// Number of events of the schedule by kind.
    pub events: BTreeMap<String, u64>,
    /// Ends of streams that may not be repeated, by reason.
    pub drafts: BTreeMap<String, EndCount>,
    /// Ends of all other requests, by kind and reason.
    pub others: BTreeMap<String, u64>,
    /// Moves of runs by their outcome, as nodes have logged them.
    pub moves: BTreeMap<String, u64>,
    /// Number of broken invariants.
    pub violations: u64,
}

/// `Violation` is a request that breaks an invariant.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The invariant, the request, its runs and its node.
    pub text: String,
    /// Log lines of the request and of its replicas.
    pub lines: Vec<String>,
}

/// `RelayOutcome` is the result of a run.
#[derive(Debug, Clone)]
pub struct RelayOutcome {
    /// Counts.
    pub report: RelayReport,
    /// Violations in order, up to a bound.
    pub violations: Vec<Violation>,
}
