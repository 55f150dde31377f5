//! Which prefix of a prompt decides where its requests go.
//!
//! A prefix that many conversations share, such as a system prompt, must not send all of them to
//! one upstream. A whole prompt must not decide either, since the next turn of a conversation is
//! longer. The deciding prefix is therefore the shortest one that brings less traffic than one
//! upstream can take. Each node counts its own traffic; behind a balancer the nodes see samples
//! of the same traffic and agree on most prefixes.

use std::time::Duration;

use verbenahead_core::HashMap;

use crate::{
    prefix::{BlockHash, PromptBlocks},
    route::Affinity,
    time::Timestamp,
};

/// `PopularityOptions` bound the counting of prefixes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PopularityOptions {
    /// Time after which all counts are halved.
    pub half_life: Duration,
    /// Most prefixes that are counted. Beyond it all counts are halved early.
    pub max_prefixes: usize,
    /// Traffic of a prefix beyond which it does not decide, in parts of one upstream's traffic.
    pub max_load: f64,
    /// Requests of a prefix up to which it may decide, however little other traffic there is.
    pub min_count: f64,
    /// Most blocks of a prompt that are counted for the first time by one request.
    pub max_new_blocks: usize,
}

impl Default for PopularityOptions {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(300),
            max_prefixes: 50_000,
            max_load: 1.0,
            min_count: 4.0,
            max_new_blocks: 16,
        }
    }
}

/// `PrefixPopularity` counts how much traffic shares a prefix.
#[derive(Debug, Clone, Default)]
pub struct PrefixPopularity {
    options: PopularityOptions,
    counts: HashMap<BlockHash, f64>,
    total: f64,
    halved_at: Timestamp,
}

impl PrefixPopularity {
    /// Builds the counts of no traffic.
    pub fn new(options: PopularityOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Counts a prompt and returns the affinity of its deciding prefix, for a service with
    /// `upstreams` upstreams. A prompt that consists of popular blocks has none, since every
    /// upstream has these cached.
    pub fn observe(
        &mut self,
        blocks: &PromptBlocks,
        upstreams: usize,
        now: Timestamp,
    ) -> Option<Affinity> {
        self.decay(now);
        self.total += 1.0;
        let limit = self.limit(upstreams);
        let key = self.count(blocks.hashes(), limit)?;
        Some(affinity(key, blocks))
    }

    /// Returns the affinity of a prompt's deciding prefix without counting the prompt.
    pub fn peek(&self, blocks: &PromptBlocks, upstreams: usize) -> Option<Affinity> {
        let limit = self.limit(upstreams);
        let count = |hash: &BlockHash| self.counts.get(hash).copied().unwrap_or_default();
        let mut hashes = blocks.hashes().iter();
        let key = hashes.find(|hash| count(hash) <= limit)?;
        Some(affinity(*key, blocks))
    }

    fn limit(&self, upstreams: usize) -> f64 {
        let share = self.options.max_load / upstreams.max(1) as f64;
        (self.total * share).max(self.options.min_count)
    }

    /// Counts the blocks and returns the first whose count is within the limit. Counting goes on
    /// a little beyond the known blocks, so that a long shared prefix is known after few requests.
    fn count(&mut self, hashes: &[BlockHash], limit: f64) -> Option<BlockHash> {
        let mut deciding = None;
        let mut new_blocks = 0;
        for hash in hashes {
            let count = self.counts.entry(*hash).or_default();
            *count += 1.0;
            if *count <= limit {
                deciding.get_or_insert(*hash);
            }
            new_blocks += usize::from(*count <= 1.0);
            if new_blocks > self.options.max_new_blocks {
                break;
            }
        }
        deciding
    }

    /// Returns the number of prefixes that are counted.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no prefix is counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decay(&mut self, now: Timestamp) {
        let is_due = now.since(self.halved_at) >= self.options.half_life;
        if !is_due && self.counts.len() < self.options.max_prefixes {
            return;
        }
        self.halved_at = now;
        self.total /= 2.0;
        self.counts.retain(|_, count| {
            *count /= 2.0;
            *count >= MIN_KEPT_COUNT
        });
    }
}

fn affinity(key: BlockHash, blocks: &PromptBlocks) -> Affinity {
    Affinity {
        key: key.0,
        tokens: blocks.prefix_tokens(blocks.hashes().len()),
    }
}

/// Smallest count that is kept, in requests.
const MIN_KEPT_COUNT: f64 = 0.5;
