//! Queue of claims that are piggybacked on probes and answers.

use verbenahead_core::{HashMap, NodeId};

use crate::member::Member;

#[derive(Debug)]
struct Entry {
    claim: Member,
    /// Number of messages in which the claim was sent.
    sent: u32,
}

/// `GossipQueue` holds the latest claim about each member until it has been sent often enough.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    entries: HashMap<NodeId, Entry>,
}

impl GossipQueue {
    /// Adds a claim. It replaces any earlier claim about the same member.
    pub(crate) fn push(&mut self, claim: Member) {
        let node = claim.node.clone();
        self.entries.insert(node, Entry { claim, sent: 0 });
    }

    /// Takes claims of at most `max_bytes` in total for one message, the least often sent first.
    /// Claims that were sent `limit` times are removed from the queue.
    pub(crate) fn take(&mut self, max_bytes: usize, limit: u32) -> Vec<Member> {
        let mut order: Vec<_> = self
            .entries
            .values()
            .map(|entry| (entry.sent, entry.claim.node.clone()))
            .collect();
        order.sort_unstable();
        let mut remaining = max_bytes;
        let mut claims = Vec::new();
        for (_, node) in order {
            let Some(entry) = self.entries.get_mut(&node) else {
                continue;
            };
            let size = entry.claim.max_encoded_bytes();
            if size > remaining {
                break;
            }
            remaining -= size;
            entry.sent += 1;
            claims.push(entry.claim.clone());
            if entry.sent >= limit {
                self.entries.remove(&node);
            }
        }
        claims
    }
}
