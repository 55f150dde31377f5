//! Report of a run.

use std::collections::BTreeMap;

use serde::Serialize;

use super::totals::{Overdue, is_caused_by_configurations, ratio};

/// `EndCount` counts ends with one reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EndCount {
    /// A configuration may have been in force only for some nodes.
    pub near_configuration: u64,
    /// Every node had the same configuration.
    pub other: u64,
}

impl EndCount {
    /// Counts an end.
    pub fn count(&mut self, is_near_configuration: bool) {
        match is_near_configuration {
            true => self.near_configuration += 1,
            false => self.other += 1,
        }
    }
}

/// `Ends` counts the ends of requests of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// All of them.
    pub all: EndCount,
    /// Those that nodes cut by themselves.
    pub cut: EndCount,
    /// All by their reason.
    pub by_reason: BTreeMap<String, EndCount>,
    /// How much more often each reason occurs beside a configuration.
    pub ratios: BTreeMap<String, String>,
}

impl Ends {
    /// Counts an end.
    pub fn count(&mut self, reason: String, is_cut: bool, is_near_configuration: bool) {
        self.all.count(is_near_configuration);
        if is_cut {
            self.cut.count(is_near_configuration);
        }
        let count = self.by_reason.entry(reason).or_default();
        count.count(is_near_configuration);
    }

    /// Computes the ratios.
    pub fn finish(&mut self) {
        for (reason, count) in &self.by_reason {
            if let Some(ratio) = ratio(*count, self.all) {
                self.ratios.insert(reason.clone(), format!("{ratio:.2}"));
            }
        }
    }

    /// Returns whether nodes cut requests more often beside a configuration than is allowed.
    pub fn is_caused_by_configurations(&self) -> bool {
        is_caused_by_configurations(self.cut, self.all)
    }
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
    /// Most resident memory of all processes together at any check, in MiB.
    pub peak_memory_mib: u64,
    /// Number of events of the schedule by kind.
    pub events: BTreeMap<String, u64>,
    /// Ends of the requests by their kind.
    pub ends: BTreeMap<String, Ends>,
    /// Requests that had no answer at the timeout of their route.
    pub overdue: Overdue,
    /// Moves of runs by their outcome, as nodes have logged them.
    pub moves: BTreeMap<String, u64>,
    /// Number of broken invariants by their name.
    pub violations: BTreeMap<String, u64>,
}

/// `Violation` is a broken invariant.
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
