//! Event queue of a simulated run, ordered by time.

use std::{cmp::Ordering, collections::BinaryHeap};

/// `Event` is an event of the simulation. Indices refer to the lists of [`Run`](super::run::Run).
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A new conversation starts.
    ConversationStart,
    /// A conversation sends its next request.
    NextRequest(usize),
    /// The caller of a refused request asks for admission again.
    RetryAdmission(usize),
    /// A node sends a request to another replica after a failed attempt.
    Resend(usize),
    /// The caller of a request stops waiting.
    Deadline(usize),
    /// The time limit for the first token of an attempt (job, attempt) has passed.
    Overdue(usize, u32),
    /// An attempt (job, attempt) generates its first token.
    FirstToken(usize, u32),
    /// An attempt (job, attempt) completes the answer.
    End(usize, u32),
    /// Replicas report their load.
    LoadReport,
    /// A replica's cache event reaches the nodes.
    CacheEvent(usize),
    /// The reclaim notice of a zone arrives.
    ReclaimNotice(usize),
    /// The replicas of a reclaimed zone stop.
    ZoneStop(usize),
    /// The fleet is planned.
    PlanFleet,
    /// The replica on a started VM is ready.
    VmReady(usize),
    /// A planned move begins.
    MoveStart(usize),
    /// The KV cache of a planned move is imported at the target.
    MoveEnd(usize),
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    at: f64,
    sequence: u64,
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
            .then_with(|| other.sequence.cmp(&self.sequence))
    }
}

/// `Schedule` is a queue of events, ordered by time and, at equal times, by insertion.
#[derive(Debug, Clone, Default)]
pub struct Schedule {
    entries: BinaryHeap<Entry>,
    sequence: u64,
}

impl Schedule {
    /// Adds an event at a time in seconds.
    pub fn push(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.entries.push(Entry {
            at,
            sequence: self.sequence,
            event,
        });
    }

    /// Removes the next event and returns it with its time in seconds.
    pub fn pop(&mut self) -> Option<(f64, Event)> {
        self.entries.pop().map(|entry| (entry.at, entry.event))
    }
}
