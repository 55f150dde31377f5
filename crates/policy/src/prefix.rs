//! Hashes of the leading blocks of a prompt.

use derive_more::Display;
use verbenahead_core::units::Tokens;

use crate::hash;

/// `BlockHash` identifies a block of a prompt together with all the blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:016x}")]
pub struct BlockHash(pub u64);

/// `PromptOptions` say how a prompt is cut into blocks. All nodes must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockOptions {
    /// Size of a block, in tokens.
    pub block_tokens: u64,
    /// Bytes of text that make up a token, on average.
    pub bytes_per_token: u64,
}

impl Default for BlockOptions {
    fn default() -> Self {
        Self {
            block_tokens: 64,
            bytes_per_token: 4,
        }
    }
}

/// `PromptBlocks` are the hashes of a prompt's whole blocks, in order.
///
/// Prompts with the same first blocks have the same first hashes. The incomplete block at the
/// end has no hash, because engines cache whole blocks only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBlocks {
    hashes: Vec<BlockHash>,
    /// Size of the prompt up to the end of each block, in tokens.
    ends: Vec<u64>,
    prompt: Tokens,
}

impl PromptBlocks {
    /// Chains the parts of a prompt, each given by an id of its own and its size.
    pub fn from_parts(
        model: u64,
        parts: impl IntoIterator<Item = (u64, Tokens)>,
        prompt: Tokens,
    ) -> Self {
        let mut previous = model;
        let mut end = 0;
        let mut hashes = Vec::new();
        let mut ends = Vec::new();
        for (id, tokens) in parts {
            previous = hash::combine(previous, id);
            end += tokens.0;
            hashes.push(BlockHash(previous));
            ends.push(end);
        }
        Self {
            hashes,
            ends,
            prompt,
        }
    }

    /// Hashes the blocks of a prompt for a model.
    pub fn from_prompt(model: &str, prompt: &[u8], options: &BlockOptions) -> Self {
        let block_bytes = (options.block_tokens * options.bytes_per_token).max(1);
        let block_bytes = usize::try_from(block_bytes).unwrap_or(usize::MAX);
        let mut previous = hash::hash_bytes(0, model.as_bytes());
        let hashes: Vec<_> = prompt
            .chunks_exact(block_bytes)
            .map(|block| {
                previous = hash::hash_bytes(previous, block);
                BlockHash(previous)
            })
            .collect();
        let tokens = (prompt.len() as u64).div_ceil(options.bytes_per_token.max(1));
        Self::from_hashes(hashes, options.block_tokens, Tokens(tokens))
    }

    /// Builds the blocks from hashes that are known already, such as those of a cache event.
    pub fn from_hashes(hashes: Vec<BlockHash>, block_tokens: u64, prompt: Tokens) -> Self {
        let blocks = 1..=hashes.len() as u64;
        Self {
            ends: blocks.map(|n| n.saturating_mul(block_tokens)).collect(),
            hashes,
            prompt,
        }
    }

    /// Returns the hashes of the whole blocks, in order.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.hashes
    }

    /// Returns the estimated size of the whole prompt.
    pub fn prompt(&self) -> Tokens {
        self.prompt
    }

    /// Returns the size of the first `count` blocks, at most that of the prompt.
    pub fn prefix_tokens(&self, count: usize) -> Tokens {
        let last = count.checked_sub(1).and_then(|last| self.ends.get(last));
        let end = last.or(self.ends.last().filter(|_| count > 0));
        Tokens(end.copied().unwrap_or_default().min(self.prompt.0))
    }
}
