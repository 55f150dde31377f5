//! Parts of prompts that were recently part of a completely answered request.

use std::time::Duration;

use verbenahead_core::{HashMap, PartKey};

use crate::time::Timestamp;

/// `SoundParts` holds the parts of prompts that were recently answered completely.
#[derive(Debug, Clone)]
pub struct SoundParts {
    memory: Duration,
    answered_at: HashMap<PartKey, Timestamp>,
}

/// Number of parts that are kept.
const MAX_PARTS: usize = 4_096;

impl SoundParts {
    /// Builds an empty collection that remembers a part for `memory`.
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            answered_at: HashMap::default(),
        }
    }

    /// Records that a request with this part was answered completely.
    pub fn record(&mut self, part: PartKey, now: Timestamp) {
        if self.answered_at.len() >= MAX_PARTS && !self.answered_at.contains_key(&part) {
            self.make_room(now);
        }
        self.answered_at.insert(part, now);
    }

    /// Returns whether a request with this part was recently answered completely.
    pub fn contains(&self, part: PartKey, now: Timestamp) -> bool {
        let answered_at = self.answered_at.get(&part);
        answered_at.is_some_and(|at| now.since(*at) < self.memory)
    }

    /// Removes expired parts, and the older half of the others if all are recent.
    fn make_room(&mut self, now: Timestamp) {
        let memory = self.memory;
        self.answered_at.retain(|_, at| now.since(*at) < memory);
        if self.answered_at.len() >= MAX_PARTS {
            let mut times: Vec<Timestamp> = self.answered_at.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_PARTS / 2);
            let median = *median;
            self.answered_at.retain(|_, at| *at > median);
        }
    }
}
