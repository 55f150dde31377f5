//! Counts of the requests that began to run, by window of the time of day.

use std::{collections::BTreeMap, time::Duration};

use verbenahead_core::{WorkspaceId, time::UnixMillis};

/// `UsageWindows` counts for the last few windows.
#[derive(Debug, Clone)]
pub struct UsageWindows {
    length: Duration,
    kept: usize,
    windows: BTreeMap<u64, BTreeMap<WorkspaceId, u64>>,
}

impl UsageWindows {
    /// Builds counts over windows of this length, of which the last `kept` are remembered.
    pub fn new(length: Duration, kept: usize) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
            kept: kept.max(1),
            windows: BTreeMap::new(),
        }
    }

    /// Returns the number of the window of a time.
    pub fn window_of(&self, at: UnixMillis) -> u64 {
        at.0 / self.length.as_millis() as u64
    }

    /// Returns the end of a window.
    pub fn end_of(&self, window: u64) -> UnixMillis {
        UnixMillis(
            window
                .saturating_add(1)
                .saturating_mul(self.length.as_millis() as u64),
        )
    }

    /// Counts a request that began to run.
    pub fn count(&mut self, workspace: &WorkspaceId, at: UnixMillis) {
        let window = self.window_of(at);
        let counts = self.windows.entry(window).or_default();
        *counts.entry(workspace.clone()).or_default() += 1;
        while self.windows.len() > self.kept {
            self.windows.pop_first();
        }
    }

    /// Iterates over the windows that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &BTreeMap<WorkspaceId, u64>)> {
        self.windows
            .iter()
            .map(|(window, counts)| (*window, counts))
    }

    /// Returns the counts of a window.
    pub fn counts(&self, window: u64) -> BTreeMap<WorkspaceId, u64> {
        self.windows.get(&window).cloned().unwrap_or_default()
    }
}

/// `NodeLife` identifies one life of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIncarnation(pub u64);

/// `UsageCollector` adds up what the nodes counted. It keeps what a node told that is gone since.
#[derive(Debug, Clone, Default)]
pub struct UsageCollector {
    told: BTreeMap<(u64, NodeIncarnation), ToldWindow>,
}

/// `ToldCounts` is what one life of a node told of one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedCounts {
    /// Life of the node.
    pub node: NodeIncarnation,
    /// Number of the window.
    pub window: u64,
    /// Whether the window had ended for the node.
    pub is_final: bool,
    /// Requests by the short key of the workspace.
    pub counts: BTreeMap<u32, u64>,
}

/// `ToldWindow` is what one life of a node told of one window.
#[derive(Debug, Clone, Default)]
struct ToldWindow {
    is_final: bool,
    /// Requests by the short key of the workspace.
    counts: BTreeMap<u32, u64>,
}

impl UsageCollector {
    /// Takes in what a node told of a window. Counts only grow, so a late report changes nothing.
    pub fn record_counts(
        &mut self,
        node: NodeIncarnation,
        window: u64,
        is_final: bool,
        counts: impl IntoIterator<Item = (u32, u64)>,
    ) {
        let told = self.told.entry((window, node)).or_default();
        told.is_final |= is_final;
        for (workspace, count) in counts {
            let known = told.counts.entry(workspace).or_default();
            *known = (*known).max(count);
        }
    }

    /// Returns whether a node has told all of a window.
    pub fn is_final(&self, node: NodeIncarnation, window: u64) -> bool {
        self.told
            .get(&(window, node))
            .is_some_and(|told| told.is_final)
    }

    /// Returns the requests of a workspace in a window, over all nodes.
    pub fn total(&self, window: u64, workspace: u32) -> u64 {
        let of_window = self
            .told
            .range((window, NodeIncarnation(0))..=(window, NodeIncarnation(u64::MAX)));
        of_window
            .filter_map(|(_, told)| told.counts.get(&workspace))
            .sum()
    }

    /// Returns what was told by the lives for which `is_chosen` holds, the latest windows first.
    pub fn reported_by(&self, is_chosen: impl Fn(NodeIncarnation) -> bool) -> Vec<ReportedCounts> {
        let chosen = self
            .told
            .iter()
            .rev()
            .filter(|((_, node), _)| is_chosen(*node));
        let told = chosen.map(|((window, node), told)| ReportedCounts {
            node: *node,
            window: *window,
            is_final: told.is_final,
            counts: told.counts.clone(),
        });
        told.collect()
    }

    /// Forgets the windows before this one.
    pub fn discard_before(&mut self, window: u64) {
        self.told = self.told.split_off(&(window, NodeIncarnation(0)));
    }
}
