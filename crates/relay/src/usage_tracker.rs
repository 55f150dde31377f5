//! Accounting of use: retry budgets of services, and counts of requests that ran.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use verbenahead_core::{HashMap, ServiceId, WorkspaceId, time::UnixMillis};
use verbenahead_membership::{NameKey, WindowCounts};
use verbenahead_policy::{RepeatBudget, RepeatBudgetOptions, UsageWindows};

use crate::{agreed_clock::AgreedClock, clock::policy_now};

/// `UsageOptions` holds the limits on use and the intervals of usage reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageOptions {
    /// Limit on retries.
    pub retries: RepeatBudgetOptions,
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
    /// Returns the counts that hold until the list of nodes has been read.
    fn default() -> Self {
        Self {
            live: 1,
            known: ASSUMED_NODES,
        }
    }
}

/// Number of nodes assumed until the list of nodes has been read.
const ASSUMED_NODES: usize = 16;

impl UsageTracker {
    /// Builds a tracker without any recorded use.
    pub fn new(options: UsageOptions, clock: Arc<AgreedClock>) -> Self {
        Self {
            state: Mutex::new(State {
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

    /// Returns the numbers of nodes, as known to this node.
    pub fn nodes(&self) -> NodeCounts {
        self.lock().nodes
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

    /// Gives back a retry that was taken from the budget and not made.
    pub(crate) fn return_retry(&self, service: &ServiceId) {
        self.with_budget(service, |budget, _| budget.give_back());
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

    /// Returns the number of the window in which the time `age` ago lies.
    pub fn window_before(&self, age: Duration) -> u64 {
        let now = self.clock.now().0;
        let at = UnixMillis(now.saturating_sub(age.as_millis() as u64));
        self.lock().windows.window_of(at)
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

    /// Sets the numbers of nodes, which determine this node's share of each retry budget.
    pub fn set_nodes(&self, nodes: NodeCounts) {
        self.lock().nodes = nodes;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
