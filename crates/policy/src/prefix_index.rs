//! What each upstream is believed to have in its prefix cache.
//!
//! The index learns from the requests that the node itself sends. Cache events of engines come
//! late and with gaps, so they only correct it: an event that is older than the node's own
//! knowledge of a block changes nothing.

use verbenahead_core::{HashMap, UpstreamId, units::Tokens};

use crate::{
    prefix::{BlockHash, PromptBlocks},
    time::Timestamp,
};

/// `PrefixIndexOptions` bound the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefixIndexOptions {
    /// Most blocks that are remembered of one upstream.
    pub blocks_per_upstream: usize,
}

impl Default for PrefixIndexOptions {
    fn default() -> Self {
        Self {
            blocks_per_upstream: 4096,
        }
    }
}

/// `CacheEvent` is an engine's late word on its prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event. Events of one upstream are numbered without gaps when sent.
    pub sequence: u64,
    /// When the change happened, on the clock of this node.
    pub happened_at: Timestamp,
    /// What changed.
    pub kind: CacheEventKind,
}

/// `CacheEventKind` is a change of a prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheEventKind {
    /// Blocks were cached.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Removed(Vec<BlockHash>),
    /// The whole cache was emptied.
    Cleared,
}

/// `PrefixIndex` remembers, per upstream, the blocks that its cache should hold.
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

    /// Records that an upstream was sent the prompt and will cache it.
    pub fn on_sent(&mut self, upstream: &UpstreamId, blocks: &PromptBlocks, now: Timestamp) {
        let limit = self.generation_limit();
        let known = self.upstreams.entry(upstream.clone()).or_default();
        for hash in blocks.hashes() {
            known.touch(*hash, now, limit);
        }
    }

    /// Corrects the index by the number of tokens that the upstream found in its cache.
    pub fn on_measured(
        &mut self,
        upstream: &UpstreamId,
        blocks: &PromptBlocks,
        cached: Tokens,
        now: Timestamp,
    ) {
        let limit = self.generation_limit();
        let known = self.upstreams.entry(upstream.clone()).or_default();
        for (index, hash) in blocks.hashes().iter().enumerate() {
            if blocks.prefix_tokens(index + 1) <= cached {
                known.touch(*hash, now, limit);
            } else {
                known.remove(*hash, now);
            }
        }
    }

    /// Applies a late event. Returns whether events before it were lost.
    pub fn on_event(&mut self, upstream: &UpstreamId, event: &CacheEvent) -> bool {
        let limit = self.generation_limit();
        let known = self.upstreams.entry(upstream.clone()).or_default();
        let is_gap = known
            .next_sequence
            .is_some_and(|next| event.sequence > next);
        let next = event.sequence.saturating_add(1);
        known.next_sequence = Some(known.next_sequence.map_or(next, |known| known.max(next)));
        let at = event.happened_at;
        match &event.kind {
            CacheEventKind::Stored(hashes) => {
                hashes.iter().for_each(|hash| known.touch(*hash, at, limit));
            }
            CacheEventKind::Removed(hashes) => {
                hashes.iter().for_each(|hash| known.remove(*hash, at));
            }
            CacheEventKind::Cleared => known.remove_older(at),
        }
        is_gap
    }

    /// Forgets an upstream, because it is gone or lives anew.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
    }

    /// Returns the size of the prompt's prefix that the upstream should have cached.
    ///
    /// The longest known prefix is found by bisection, since a block is cached only together
    /// with the blocks before it. An eviction in the middle makes the estimate too high at most
    /// until the next answer corrects it.
    pub fn cached(&self, upstream: &UpstreamId, blocks: &PromptBlocks) -> Tokens {
        let Some(known) = self.upstreams.get(upstream) else {
            return Tokens(0);
        };
        let count = blocks
            .hashes()
            .partition_point(|hash| known.contains(*hash));
        blocks.prefix_tokens(count)
    }

    /// Returns the number of upstreams that are remembered.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    fn generation_limit(&self) -> usize {
        (self.options.blocks_per_upstream / 2).max(1)
    }
}

/// `UpstreamBlocks` holds the blocks of one upstream in two generations. When the young one is
/// full it becomes the old one, and what was not used since is forgotten. This approximates the
/// engine's own eviction of what was used least recently at a constant cost per block.
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
