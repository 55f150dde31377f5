//! Limits on the number of concurrent requests, in total and per workspace.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use verbenahead_core::{HashMap, WorkspaceId};

/// `ConcurrencyLimiter` bounds the requests that a node serves at the same time. Clones share the
/// permits.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    max_in_all: usize,
    max_per_workspace: usize,
    used: Arc<Mutex<Used>>,
}

#[derive(Debug, Default)]
struct Used {
    in_all: usize,
    per_workspace: HashMap<WorkspaceId, usize>,
}

impl ConcurrencyLimiter {
    /// Builds a limiter whose permits are all available.
    pub fn new(max_in_all: usize, max_per_workspace: usize) -> Self {
        Self {
            max_in_all,
            max_per_workspace,
            used: Arc::default(),
        }
    }

    /// Acquires a permit for a request of a workspace. Returns none when the limit of the node or
    /// of the workspace is reached.
    pub fn try_acquire(&self, workspace: &WorkspaceId) -> Option<ConcurrencyPermit> {
        let mut used = self.lock();
        let own = used.per_workspace.get(workspace).copied().unwrap_or(0);
        if used.in_all >= self.max_in_all || own >= self.max_per_workspace {
            return None;
        }
        used.in_all += 1;
        used.per_workspace.insert(workspace.clone(), own + 1);
        Some(ConcurrencyPermit {
            limiter: self.clone(),
            workspace: workspace.clone(),
        })
    }

    fn release(&self, workspace: &WorkspaceId) {
        let mut used = self.lock();
        used.in_all -= 1;
        let own = used.per_workspace.remove(workspace).unwrap_or(1) - 1;
        if own > 0 {
            used.per_workspace.insert(workspace.clone(), own);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Used> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `ConcurrencyPermit` counts as one concurrent request until it is dropped.
#[derive(Debug)]
pub struct ConcurrencyPermit {
    limiter: ConcurrencyLimiter,
    workspace: WorkspaceId,
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        self.limiter.release(&self.workspace);
    }
}
