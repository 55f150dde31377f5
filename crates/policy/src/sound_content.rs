//! Content of requests that were recently answered completely.

use std::time::Duration;

use verbenahead_core::{ContentKey, HashMap};

use crate::time::Timestamp;

/// `SoundContent` holds the content of requests that were recently answered completely.
#[derive(Debug, Clone)]
pub struct SoundContent {
    memory: Duration,
    answered_at: HashMap<ContentKey, Timestamp>,
}

/// Number of entries that are kept.
const MAX_ENTRIES: usize = 4_096;

impl SoundContent {
    /// Builds an empty collection that remembers content for `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            answered_at: HashMap::default(),
        }
    }

    /// Records that a request with this content was answered completely.
    pub fn record(&mut self, key: ContentKey, now: Timestamp) {
        if self.answered_at.len() >= MAX_ENTRIES && !self.answered_at.contains_key(&key) {
            self.make_room(now);
        }
        self.answered_at.insert(key, now);
    }

    /// Returns whether a request with this content was recently answered completely.
    pub fn contains(&self, key: ContentKey, now: Timestamp) -> bool {
        let answered_at = self.answered_at.get(&key);
        answered_at.is_some_and(|at| now.since(*at) < self.memory)
    }

    /// Removes expired entries, and the older half of the others if all are recent.
    fn make_room(&mut self, now: Timestamp) {
        let memory = self.memory;
        self.answered_at.retain(|_, at| now.since(*at) < memory);
        if self.answered_at.len() >= MAX_ENTRIES {
            let mut times: Vec<Timestamp> = self.answered_at.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_ENTRIES / 2);
            let median = *median;
            self.answered_at.retain(|_, at| *at > median);
        }
    }
}
