//! Options of a run.

use std::{path::PathBuf, time::Duration};

/// `RelaySoakOptions` configure a run of relaying nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelaySoakOptions {
    /// Seed of the schedule and of all callers.
    pub seed: u64,
    /// Time for which events are drawn and callers start new requests.
    pub time: Duration,
    /// Number of nodes, each a process.
    pub nodes: usize,
    /// Number of replicas at the start, over all services.
    pub replicas: usize,
    /// Callers per node. Each sends one request at a time.
    pub callers_per_node: usize,
    /// Program of the nodes. `None` stands for the one that was built with this program.
    pub program: Option<PathBuf>,
    /// Program of an older build. All nodes start with it; they are replaced one by one by the other program, and
    /// back.
    pub older: Option<PathBuf>,
    /// Whether replicas treat all calls that move runs in the regular way.
    pub has_regular_moves: bool,
    /// Whether events and violations go to standard error as they occur.
    pub is_verbose: bool,
}

impl Default for RelaySoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            time: Duration::from_secs(60),
            nodes: 6,
            replicas: 8,
            callers_per_node: 3,
            program: None,
            older: None,
            has_regular_moves: false,
            is_verbose: false,
        }
    }
}
