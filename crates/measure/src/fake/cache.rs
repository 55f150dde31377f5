//! Prefix cache of a fake replica.

use std::collections::BTreeMap;

use verbenahead_core::HashMap;
use verbenahead_policy::BlockHash;

/// `BlockCache` is an LRU cache of blocks.
#[derive(Debug, Clone, Default)]
pub struct BlockCache {
    capacity: usize,
    used_at: HashMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl BlockCache {
    /// Builds an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of leading blocks that are cached.
    pub fn prefix(&self, blocks: &[BlockHash]) -> usize {
        let is_cached = |hash: &&BlockHash| self.used_at.contains_key(*hash);
        blocks.iter().take_while(is_cached).count()
    }

    /// Inserts the blocks. The last ones are evicted first, since they are useless without the
    /// blocks before them.
    pub fn insert(&mut self, blocks: &[BlockHash]) {
        for hash in blocks.iter().rev() {
            self.clock += 1;
            if let Some(before) = self.used_at.insert(*hash, self.clock) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(self.clock, *hash);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&hash);
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }
}
