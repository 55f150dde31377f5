//! Keeps the level of features that all nodes may use, and remembers it in the platform's table across the end of
//! all nodes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::watch, time::Instant};
use verbenahead_core::{FeatureLevel, NodeId, timer::TimerService};
use verbenahead_membership::SharedRoster;
use verbenahead_policy::{FeatureDecision, FeatureView, features_in_force};
use verbenahead_services::WriteOutcome;

use crate::relay_node::{
    node_directory::NodeDirectory, reporter::NodeStatus, reporter::STEP_INTERVAL,
};

/// Most nodes that a log line names.
const MAX_NAMED: usize = 8;

/// Pause before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// `Features` is the level in force as this node knows it. It is read wherever a message or a row may have a new
/// meaning.
#[derive(Debug, Default)]
pub struct Features {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    listed_at: Option<Instant>,
    remembered: Option<FeatureLevel>,
    decision: FeatureDecision,
}

impl Features {
    /// Returns the level in force. It is 0 until the node has heard of the others.
    pub fn in_force(&self) -> FeatureLevel {
        self.lock().decision.level
    }

    /// Returns the nodes that hold the level below the one that this build knows.
    pub fn held_back_by(&self) -> Vec<NodeId> {
        self.lock().decision.held_back_by.clone()
    }

    /// Records that the list of nodes was read, with the level that the table remembers.
    pub fn set_listed(&self, remembered: Option<FeatureLevel>) {
        let mut state = self.lock();
        state.listed_at.get_or_insert_with(Instant::now);
        if remembered > Some(FeatureLevel::KNOWN) && state.remembered != remembered {
            tracing::warn!(
                remembered = remembered.map(|level| level.0),
                known = FeatureLevel::KNOWN.0,
                "a higher level of features was in force than this build knows",
            );
        }
        state.remembered = remembered;
    }

    /// Decides the level anew from what the other nodes announce, and logs a change.
    fn update(&self, others: BTreeMap<NodeId, Option<FeatureLevel>>) {
        let mut state = self.lock();
        let view = FeatureView {
            known: FeatureLevel::KNOWN,
            remembered: state.remembered,
            listed_for: state.listed_at.map(|at| at.elapsed()),
            others,
        };
        let decision = features_in_force(&view);
        if decision == state.decision {
            return;
        }
        let named = decision.held_back_by.iter().take(MAX_NAMED);
        let named: Vec<&str> = named.map(NodeId::as_str).collect();
        tracing::info!(
            level = decision.level.0,
            before = state.decision.level.0,
            known = view.known.0,
            remembered = view.remembered.map(|level| level.0),
            listed_ms = view.listed_for.map(|time| time.as_millis() as u64),
            others = view.others.len(),
            behind = decision.held_back_by.len(),
            held_back_by = named.join(" "),
            is_settled = decision.is_settled,
            "features in force changed",
        );
        state.decision = decision;
    }

    /// Returns the level to remember, if it differs from the remembered one.
    fn unsaved(&self) -> Option<FeatureLevel> {
        let state = self.lock();
        let level = state.decision.level;
        (state.decision.is_settled && state.remembered != Some(level)).then_some(level)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `FeatureKeeperParts` are what the keeper of the level reads and updates.
pub struct FeatureKeeperParts {
    /// Id of the node.
    pub node: NodeId,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Row of the level.
    pub directory: Arc<NodeDirectory>,
    /// Status of the node.
    pub status: Arc<NodeStatus>,
    /// Number of times that the store came back from an older copy.
    pub restores: watch::Receiver<u64>,
}

/// Updates the level, and writes it to the table if this node is the one to do so. Ends when the process does.
pub async fn run(mut parts: FeatureKeeperParts) {
    let features = parts.status.features();
    let mut ticks = TimerService.subscribe(STEP_INTERVAL, STEP_INTERVAL);
    let mut next_write = Instant::now();
    while ticks.recv().await.is_some() {
        let others = parts.roster.lock().feature_levels();
        features.update(others);
        if parts.restores.has_changed().unwrap_or_default() {
            parts.restores.borrow_and_update();
            // The row may be that of the older copy.
            features.lock().remembered = None;
        }
        let Some(level) = features.unsaved().filter(|_| is_writer(&parts)) else {
            continue;
        };
        if Instant::now() < next_write {
            continue;
        }
        match parts.directory.save_features(level).await {
            WriteOutcome::Done(_) => {
                features.lock().remembered = Some(level);
                tracing::info!(level = level.0, "level of features saved");
            }
            outcome => tracing::info!(level = level.0, ?outcome, "level of features not saved"),
        }
        next_write = Instant::now() + RETRY_DELAY;
    }
}

/// Returns whether this node writes the row: the first by id of the live nodes that reach the store and keep a
/// level. Nodes that differ on it write the same value.
fn is_writer(parts: &FeatureKeeperParts) -> bool {
    if !parts.status.reaches_store() {
        return false;
    }
    let roster = parts.roster.lock();
    let mut keepers = roster
        .live()
        .filter(|report| report.reaches_store && report.features > FeatureLevel::UNSTATED);
    keepers.all(|report| parts.node < report.node)
}
