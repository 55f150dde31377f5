//! Accounting of use: quotas of workspaces, retry budgets of services, and counts of requests that
//! ran.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use verbenahead_core::{HashMap, ServiceId, WorkspaceId, time::UnixMillis, units::Tokens};
use verbenahead_manifest::{Quota, RouteTable, RoutedWorkspace};
use verbenahead_membership::{NameKey, NodeReport, QuotaUse, WindowCounts};
use verbenahead_policy::{
    RepeatBudget, RepeatBudgetOptions, SharedQuota, SharedQuotaOptions, Timestamp, UsageWindows,
};

use crate::{agreed_clock::AgreedClock, clock::policy_now};

/// `UsageOptions` holds the limits on use and the intervals of usage reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageOptions {
    /// Limit on retries.
    pub retries: RepeatBudgetOptions,
    /// Parameters of the quotas that the nodes share.
    pub quotas: SharedQuotaOptions,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window within which its usage report is due.
    pub usage_report_due: Duration,
}

impl UsageOptions {
    /// Returns the number of ended windows whose usage reports may still be due.
    pub fn due_windows(&self) -> u64 {
        let length = self.usage_window.as_secs_f64();
        let due = (self.usage_report_due.as_secs_f64() / length.max(MIN_WINDOW_SECONDS)).ceil();
        (due as u64).clamp(1, MAX_DUE_WINDOWS)
    }
}

/// Smallest window length used in computations, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.001;

/// Limit on the ended windows in one node report. More would not fit into a datagram.
const MAX_DUE_WINDOWS: u64 = 8;

/// Windows kept in addition to the due ones, since the clocks of nodes differ.
const EXTRA_WINDOWS: usize = 4;

/// `UsageTracker` accounts for the requests that pass through one node.
#[derive(Debug)]
pub struct UsageTracker {
    options: UsageOptions,
    clock: Arc<AgreedClock>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    quotas: HashMap<WorkspaceId, SharedQuota>,
    budgets: HashMap<ServiceId, RepeatBudget>,
    windows: UsageWindows,
    nodes: NodeCounts,
}

/// `NodeCounts` counts the nodes that this node knows, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes whose reports arrive.
    pub live: usize,
    /// Nodes that recently sent a report or appeared in the list of nodes.
    pub known: usize,
}

impl Default for NodeCounts {
    /// Returns the counts that hold until the list of nodes has been read. They assume other nodes,
    /// so that this node uses only a small share of each quota.
    fn default() -> Self {
        Self {
            live: 1,
            known: ASSUMED_NODES,
        }
    }
}

/// Number of nodes assumed until the list of nodes has been read.
const ASSUMED_NODES: usize = 16;

impl NodeCounts {
    /// Returns the ratio of live to known nodes, above 0 and at most 1.
    fn live_ratio(self) -> f64 {
        let known = self.known.max(self.live).max(1);
        self.live.max(1) as f64 / known as f64
    }
}

/// Age of a node up to which all of its use counts, including use before its first report arrived.
const NEW_NODE_AGE: Duration = Duration::from_secs(8);

/// `QuotaCharge` is the amount charged for one request to the quota of its workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaCharge {
    workspace: WorkspaceId,
    units: Tokens,
}

impl State {
    fn quota(
        &mut self,
        workspace: &RoutedWorkspace,
        quota: &Quota,
        options: &UsageOptions,
        now: Timestamp,
    ) -> &mut SharedQuota {
        let share = self.nodes.live_ratio();
        self.quotas.entry(workspace.id.clone()).or_insert_with(|| {
            SharedQuota::new(options.quotas, quota.rate, quota.burst, share, now)
        })
    }
}

impl UsageTracker {
    /// Builds a tracker without any recorded use.
    pub fn new(options: UsageOptions, clock: Arc<AgreedClock>) -> Self {
        Self {
            state: Mutex::new(State {
                quotas: HashMap::default(),
                budgets: HashMap::default(),
                windows: UsageWindows::new(
                    options.usage_window,
                    options.due_windows() as usize + EXTRA_WINDOWS,
                ),
                nodes: NodeCounts::default(),
            }),
            options,
            clock,
        }
    }

    /// Returns the numbers of nodes that share the quotas, as known to this node.
    pub fn nodes(&self) -> NodeCounts {
        self.lock().nodes
    }

    /// Charges a request of `size` to the quota of its workspace. Returns `None` if the workspace
    /// has no quota.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the quota allows the request, if it is used up.
    pub fn charge_quota(
        &self,
        workspace: &RoutedWorkspace,
        size: Option<Tokens>,
    ) -> Result<Option<QuotaCharge>, Duration> {
        let Some(quota) = &workspace.quota else {
            return Ok(None);
        };
        let now = policy_now();
        let units = Tokens(quota.cost(size));
        let mut state = self.lock();
        let shared = state.quota(workspace, quota, &self.options, now);
        shared.set_limit(quota.rate, quota.burst, now);
        let wait = shared.wait(units, now);
        if !wait.is_zero() {
            return Err(wait);
        }
        shared.take(units, now);
        Ok(Some(QuotaCharge {
            workspace: workspace.id.clone(),
            units,
        }))
    }

