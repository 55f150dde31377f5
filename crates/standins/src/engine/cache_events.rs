//! Events of the prefix cache, published late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::answer::mix;

/// Most events that are kept.
const MAX_EVENTS: usize = 65_536;

/// Most events of one answer.
const MAX_ANSWER_EVENTS: usize = 4096;

/// `CacheEventKind` is what happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is cached.
    Stored,
    /// The prefix is no longer cached.
    Evicted,
}

/// `CacheEvent` is one event of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1. Missing numbers are events that were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prefix, as [`prefix_hashes`](super::prefix_hashes) gives it.
    pub prefix: u64,
}

/// `CacheEventLog` keeps the latest events.
#[derive(Debug)]
pub(super) struct CacheEventLog {
    lag: Duration,
    gap: u64,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEventLog {
    pub(super) fn new(lag: Duration, gap: u64) -> Self {
        Self {
            lag,
            gap,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    pub(super) fn push(&mut self, kind: CacheEventKind, prefix: u64) {
        self.sequence += 1;
        if self.gap > 0 && mix(self.sequence).is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            prefix,
        };
        self.events.push_back((Instant::now(), event));
    }

    /// Returns the published events that follow the sequence number `after`.
    pub(super) fn published(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let first = self.events.partition_point(|(_, e)| e.sequence <= after);
        let events = self.events.range(first..);
        events
            .take_while(|(at, _)| now.duration_since(*at) >= self.lag)
            .take(MAX_ANSWER_EVENTS)
            .map(|(_, event)| *event)
            .collect()
    }
}
