//! Software versions that replicas had lately, also before this node started.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;
use verbenahead_core::HashMap;
use verbenahead_membership::NameKey;

/// Time for which it is remembered that replicas with a software version served. Streams may last as
/// long as the timeouts of their routes.
const VERSION_MEMORY: Duration = Duration::from_secs(3_600);

/// `ServedVersion` is a software version that replicas of a service have or had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServedVersion {
    /// Key of the service.
    pub service: NameKey,
    /// Key of the software version.
    pub version: NameKey,
}

/// `VersionHistory` holds when replicas with each software version were last removed.
#[derive(Debug)]
pub(crate) struct VersionHistory {
    started_at: Instant,
    removed_at: HashMap<ServedVersion, Instant>,
    /// Whether the versions from before the start of this node are known.
    is_loaded: bool,
}

impl Default for VersionHistory {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            removed_at: HashMap::default(),
            is_loaded: false,
        }
    }
}

impl VersionHistory {
    /// Records that a replica with a version serves no longer.
    pub(crate) fn remember(&mut self, served: ServedVersion) {
        self.removed_at
            .retain(|_, at| at.elapsed() < VERSION_MEMORY);
        self.removed_at.insert(served, Instant::now());
    }

    /// Records the versions that served before this node started. Each of them may have done so until now.
    pub(crate) fn load(&mut self, served: &[ServedVersion]) {
        for version in served {
            self.remember(*version);
        }
        self.is_loaded = true;
    }

    /// Returns whether all versions that served within the last `period` are known.
    pub(crate) fn covers(&self, period: Duration) -> bool {
        self.is_loaded || self.started_at.elapsed() >= period
    }

    /// Returns the versions that replicas of a service had when they were removed within the last `period`.
    pub(crate) fn removed(&self, service: NameKey, period: Duration) -> BTreeSet<NameKey> {
        let removed = self.removed_at.iter();
        removed
            .filter(|(served, at)| served.service == service && at.elapsed() < period)
            .map(|(served, _)| served.version)
            .collect()
    }
}
