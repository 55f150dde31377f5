//! Counts of started requests per workspace, in fixed windows of wall-clock time.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::{WorkspaceId, time::UnixMillis};

/// `UsageWindows` holds the counts of this node for the latest windows.
#[derive(Debug, Clone)]
pub struct UsageWindows {
    length: Duration,
    max_windows: usize,
    windows: BTreeMap<u64, BTreeMap<WorkspaceId, u64>>,
}

impl UsageWindows {
    /// Builds empty counts over windows of `length`, and keeps the latest `max_windows` of them.
    pub fn new(length: Duration, max_windows: usize) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
            max_windows: max_windows.max(1),
            windows: BTreeMap::new(),
        }
    }

    /// Returns the number of the window that contains `at`.
    pub fn window_of(&self, at: UnixMillis) -> u64 {
        at.0 / self.length.as_millis() as u64
    }

    /// Returns the end of a window, which is exclusive.
    pub fn end_of(&self, window: u64) -> UnixMillis {
        UnixMillis(
            window
                .saturating_add(1)
                .saturating_mul(self.length.as_millis() as u64),
        )
    }

    /// Counts a request that started at `at`.
    pub fn count(&mut self, workspace: &WorkspaceId, at: UnixMillis) {
        let window = self.window_of(at);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        while self.windows.len() > self.max_windows {
            self.windows.pop_first();
        }
    }

    /// Iterates over the windows that are kept, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &BTreeMap<WorkspaceId, u64>)> {
        self.windows
            .iter()
            .map(|(window, counts)| (*window, counts))
    }

    /// Returns the counts of a window, empty if the window is not kept.
    pub fn counts(&self, window: u64) -> BTreeMap<WorkspaceId, u64> {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}

/// `NodeIncarnation` identifies one incarnation of a node among those of all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIncarnation(pub u64);

/// `UsageCollector` adds up the counts that all nodes have reported. It keeps the reports of nodes
/// that have left.
#[derive(Debug, Clone, Default)]
pub struct UsageCollector {
    reports: BTreeMap<(u64, NodeIncarnation), WindowReport>,
}

/// `ReportedCounts` holds the counts that one incarnation of a node has reported for one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCounts {
    /// Incarnation of the node.
    pub node: NodeIncarnation,
    /// Number of the window.
    pub window: u64,
    /// Whether the window had ended when the node reported it.
    pub is_final: bool,
    /// Requests by the numeric key of the workspace.
    pub counts: BTreeMap<u32, u64>,
}

/// `WindowReport` is the content of [`ReportedCounts`] in a collector.
#[derive(Debug, Clone, Default)]
struct WindowReport {
    is_final: bool,
    /// Requests by the numeric key of the workspace.
    counts: BTreeMap<u32, u64>,
}

impl UsageCollector {
    /// Records the counts that a node has reported for a window. Counts only increase, so an
    /// outdated report has no effect.
    pub fn record_counts(
        &mut self,
        node: NodeIncarnation,
        window: u64,
        is_final: bool,
        counts: impl IntoIterator<Item = (u32, u64)>,
    ) {
        let report = self.reports.entry((window, node)).or_default();
        report.is_final |= is_final;
        for (workspace, count) in counts {
            let known = report.counts.entry(workspace).or_default();
            *known = (*known).max(count);
        }
    }

    /// Returns whether a node has reported its final counts for a window.
    pub fn is_final(&self, node: NodeIncarnation, window: u64) -> bool {
        self.reports
            .get(&(window, node))
            .is_some_and(|report| report.is_final)
    }

    /// Returns the requests of a workspace in a window, summed over all nodes.
    pub fn total(&self, window: u64, workspace: u32) -> u64 {
        let reports = self
            .reports
            .range((window, NodeIncarnation(0))..=(window, NodeIncarnation(u64::MAX)));
        reports
            .filter_map(|(_, report)| report.counts.get(&workspace))
            .sum()
    }

    /// Returns the counts reported by the incarnations for which `is_selected` returns true, the
    /// latest windows first.
    pub fn reported_by(
        &self,
        is_selected: impl Fn(NodeIncarnation) -> bool,
    ) -> Vec<ReportedCounts> {
        let selected = self
            .reports
            .iter()
            .rev()
            .filter(|((_, node), _)| is_selected(*node));
        let reported = selected.map(|((window, node), report)| ReportedCounts {
            node: *node,
            window: *window,
            is_final: report.is_final,
            counts: report.counts.clone(),
        });
        reported.collect()
    }

    /// Discards the windows before `window`.
    pub fn discard_before(&mut self, window: u64) {
        self.reports = self.reports.split_off(&(window, NodeIncarnation(0)));
    }
}
