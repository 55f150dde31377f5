//! Content of requests that were recently answered completely.

use std::time::Duration;

use verbenahead_core::{ContentKey, ContentKind, HashMap};

use crate::time::Timestamp;

/// `SoundContentOptions` sets how long content counts as sound after a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoundContentOptions {
    /// Time for parts of prompts.
    pub parts: Duration,
    /// Time for requests. A request that comes again depends on what replicas hold by then, so its last
    /// answer says little of the next one.
    pub requests: Duration,
}

impl Default for SoundContentOptions {
    fn default() -> Self {
        Self {
            parts: Duration::from_secs(30),
            requests: Duration::from_secs(2),
        }
    }
}

/// `SoundContent` holds the content of requests that were recently answered completely. Each kind has
/// room of its own, since most requests come only once.
#[derive(Debug, Clone)]
pub struct SoundContent {
    options: SoundContentOptions,
    parts: HashMap<ContentKey, Timestamp>,
    requests: HashMap<ContentKey, Timestamp>,
}

/// Number of entries of each kind that are kept.
const MAX_ENTRIES: usize = 4_096;

impl SoundContent {
    /// Builds an empty collection.
    pub fn new(options: SoundContentOptions) -> Self {
        Self {
            options,
            parts: HashMap::default(),
            requests: HashMap::default(),
        }
    }

    /// Records that a request with this content was answered completely.
    pub fn record(&mut self, key: ContentKey, now: Timestamp) {
        let (memory, answered_at) = match key.kind {
            ContentKind::PromptPart => (self.options.parts, &mut self.parts),
            ContentKind::Request => (self.options.requests, &mut self.requests),
        };
        if answered_at.len() >= MAX_ENTRIES && !answered_at.contains_key(&key) {
            make_room(answered_at, memory, now);
        }
        answered_at.insert(key, now);
    }

    /// Returns whether a request with this content was recently answered completely.
    pub fn contains(&self, key: ContentKey, now: Timestamp) -> bool {
        let (memory, answered_at) = match key.kind {
            ContentKind::PromptPart => (self.options.parts, &self.parts),
            ContentKind::Request => (self.options.requests, &self.requests),
        };
        let answered_at = answered_at.get(&key);
        answered_at.is_some_and(|at| now.since(*at) < memory)
    }
}

/// Removes expired entries, and the older half of the others if all are recent.
fn make_room(answered_at: &mut HashMap<ContentKey, Timestamp>, memory: Duration, now: Timestamp) {
    answered_at.retain(|_, at| now.since(*at) < memory);
    if answered_at.len() >= MAX_ENTRIES {
        let mut times: Vec<Timestamp> = answered_at.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_ENTRIES / 2);
        let median = *median;
        answered_at.retain(|_, at| *at > median);
    }
}
