//! Index of the blocks that each upstream is expected to have in its prefix cache.
//!
//! The index records the requests that this node sends. Cache events of engines arrive late and
//! with gaps, so they only correct the index: an event that is older than the last update of a
//! block is ignored for that block.

use verbenahead_core::{HashMap, UpstreamId, units::Tokens};

use crate::{
    prefix::{BlockHash, PromptBlocks},
    time::Timestamp,
};

/// `PrefixIndexOptions` limits the size of the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixIndexOptions {
    /// Maximum number of blocks stored for one upstream.
    pub blocks_per_upstream: usize,
}

impl Default for PrefixIndexOptions {
    fn default() -> Self {
        Self {
            blocks_per_upstream: 4096,
        }
    }
}

/// `CacheEvent` is a change of an engine's prefix cache that the engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number. An upstream numbers its events consecutively.
    pub sequence: u64,
    /// Time of the change, on the clock of this node.
    pub happened_at: Timestamp,
    /// Kind of the change.
    pub kind: CacheEventKind,
}

/// `CacheEventKind` is a kind of change of a prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheEventKind {
    /// Blocks were cached.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Removed(Vec<BlockHash>),
    /// The whole cache was emptied.
    Cleared,
}

/// `PrefixIndex` stores, for each upstream, the blocks that its cache is expected to hold.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    options: PrefixIndexOptions,
    upstreams: HashMap<UpstreamId, UpstreamBlocks>,
}

impl PrefixIndex {
    /// Builds an empty index.
    pub fn new(options: PrefixIndexOptions) -> Self {
        Self {
            options,
            upstreams: HashMap::default(),
        }
    }

    /// Records that a prompt was sent to an upstream, which will cache it.
    pub fn on_sent(&mut self, upstream: &UpstreamId, blocks: &PromptBlocks, now: Timestamp) {
        let limit = self.generation_limit();
        let cache = self.upstreams.entry(upstream.clone()).or_default();
        for hash in blocks.hashes() {
            cache.touch(*hash, now, limit);
        }
    }

    /// Corrects the index by the number of prompt tokens that the upstream reported as cached.
    pub fn on_reported_cached(
        &mut self,
        upstream: &UpstreamId,
        blocks: &PromptBlocks,
        cached: Tokens,
        now: Timestamp,
    ) {
        let limit = self.generation_limit();
        let cache = self.upstreams.entry(upstream.clone()).or_default();
        for (index, hash) in blocks.hashes().iter().enumerate() {
            if blocks.prefix_tokens(index + 1) <= cached {
                cache.touch(*hash, now, limit);
            } else {
                cache.remove(*hash, now);
            }
        }
    }

    /// Applies an event. Returns whether earlier events are missing.
    pub fn on_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) -> bool {
        let limit = self.generation_limit();
        let cache = self.upstreams.entry(upstream.clone()).or_default();
        let is_gap = cache
            .next_sequence
            .is_some_and(|next| event.sequence > next);
        let next = event.sequence.saturating_add(1);
        cache.next_sequence = Some(cache.next_sequence.map_or(next, |known| known.max(next)));
        let at = event.happened_at;
        match &event.kind {
            CacheEventKind::Stored(hashes) => {
                hashes.iter().for_each(|hash| cache.touch(*hash, at, limit));
            }
            CacheEventKind::Removed(hashes) => {
                hashes.iter().for_each(|hash| cache.remove(*hash, at));
            }
            CacheEventKind::Cleared => cache.remove_older(at),
        }
        is_gap
    }

    /// Removes an upstream that is gone or has restarted.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }

    /// Returns the size of the prompt's prefix that the upstream is expected to have cached.
    ///
    /// The longest cached prefix is found by binary search, since a block is cached only together
    /// with the blocks before it. An eviction in the middle makes the estimate too high until the
    /// next reported count corrects it.
    pub fn cached(&self, upstream: &UpstreamId, blocks: &PromptBlocks) -> Tokens {
        let Some(cache) = self.upstreams.get(upstream) else {
            return Tokens(0);
        };
        let count = blocks
            .hashes()
            .partition_point(|hash| cache.contains(*hash));
        blocks.prefix_tokens(count)
    }

    /// Returns the number of upstreams in the index.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the index has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    fn generation_limit(&self) -> usize {
        (self.options.blocks_per_upstream / 2).max(1)
    }
}

/// `UpstreamBlocks` holds the blocks of one upstream in two generations. When the young generation
/// is full, it becomes the old one, and the previous old one is dropped with all blocks that were
/// not used since. This approximates the engine's own LRU eviction at a constant cost per block.
#[derive(Debug, Clone, Default)]
struct UpstreamBlocks {
    young: HashMap<BlockHash, Timestamp>,
    old: HashMap<BlockHash, Timestamp>,
    next_sequence: Option<u64>,
}

impl UpstreamBlocks {
    fn contains(&self, hash: BlockHash) -> bool {
        self.young.contains_key(&hash) || self.old.contains_key(&hash)
    }

    fn touch(&mut self, hash: BlockHash, at: Timestamp, limit: usize) {
        if let Some(known) = self.young.get_mut(&hash) {
            *known = (*known).max(at);
            return;
        }
        if self.young.len() >= limit {
            self.old = std::mem::take(&mut self.young);
        }
        let known = self.old.get(&hash).copied().unwrap_or_default();
        self.young.insert(hash, at.max(known));
    }

    fn remove(&mut self, hash: BlockHash, at: Timestamp) {
        let is_newer = |known: &Timestamp| *known > at;
        if self.young.get(&hash).is_some_and(is_newer) {
            return;
        }
        self.young.remove(&hash);
        self.old.remove(&hash);
    }

    fn remove_older(&mut self, at: Timestamp) {
        self.young.retain(|_, known| *known > at);
        self.old.retain(|_, known| *known > at);
    }
}
