//! What callers use: quotas, repeats, and the requests that began to run.

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

/// `AccountOptions` are the bounds that the deployment promises.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageOptions {
    /// Bound on repeated requests.
    pub retries: RepeatBudgetOptions,
    /// Tuning of quotas.
    pub quotas: SharedQuotaOptions,
    /// Length of the windows of usage.
    pub usage_window: Duration,
    /// Time from the end of a window in which its report is due.
    pub usage_report_due: Duration,
}

impl UsageOptions {
    /// Returns the number of ended windows whose reports may still be due.
    pub fn due_windows(&self) -> u64 {
        let length = self.usage_window.as_secs_f64();
        let due = (self.usage_report_due.as_secs_f64() / length.max(MIN_WINDOW_SECONDS)).ceil();
        (due as u64).clamp(1, MAX_DUE_WINDOWS)
    }
}

/// Shortest window that is computed with, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.001;

/// Most ended windows that reports of nodes tell of. More would not fit into a datagram.
const MAX_DUE_WINDOWS: u64 = 8;

/// Windows that are remembered beside the due ones, for clocks that differ.
const SPARE_WINDOWS: usize = 4;

/// `Accounts` follows what callers use through one node.
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

/// `NodeCounts` are the nodes as one of them sees them, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes that are heard.
    pub live: usize,
    /// Nodes that were heard or listed of late.
    pub known: usize,
}

impl Default for NodeCounts {
    /// A node that has not read the list of nodes takes itself to be one of several.
    fn default() -> Self {
        Self {
            live: 1,
            known: ASSUMED_NODES,
        }
    }
}

/// Nodes that a node takes to be there before it has read the list of them.
const ASSUMED_NODES: usize = 16;

impl NodeCounts {
    fn heard_share(self) -> f64 {
        let known = self.known.max(self.live).max(1);
        self.live.max(1) as f64 / known as f64
    }
}

/// Age up to which all that a node has used counts, also what it used before it was first heard.
const YOUNG: Duration = Duration::from_secs(8);

/// `QuotaTaken` is what a request took from the quota of its workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaTaken {
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
        let share = self.nodes.heard_share();
        self.quotas.entry(workspace.id.clone()).or_insert_with(|| {
            SharedQuota::new(options.quotas, quota.rate, quota.burst, share, now)
        })
    }
}

impl UsageTracker {
    /// Builds accounts without any use.
    pub fn new(options: UsageOptions, clock: Arc<AgreedClock>) -> Self {
        Self {
            state: Mutex::new(State {
                quotas: HashMap::default(),
                budgets: HashMap::default(),
                windows: UsageWindows::new(
                    options.usage_window,
                    options.due_windows() as usize + SPARE_WINDOWS,
                ),
                nodes: NodeCounts::default(),
            }),
            options,
            clock,
        }
    }

    /// Returns how many nodes share the quotas, as this node believes.
    pub fn nodes(&self) -> NodeCounts {
        self.lock().nodes
    }

    /// Takes a request out of the quota of its workspace.
    ///
    /// # Errors
    ///
    /// The delay after which the quota has something left.
    pub fn take_quota(
        &self,
        workspace: &RoutedWorkspace,
        size: Option<Tokens>,
    ) -> Result<Option<QuotaTaken>, Duration> {
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
        Ok(Some(QuotaTaken {
            workspace: workspace.id.clone(),
            units,
        }))
    }

    /// Gives back what a request took that did not run.
    pub fn give_back(&self, taken: &QuotaTaken) {
        if let Some(shared) = self.lock().quotas.get_mut(&taken.workspace) {
            shared.refund(taken.units, policy_now());
        }
    }

    /// Counts a request for a service.
    pub fn on_request(&self, service: &ServiceId) {
        self.with_budget(service, |budget, _| budget.on_request(policy_now()));
    }

    /// Takes a repeat of a request, if the budget allows it.
    pub fn try_repeat(&self, service: &ServiceId) -> bool {
        self.with_budget(service, |budget, nodes| {
            budget.try_take(nodes, policy_now())
        })
    }

    /// Counts a repeat that has to be made in any case, so that others are not made.
    pub fn on_repeat(&self, service: &ServiceId) {
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
        f(budget.expect("the budget was inserted"), nodes)
    }

    /// Counts a request of a workspace that began to run.
    pub fn count_run(&self, workspace: &WorkspaceId) {
        let now = self.clock.now();
        self.lock().windows.count(workspace, now);
    }

    /// Returns the number of the window of the present time.
    pub fn current_window(&self) -> u64 {
        self.lock().windows.window_of(self.clock.now())
    }

    /// Returns the oldest window whose report may still be due.
    pub fn oldest_due_window(&self) -> u64 {
        let due = self.options.due_windows();
        self.current_window().saturating_sub(due)
    }

    /// Returns the length of a window.
    pub fn window_length(&self) -> Duration {
        self.options.usage_window
    }

    /// Returns how long ago a window ended, or `None` while it lasts.
    pub fn since_window_end(&self, window: u64) -> Option<Duration> {
        let end = self.lock().windows.end_of(window);
        let now = self.clock.now();
        (now >= end).then(|| now.since(end))
    }

    /// Returns the last windows, for the node that reports them.
    pub fn windows(&self) -> Vec<WindowCounts> {
        let now = self.clock.now();
        let state = self.lock();
        let present = state.windows.window_of(now);
        let first = present.saturating_sub(self.options.due_windows());
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
        (first..=present).map(window).collect()
    }

    /// Returns what this node let pass for each workspace.
    pub fn quota_use(&self) -> Vec<QuotaUse> {
        let state = self.lock();
        let used = state.quotas.iter().map(|(workspace, quota)| QuotaUse {
            workspace: NameKey::from(workspace),
            total: quota.used(),
        });
        used.filter(|used| used.total > 0).collect()
    }

    /// Returns whether all other nodes should be told at once of the use of a quota that is nearly
    /// used up, and takes it that they are.
    pub fn take_urgent_quota_use(&self) -> bool {
        let now = policy_now();
        let mut state = self.lock();
        let is_pressing = state
            .quotas
            .values()
            .any(|quota| quota.should_report_now(now));
        if is_pressing {
            state
                .quotas
                .values_mut()
                .for_each(SharedQuota::mark_reported);
        }
        is_pressing
    }

    /// Takes in what another node let pass.
    pub fn apply_report(&self, report: &NodeReport, routes: Option<&RouteTable>) {
        let Some(routes) = routes else {
            return;
        };
        let now = policy_now();
        let node = report.incarnation.0 ^ u64::from(NameKey::of(report.node.as_str()).0);
        let is_young = self.clock.now().since(UnixMillis(report.incarnation.0)) < YOUNG;
        let mut state = self.lock();
        for workspace in routes.workspaces() {
            let Some(quota) = &workspace.quota else {
                continue;
            };
            let key = NameKey::from(&workspace.id);
            let used = report.quota_use.iter().find(|used| used.workspace == key);
            let total = used.map_or(0, |used| used.total);
            let shared = state.quota(workspace, quota, &self.options, now);
            shared.apply_report(node, total, is_young, now);
        }
    }

    /// Sets the numbers of nodes.
    pub fn set_nodes(&self, nodes: NodeCounts) {
        let now = policy_now();
        let mut state = self.lock();
        state.nodes = nodes;
        let share = nodes.heard_share();
        for quota in state.quotas.values_mut() {
            quota.set_share(share, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
