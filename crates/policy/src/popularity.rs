//! Selects the prefix of a prompt by which its request is routed, the affinity prefix.
//!
//! A prefix that many conversations share, such as a system prompt, must not route all of them to
//! one upstream. The whole prompt is unsuitable as well, since the next turn of a conversation is
//! longer. The affinity prefix is therefore the shortest one whose traffic does not exceed what one
//! upstream should take. Each node counts its own traffic; behind a load balancer the nodes see
//! samples of the same traffic and agree on most prefixes.

use std::time::Duration;

use verbenahead_core::HashMap;

use crate::{
    prefix::{BlockHash, PromptBlocks},
    route::Affinity,
    time::Timestamp,
};

/// `PopularityOptions` configures the counting of prefixes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PopularityOptions {
    /// Interval at which all counts are halved.
    pub half_life: Duration,
    /// Maximum number of counted prefixes. Once reached, all counts are halved ahead of time.
    pub max_prefixes: usize,
    /// Highest traffic of an affinity prefix, as a multiple of the mean traffic of an upstream.
    pub max_load: f64,
    /// Number of requests up to which any prefix may be an affinity prefix, also at low traffic.
    pub min_count: f64,
    /// Maximum number of blocks that one request adds to the counts.
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

/// `PrefixPopularity` counts the requests that share a prefix, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct PrefixPopularity {
    options: PopularityOptions,
    counts: HashMap<BlockHash, f64>,
    total: f64,
    halved_at: Timestamp,
}

impl PrefixPopularity {
    /// Builds empty counts.
    pub fn new(options: PopularityOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Counts a prompt and returns its affinity, for a service with `upstreams` upstreams. A prompt
    /// that consists only of popular blocks has none, since every upstream is expected to have
    /// these cached.
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

    /// Returns the affinity of a prompt without counting the prompt.
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

    /// Counts the blocks and returns the first whose count is within the limit. Counting continues
    /// for some blocks beyond those already counted, so that a long shared prefix is recognised
    /// after few requests.
    fn count(&mut self, hashes: &[BlockHash], limit: f64) -> Option<BlockHash> {
        let mut selected = None;
        let mut new_blocks = 0;
        for hash in hashes {
            let count = self.counts.entry(*hash).or_default();
            *count += 1.0;
            if *count <= limit {
                selected.get_or_insert(*hash);
            }
            new_blocks += usize::from(*count <= 1.0);
            if new_blocks > self.options.max_new_blocks {
                break;
            }
        }
        selected
    }

    /// Returns the number of counted prefixes.
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

/// Minimum count of a prefix, in requests. Prefixes with lower counts are removed.
const MIN_KEPT_COUNT: f64 = 0.5;
