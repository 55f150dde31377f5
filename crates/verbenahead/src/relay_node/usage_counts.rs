//! Requests of each window that the nodes have counted.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use verbenahead_core::{Incarnation, NodeId};
use verbenahead_membership::{NameKey, NodeReport, SharedRoster};
use verbenahead_policy::{NodeIncarnation, ReportedCounts, UsageCollector};
use verbenahead_relay::{RouteView, UsageTracker};
use verbenahead_services::UsageReport;
use verbenahead_state::SavedCounts;

/// `UsageCounts` holds the counts of this node and those that it has heard of, whether it holds the lease or not.
/// Counts only rise until they are final, so they stay true when the lease changes hands.
pub struct UsageCounts {
    usage_tracker: Arc<UsageTracker>,
    roster: SharedRoster,
    routes: RouteView,
    collector: UsageCollector,
    /// Incarnation of this node.
    own_incarnation: NodeIncarnation,
}

impl UsageCounts {
    /// Builds the counts of a node that has heard of no others.
    pub fn new(
        node: &NodeId,
        incarnation: Incarnation,
        usage_tracker: Arc<UsageTracker>,
        roster: SharedRoster,
        routes: RouteView,
    ) -> Self {
        Self {
            own_incarnation: node_incarnation(node, incarnation),
            usage_tracker,
            roster,
            routes,
            collector: UsageCollector::default(),
        }
    }

    /// Returns the windows as this node counts them.
    pub fn tracker(&self) -> &UsageTracker {
        &self.usage_tracker
    }

    /// Returns the known nodes.
    pub fn roster(&self) -> &SharedRoster {
        &self.roster
    }

    /// Collects the counts that other nodes report.
    pub fn collect(&mut self) {
        for report in self.roster.lock().live() {
            for window in &report.windows {
                let counts = window.counts.iter().map(|(key, count)| (key.0, *count));
                self.collector.record_counts(
                    incarnation_of(report),
                    window.window,
                    window.is_final,
                    counts,
                );
            }
        }
    }

    /// Collects the counts of windows that may still be due, in case this node takes the lease next.
    pub fn collect_due(&mut self) {
        self.collect();
        self.collector
            .discard_before(self.usage_tracker.oldest_due_window());
    }

    /// Drops the counts of the windows before `window`.
    pub fn discard_before(&mut self, window: u64) {
        self.collector.discard_before(window);
    }

    /// Returns the counts of the windows from `first` on: those of this node, then those of the other nodes with
    /// the latest windows first.
    pub fn since(&self, first: u64) -> Vec<SavedCounts> {
        let own = self
            .usage_tracker
            .windows()
            .into_iter()
            .map(|counts| SavedCounts {
                window: counts.window,
                node_incarnation: self.own_incarnation.0,
                is_final: counts.is_final,
                counts: counts.counts.iter().map(|(key, n)| (key.0, *n)).collect(),
            });
        let others = self
            .collector
            .reported_by(|_| true)
            .into_iter()
            .map(saved_counts);
        let is_counted = |entry: &SavedCounts| entry.window >= first && !entry.counts.is_empty();
        own.chain(others).filter(is_counted).collect()
    }

    /// Adds the counts that earlier holders saved. Those of this node are skipped, since the ones in its memory
    /// are newer.
    pub fn add_saved(&mut self, saved: Vec<SavedCounts>) {
        let others = saved
            .into_iter()
            .filter(|entry| entry.node_incarnation != self.own_incarnation.0);
        for entry in others {
            let node = NodeIncarnation(entry.node_incarnation);
            self.collector
                .record_counts(node, entry.window, entry.is_final, entry.counts);
        }
    }

    /// Returns whether the counts of a window are final at all nodes. `elapsed` is the time since its end.
    pub fn are_final(&self, window: u64, elapsed: Duration) -> bool {
        // A node that sent a report after the window began may have counted requests in it, even
        // if it has sent nothing since.
        let since_begin = elapsed + self.usage_tracker.window_length();
        let roster = self.roster.lock();
        let mut reports = roster.reported_within(since_begin);
        reports.all(|report| self.collector.is_final(incarnation_of(report), window))
    }

    /// Returns the report of a window.
    pub fn report(&self, window: u64) -> UsageReport {
        let own = self.usage_tracker.windows();
        let own = own.iter().find(|counts| counts.window == window);
        let own = |key: NameKey| {
            let counts = own.map(|own| &own.counts[..]).unwrap_or_default();
            let found = counts.iter().find(|(known, _)| *known == key);
            found.map_or(0, |(_, count)| *count)
        };
        let routes = self.routes.borrow().clone();
        let mut counts = BTreeMap::new();
        for workspace in routes.iter().flat_map(|routes| routes.workspaces()) {
            let key = NameKey::from(&workspace.id);
            let total = own(key) + self.collector.total(window, key.0);
            if total > 0 {
                counts.insert(workspace.id.clone(), total);
            }
        }
        UsageReport { window, counts }
    }
}

fn saved_counts(reported: ReportedCounts) -> SavedCounts {
    SavedCounts {
        window: reported.window,
        node_incarnation: reported.node.0,
        is_final: reported.is_final,
        counts: reported.counts.into_iter().collect(),
    }
}

fn incarnation_of(report: &NodeReport) -> NodeIncarnation {
    node_incarnation(&report.node, report.incarnation)
}

/// Returns the identity under which the counts of an incarnation of a node are collected.
fn node_incarnation(node: &NodeId, incarnation: Incarnation) -> NodeIncarnation {
    NodeIncarnation(incarnation.0 ^ u64::from(NameKey::of(node.as_str()).0))
}
