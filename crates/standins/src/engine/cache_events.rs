//! Events of the prefix cache, published with a delay and with missing events.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::answer::splitmix64;

/// Maximum number of stored events.
const MAX_EVENTS: usize = 65_536;

/// Maximum number of events in one response.
const MAX_RESPONSE_EVENTS: usize = 4096;

/// `CacheEventKind` is the kind of change to a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was removed from the cache.
    Evicted,
}

/// `CacheEvent` is one event of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from 1. A missing number is a lost event.
    pub sequence: u64,
    /// Kind of the event.
    pub kind: CacheEventKind,
    /// Hash of the prefix, as returned by [`prefix_hashes`](super::prefix_hashes).
    pub prefix: u64,
}

/// `CacheEventLog` stores the latest events.
#[derive(Debug)]
pub(super) struct CacheEventLog {
    lag: Duration,
    /// One event in this many is lost; 0 means none.
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
        if self.gap > 0 && splitmix64(self.sequence).is_multiple_of(self.gap) {
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

    /// Returns the events after sequence number `after` that are at least `lag` old.
    pub(super) fn published(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        let first = self.events.partition_point(|(_, e)| e.sequence <= after);
        let events = self.events.range(first..);
        events
            .take_while(|(at, _)| now.duration_since(*at) >= self.lag)
            .take(MAX_RESPONSE_EVENTS)
            .map(|(_, event)| *event)
            .collect()
    }
}