    /// Refunds the charge for a request that did not run.
    pub fn refund(&self, charge: &QuotaCharge) {
        if let Some(shared) = self.lock().quotas.get_mut(&charge.workspace) {
            shared.refund(charge.units, policy_now());
        }
    }

    /// Counts a request to a service, which adds to the retry budget of the service.
    pub fn on_request(&self, service: &ServiceId) {
        self.with_budget(service, |budget, _| budget.on_request(policy_now()));
    }

    /// Takes one retry from the budget of a service. Returns `false` if the budget is used up.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        self.with_budget(service, |budget, nodes| {
            budget.try_take(nodes, policy_now())
        })
    }

    /// Counts a retry that is made whatever the budget, which leaves less budget for other retries.
    pub fn on_retry(&self, service: &ServiceId) {
        self.with_budget(service, |budget, _| budget.on_repeat(policy_now()));
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut RepeatBudget, usize) -> T,
    ) -> T {
        let mut state = self.lock();
        let nodes = state.nodes.live;
        if !state.budgets.contains_key(service) {
            let budget = RepeatBudget::new(self.options.retries);
            state.budgets.insert(service.clone(), budget);
        }
        let budget = state.budgets.get_mut(service);
        f(budget.expect("the budget was inserted above"), nodes)
    }

    /// Counts a request of a workspace that began to run, in the current usage window.
    pub fn count_run(&self, workspace: &WorkspaceId) {
        let now = self.clock.now();
        self.lock().windows.count(workspace, now);
    }

    /// Returns the number of the current window.
    pub fn current_window(&self) -> u64 {
        self.lock().windows.window_of(self.clock.now())
    }

    /// Returns the number of the oldest window whose usage report may still be due.
    pub fn oldest_due_window(&self) -> u64 {
        let due = self.options.due_windows();
        self.current_window().saturating_sub(due)
    }

    /// Returns the length of a window.
    pub fn window_length(&self) -> Duration {
        self.options.usage_window
    }

    /// Returns the time since a window ended, or `None` if it has not ended yet.
    pub fn since_window_end(&self, window: u64) -> Option<Duration> {
        let end = self.lock().windows.end_of(window);
        let now = self.clock.now();
        (now >= end).then(|| now.since(end))
    }

    /// Returns the counts of the current window and of those whose usage reports may still be due.
    pub fn windows(&self) -> Vec<WindowCounts> {
        let now = self.clock.now();
        let state = self.lock();
        let current = state.windows.window_of(now);
        let first = current.saturating_sub(self.options.due_windows());
        let window = |window| WindowCounts {
            window,
            is_final: now >= state.windows.end_of(window),
            counts: state
                .windows
                .counts(window)
                .iter()
                .map(|(workspace, count)| (NameKey::from(workspace), *count))
                .collect(),
        };
        (first..=current).map(window).collect()
    }

    /// Returns the total quota use of each workspace through this node.
    pub fn quota_use(&self) -> Vec<QuotaUse> {
        let state = self.lock();
        let used = state.quotas.iter().map(|(workspace, quota)| QuotaUse {
            workspace: NameKey::from(workspace),
            total: quota.used(),
        });
        used.filter(|used| used.total > 0).collect()
    }

    /// Returns whether a quota is so nearly used up that its use should be reported to all other
    /// nodes at once. If so, marks the use of all quotas as reported.
    pub fn take_urgent_quota_use(&self) -> bool {
        let now = policy_now();
        let mut state = self.lock();
        let is_urgent = state
            .quotas
            .values()
            .any(|quota| quota.should_report_now(now));
        if is_urgent {
            state
                .quotas
                .values_mut()
                .for_each(SharedQuota::mark_reported);
        }
        is_urgent
    }

    /// Applies the quota use that another node reports.
    pub fn apply_report(&self, report: &NodeReport, routes: Option<&RouteTable>) {
        let Some(routes) = routes else {
            return;
        };
        let now = policy_now();
        let node = report.incarnation.0 ^ u64::from(NameKey::of(report.node.as_str()).0);
        let is_new = self.clock.now().since(UnixMillis(report.incarnation.0)) < NEW_NODE_AGE;
        let mut state = self.lock();
        for workspace in routes.workspaces() {
            let Some(quota) = &workspace.quota else {
                continue;
            };
            let key = NameKey::from(&workspace.id);
            let used = report.quota_use.iter().find(|used| used.workspace == key);
            let total = used.map_or(0, |used| used.total);
            let shared = state.quota(workspace, quota, &self.options, now);
            shared.apply_report(node, total, is_new, now);
        }
    }

    /// Sets the numbers of nodes, which determine this node's share of each quota.
    pub fn set_nodes(&self, nodes: NodeCounts) {
        let now = policy_now();
        let mut state = self.lock();
        state.nodes = nodes;
        let share = nodes.live_ratio();
        for quota in state.quotas.values_mut() {
            quota.set_share(share, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
