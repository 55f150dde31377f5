//! The events of a run, in the order of their times.

use std::{cmp::Ordering, collections::BinaryHeap};

/// `Event` is something that happens at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A new conversation begins.
    Begin,
    /// A conversation asks its next request.
    Ask(usize),
    /// A refused or failed request is tried again by its caller.
    AskAgain(usize),
    /// A node sends a request to another replica after a failed attempt.
    Resend(usize),
    /// The caller of a request stops waiting.
    Deadline(usize),
    /// An attempt should have had its first token by now.
    Overdue(usize, u32),
    /// An attempt has its first token.
    FirstToken(usize, u32),
    /// An attempt ends.
    End(usize, u32),
    /// Replicas report their load.
    Report,
    /// A replica's cache event reaches the nodes.
    CacheEvent(usize),
    /// The reclaim of a zone is announced.
    Notice(usize),
    /// The replicas of a zone stop.
    Stop(usize),
    /// The fleet is planned.
    Plan,
    /// A started VM serves.
    VmReady(usize),
    /// A planned move begins.
    MoveBegins(usize),
    /// The KV cache of a planned move has arrived.
    MoveArrives(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    at: f64,
    number: u64,
    event: Event,
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then_with(|| other.number.cmp(&self.number))
    }
}

/// `Schedule` yields events in the order of their times, and of their entry where these are equal.
#[derive(Debug, Clone, Default)]
pub struct Schedule {
    entries: BinaryHeap<Entry>,
    number: u64,
}

impl Schedule {
    /// Adds an event.
    pub fn push(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.entries.push(Entry {
            at,
            number: self.number,
            event,
        });
    }

    /// Takes the next event with its time.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
