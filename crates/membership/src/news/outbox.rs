//! Queues of the news items that have yet to be pushed to each peer.

use std::{collections::VecDeque, net::SocketAddr};

use verbenahead_core::{HashMap, NodeId};

use super::item::NewsItem;

/// `Push` is one push of items to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Push {
    pub(super) node: NodeId,
    pub(super) peer: SocketAddr,
    pub(super) items: Vec<NewsItem>,
}

#[derive(Debug)]
struct Queue {
    peer: SocketAddr,
    pending: Vec<NewsItem>,
    failures: u32,
    is_in_flight: bool,
}

/// `Outbox` queues items for peers, with at most one push to a peer at a time.
#[derive(Debug)]
pub(super) struct Outbox {
    queues: HashMap<NodeId, Queue>,
    /// Peers with pending items and no push in flight.
    ready: VecDeque<NodeId>,
    /// Peers whose last push failed, until the next retry.
    failed: Vec<NodeId>,
    in_flight: usize,
    max_in_flight: usize,
    max_items: usize,
    max_attempts: u32,
}

impl Outbox {
    pub(super) fn new(max_in_flight: usize, max_items: usize, max_attempts: u32) -> Self {
        Self {
            queues: HashMap::default(),
            ready: VecDeque::new(),
            failed: Vec::new(),
            in_flight: 0,
            max_in_flight,
            max_items,
            max_attempts,
        }
    }

    /// Queues items for a peer.
    pub(super) fn push(&mut self, node: &NodeId, peer: SocketAddr, items: &[NewsItem]) {
        let queue = self.queues.entry(node.clone()).or_insert_with(|| Queue {
            peer,
            pending: Vec::new(),
            failures: 0,
            is_in_flight: false,
        });
        queue.peer = peer;
        let is_waiting = queue.is_in_flight || !queue.pending.is_empty();
        queue.pending.extend_from_slice(items);
        if !is_waiting {
            self.ready.push_back(node.clone());
        }
    }

    /// Returns the next push, unless the maximum number is in flight.
    pub(super) fn next(&mut self) -> Option<Push> {
        if self.in_flight >= self.max_in_flight {
            return None;
        }
        let node = self.ready.pop_front()?;
        let queue = self.queues.get_mut(&node)?;
        queue.is_in_flight = true;
        self.in_flight += 1;
        let count = queue.pending.len().min(self.max_items);
        Some(Push {
            node,
            peer: queue.peer,
            items: queue.pending[..count].to_vec(),
        })
    }

    /// Records the result of a push. A failed push becomes ready again with
    /// [`retry`](Self::retry), until the maximum number of attempts is reached.
    pub(super) fn finished(&mut self, push: &Push, is_delivered: bool) {
        self.in_flight -= 1;
        let Some(queue) = self.queues.get_mut(&push.node) else {
            return;
        };
        queue.is_in_flight = false;
        queue.failures += u32::from(!is_delivered);
        let is_given_up = queue.failures >= self.max_attempts;
        if is_delivered || is_given_up {
            queue.failures = 0;
            queue.pending.drain(..push.items.len());
        }
        if queue.pending.is_empty() {
            self.queues.remove(&push.node);
        } else if is_delivered {
            self.ready.push_back(push.node.clone());
        } else {
            self.failed.push(push.node.clone());
        }
    }

    /// Makes the failed pushes ready again.
    pub(super) fn retry(&mut self) {
        self.ready.extend(self.failed.drain(..));
    }
}
