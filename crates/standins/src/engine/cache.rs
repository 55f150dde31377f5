//! Prefix cache with least-recently-used eviction.
//!
//! A prompt is split at white space into words, one token each. The hash of a prefix is computed
//! from the hash of the prefix one token shorter and the last token. The cache holds the hashes of
//! prefixes that end at a block boundary; imported KV caches may add one that does not.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use verbenahead_core::HashMap;

use super::{
    answer::splitmix64,
    cache_events::{CacheEventKind, CacheEventLog},
};

/// Number of tokens per cache block.
pub const BLOCK_TOKENS: usize = 16;

/// `PrefixHash` identifies a prefix of a model's input.
pub(super) type PrefixHash = u64;

/// Returns the hashes of the prefixes of `prompt` that end at a block boundary, shortest first.
pub fn prefix_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let chain = PrefixChain::new(model, prompt);
    chain.block_ends().map(|(_, hash)| hash).collect()
}

/// `PrefixChain` holds the hash of each prefix of an input.
#[derive(Debug, Clone)]
pub(super) struct PrefixChain {
    start: PrefixHash,
    hashes: Vec<PrefixHash>,
}

impl PrefixChain {
    pub(super) fn new(model: &str, prompt: &str) -> Self {
        let mut chain = Self {
            start: hash_text(0, model),
            hashes: Vec::new(),
        };
        prompt.split_whitespace().for_each(|word| chain.push(word));
        chain
    }

    /// Appends a token. White space around it is ignored, so that a prompt that contains an earlier
    /// answer has the same hashes as that answer.
    pub(super) fn push(&mut self, token: &str) {
        let last = self.hashes.last().copied().unwrap_or(self.start);
        self.hashes.push(hash_text(last, token.trim()));
    }

    pub(super) fn token_count(&self) -> usize {
        self.hashes.len()
    }

    /// Returns the hash of the whole input if it ends at a block boundary.
    pub(super) fn completed_block(&self) -> Option<PrefixHash> {
        let is_block_end = self.hashes.len().is_multiple_of(BLOCK_TOKENS);
        self.hashes.last().copied().filter(|_| is_block_end)
    }

    /// Iterates over the prefixes that end at a block boundary, as (length in tokens, hash).
    pub(super) fn block_ends(&self) -> impl Iterator<Item = (usize, PrefixHash)> + '_ {
        let blocks = self.hashes.chunks_exact(BLOCK_TOKENS).enumerate();
        blocks.map(|(index, block)| ((index + 1) * BLOCK_TOKENS, block[BLOCK_TOKENS - 1]))
    }

    pub(super) fn export(&self, model: &str) -> KvBody {
        let mut prefixes: Vec<PrefixHash> = self.block_ends().map(|(_, hash)| hash).collect();
        if self.completed_block().is_none() {
            prefixes.extend(self.hashes.last());
        }
        KvBody {
            model: model.to_owned(),
            tokens: self.hashes.len(),
            prefixes,
        }
    }
}

fn hash_text(start: PrefixHash, text: &str) -> PrefixHash {
    let mut hash = splitmix64(start ^ text.len() as u64);
    for chunk in text.as_bytes().chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = splitmix64(hash ^ u64::from_le_bytes(word));
    }
    hash
}

/// `KvBody` is an exported KV cache, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBody {
    /// Name of the model.
    pub model: String,
    /// Number of tokens that the cache covers.
    pub tokens: usize,
    /// Hashes of the prefixes that end at a block boundary, and of the whole input.
    pub prefixes: Vec<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    last_used: u64,
}

/// `PrefixCache` holds the hashes of the most recently used prefixes.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    entries: HashMap<PrefixHash, Entry>,
    by_last_use: BTreeMap<u64, PrefixHash>,
    clock: u64,
    pub(super) events: CacheEventLog,
}

impl PrefixCache {
    pub(super) fn new(capacity_tokens: usize, events: CacheEventLog) -> Self {
        Self {
            capacity: capacity_tokens / BLOCK_TOKENS,
            entries: HashMap::default(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            events,
        }
    }

    /// Returns the length in tokens of the longest cached prefix, and marks its blocks as used.
    pub(super) fn lookup(&mut self, chain: &PrefixChain) -> usize {
        let mut cached = 0;
        for (length, hash) in chain.block_ends() {
            if !self.touch(hash) {
                break;
            }
            cached = length;
        }
        let tail = chain.hashes.iter().enumerate().skip(cached);
        let tail = tail.take(BLOCK_TOKENS - 1).rev();
        let longest = tail
            .map(|(index, hash)| (index + 1, *hash))
            .find(|(_, hash)| self.entries.contains_key(hash));
        longest.map_or(cached, |(length, _)| length)
    }

    pub(super) fn insert_all(&mut self, chain: &PrefixChain) {
        for (_, hash) in chain.block_ends() {
            self.insert(hash);
        }
    }

    pub(super) fn import(&mut self, body: &KvBody) {
        for hash in &body.prefixes {
            self.insert(*hash);
        }
    }

    pub(super) fn insert(&mut self, hash: PrefixHash) {
        if self.capacity == 0 || self.touch(hash) {
            return;
        }
        if self.entries.len() == self.capacity {
            self.evict();
        }
        self.clock += 1;
        self.entries.insert(
            hash,
            Entry {
                last_used: self.clock,
            },
        );
        self.by_last_use.insert(self.clock, hash);
        self.events.push(CacheEventKind::Stored, hash);
    }

    fn touch(&mut self, hash: PrefixHash) -> bool {
        let Some(entry) = self.entries.get_mut(&hash) else {
            return false;
        };
        self.clock += 1;
        self.by_last_use.remove(&entry.last_used);
        entry.last_used = self.clock;
        self.by_last_use.insert(self.clock, hash);
        true
    }

    fn evict(&mut self) {
        if let Some((_, hash)) = self.by_last_use.pop_first() {
            self.entries.remove(&hash);
            self.events.push(CacheEventKind::Evicted, hash);
        }
    }
}
