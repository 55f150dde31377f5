//! The first broken invariant of a run.

use std::sync::{Mutex, PoisonError};

use derive_more::{Display, Error};
use tokio::sync::Notify;

/// `Broken` is an invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("soak: broken invariant: {invariant}: {detail}")]
pub struct Broken {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What was seen.
    pub detail: String,
    /// Nodes that took part, whose logs are worth reading. All nodes when empty.
    #[error(not(source))]
    pub nodes: Vec<String>,
}

impl Broken {
    /// Builds a broken invariant in which all nodes took part.
    pub fn new(invariant: &'static str, detail: impl Into<String>) -> Self {
        Self {
            invariant,
            detail: detail.into(),
            nodes: Vec::new(),
        }
    }

    /// Names the nodes that took part.
    #[must_use]
    pub fn at(mut self, nodes: impl IntoIterator<Item = String>) -> Self {
        self.nodes.extend(nodes);
        self.nodes.sort();
        self.nodes.dedup();
        self
    }
}

/// `Verdict` keeps the first broken invariant and wakes who waits for it.
#[derive(Debug, Default)]
pub struct Verdict {
    first: Mutex<Option<Broken>>,
    changed: Notify,
}

impl Verdict {
    /// Records a broken invariant, unless there is one already.
    pub fn report(&self, broken: Broken) {
        let mut first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        first.get_or_insert(broken);
        drop(first);
        self.changed.notify_waiters();
    }

    /// Records the error of a check.
    pub fn record(&self, check: Result<(), Broken>) {
        if let Err(broken) = check {
            self.report(broken);
        }
    }

    /// Returns the first broken invariant.
    pub fn first(&self) -> Option<Broken> {
        let first = self.first.lock().unwrap_or_else(PoisonError::into_inner);
        first.clone()
    }

    /// Waits for a broken invariant.
    pub async fn wait(&self) -> Broken {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(broken) = self.first() {
                return broken;
            }
            changed.await;
        }
    }
}
