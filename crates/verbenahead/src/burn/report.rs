//! Types of the burn report.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead_core::{NodeId, ServiceId, WorkspaceId, time::UnixMillis};

use super::{
    alert::BurnAlert,
    counts::{Counts, ObjectiveKind},
    render_text,
    window::Window,
};

/// `BurnReport` holds the burn rate of each objective over several windows, summed over all nodes.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
#[display("{}", render_text::render(self))]
pub struct BurnReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Time at which the report was made.
    #[serde(rename = "made_at_ms")]
    pub made_at: UnixMillis,
    /// Node that made the report.
    pub made_by: NodeId,
    /// Nodes that returned their counts for the short windows.
    pub answered: Vec<NodeId>,
    /// Nodes that did not answer. Their counts of the last minutes may be missing from the short
    /// windows.
    pub missing: Vec<NodeId>,
    /// Freshness of the counts from the table.
    pub stored: StoredState,
    /// Burn rates of each workspace at each service.
    pub entries: Vec<BurnEntry>,
}

/// `StoredState` is the freshness of the counts from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum StoredState {
    /// The table was read recently enough.
    Read {
        /// Time since the table was read, in milliseconds.
        age_ms: u64,
    },
    /// The table cannot be read. The counts are those of an earlier read.
    Stale {
        /// Time since the table was read, in milliseconds.
        age_ms: u64,
        /// Error of the last attempt to read the table.
        reason: String,
    },
    /// The table cannot be read, and there was no earlier read. The long windows are not known.
    Missing {
        /// Error of the last attempt to read the table.
        reason: String,
    },
}

/// `BurnEntry` holds the burn rates of one workspace at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnEntry {
    /// Workspace of the requests.
    pub workspace: WorkspaceId,
    /// Service of the requests.
    pub service: ServiceId,
    /// Burn rates of each objective that applies to the service.
    pub objectives: Vec<ObjectiveBurn>,
}

impl BurnEntry {
    /// Returns the most urgent alert of the objectives.
    pub fn alert(&self) -> BurnAlert {
        let alerts = self.objectives.iter().map(|objective| objective.alert);
        alerts.max().unwrap_or_default()
    }

    /// Returns whether no request was counted in any window.
    pub fn is_idle(&self) -> bool {
        let mut windows = self.objectives.iter().flat_map(|entry| &entry.windows);
        windows.all(|window| window.counts.is_none_or(|counts| counts.total == 0))
    }
}

/// `ObjectiveBurn` holds the burn rates of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// The objective.
    pub objective: ObjectiveKind,
    /// Ratio of requests that must be good, from 0 to 1.
    pub target: f64,
    /// Longest time of a good request, in milliseconds, for latency objectives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_ms: Option<u64>,
    /// Burn rate over each window, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Remaining ratio of the error budget, negative when overspent. `None` without requests.
    pub budget_left: Option<f64>,
    /// The most urgent alert that the windows raise.
    pub alert: BurnAlert,
    /// Burn rate of each hour of the last three days that had requests, the oldest first.
    pub hours: Vec<HourBurn>,
}

impl ObjectiveBurn {
    /// Returns the burn rate of a window, if it is known and had requests.
    pub fn rate(&self, window: Window) -> Option<f64> {
        let found = self.windows.iter().find(|entry| entry.window == window);
        found.and_then(|entry| entry.rate)
    }
}

/// `WindowBurn` holds the burn rate over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Counts in the window. `None` when they are not known.
    pub counts: Option<Counts>,
    /// How many times faster than allowed the error budget is used up. `None` without requests.
    pub rate: Option<f64>,
}

/// `HourBurn` holds the burn rate of one hour.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HourBurn {
    /// Start of the hour.
    #[serde(rename = "start_ms")]
    pub start: UnixMillis,
    /// Burn rate of the hour.
    pub rate: f64,
}
