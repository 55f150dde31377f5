//! The first broken invariant of a run.

use std::sync::{Mutex, PoisonError};

use derive_more::{Display, Error};
use tokio::sync::Notify;

/// `BrokenInvariant` is an invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("soak: broken invariant: {invariant}: {detail}")]
pub struct BrokenInvariant {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What was seen.
    pub detail: String,
    /// Nodes involved, whose logs are printed. Empty means all nodes.
    #[error(not(source))]
    pub nodes: Vec<String>,
}

impl BrokenInvariant {
    /// Builds a broken invariant that involves all nodes.
    pub fn new(invariant: &'static str, detail: impl Into<String>) -> Self {
        Self {
            invariant,
            detail: detail.into(),
            nodes: Vec::new(),
        }
    }

    /// Adds the nodes involved.
    #[must_use]
    pub fn with_nodes(mut self, nodes: impl IntoIterator<Item = String>) -> Self {
        self.nodes.extend(nodes);
        self.nodes.sort();
        self.nodes.dedup();
        self
    }
}

/// `FirstFailure` keeps the first broken invariant and wakes the tasks that wait for it.
#[derive(Debug, Default)]
pub struct FirstFailure {
    first: Mutex<Option<BrokenInvariant>>,
    changed: Notify,
}

impl FirstFailure {
    /// Records a broken invariant, unless there is one already.
    pub fn report(&self, broken: BrokenInvariant) {
        let mut first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        first.get_or_insert(broken);
        drop(first);
        self.changed.notify_waiters();
    }

    /// Records the error of a check.
    pub fn record(&self, check: Result<(), BrokenInvariant>) {
        if let Err(broken) = check {
            self.report(broken);
        }
    }

    /// Returns the first broken invariant.
    pub fn get(&self) -> Option<BrokenInvariant> {
        let first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        first.clone()
    }

    /// Waits for a broken invariant.
    pub async fn wait(&self) -> BrokenInvariant {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(broken) = self.get() {
                return broken;
            }
            changed.await;
        }
    }
}
