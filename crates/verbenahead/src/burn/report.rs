//! The burn report.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead_core::{NodeId, ServiceId, WorkspaceId, time::UnixMillis};

use super::{
    alert::BurnAlert,
    counts::{Counts, ObjectiveKind},
    render_text,
    window::Window,
};

/// `BurnReport` shows the burn of each objective over several windows, over all nodes.
#[derive(Debug, Clone, PartialEq, Display, Serialize, Deserialize)]
#[display("{}", render_text::render(self))]
pub struct BurnReport {
    /// Name of the deployment.
    pub deployment: String,
    /// When the report was made.
    #[serde(rename = "made_at_ms")]
    pub made_at: UnixMillis,
    /// Node that made the report.
    pub made_by: NodeId,
    /// Nodes that answered for the short windows.
    pub answered: Vec<NodeId>,
    /// Nodes that did not answer. Their last minutes may be missing from the short windows.
    pub missing: Vec<NodeId>,
    /// State of the counts in the table.
    pub stored: StoredState,
    /// Burn of each workspace at each service.
    pub entries: Vec<BurnEntry>,
}

/// `StoredState` says how fresh the counts from the table are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum StoredState {
    /// The counts were read.
    Read {
        /// Age of the reading, in milliseconds.
        age_ms: u64,
    },
    /// The table did not answer. The counts are those of an earlier reading.
    Stale {
        /// Age of the reading, in milliseconds.
        age_ms: u64,
        /// Why the table did not answer.
        reason: String,
    },
    /// The table did not answer, and there is no earlier reading. Long windows are not known.
    Missing {
        /// Why the table did not answer.
        reason: String,
    },
}

/// `BurnEntry` is the burn of one workspace at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnEntry {
    /// Workspace of the requests.
    pub workspace: WorkspaceId,
    /// Service of the requests.
    pub service: ServiceId,
    /// Burn of each objective that applies.
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

/// `ObjectiveBurn` is the burn of one objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// The objective.
    pub objective: ObjectiveKind,
    /// Part of the requests that must be good.
    pub target: f64,
    /// Longest time of a good request, in milliseconds, for objectives on time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_ms: Option<u64>,
    /// Burn over each window, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Part of the error budget that is left, below 0 when overspent. `None` without requests.
    pub budget_left: Option<f64>,
    /// The most urgent alert that the windows raise.
    pub alert: BurnAlert,
    /// Burn of each hour of the last three days that had requests, the oldest first.
    pub hours: Vec<HourBurn>,
}

impl ObjectiveBurn {
    /// Returns the burn rate of a window, if it is known and had requests.
    pub fn rate(&self, window: Window) -> Option<f64> {
        let found = self.windows.iter().find(|entry| entry.window == window);
        found.and_then(|entry| entry.rate)
    }
}

/// `WindowBurn` is the burn over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Counts in the window. `None` when they are not known.
    pub counts: Option<Counts>,
    /// How many times faster than allowed the budget is used up. `None` without requests.
    pub rate: Option<f64>,
}

/// `HourBurn` is the burn of one hour.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HourBurn {
    /// Start of the hour.
    #[serde(rename = "start_ms")]
    pub start: UnixMillis,
    /// Burn rate of the hour.
    pub rate: f64,
}
