//! Chained hashes of the blocks of a prompt.

use derive_more::Display;
use verbenahead_core::units::Tokens;

use crate::hash;

/// `BlockHash` identifies a block of a prompt together with all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:016x}")]
pub struct BlockHash(pub u64);

/// `BlockOptions` configures how a prompt is split into blocks. All nodes must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockOptions {
    /// Size of a block, in tokens.
    pub block_tokens: u64,
    /// Average number of bytes of text in a token.
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

/// `PromptBlocks` are the hashes of the complete blocks of a prompt, in order.
///
/// Prompts with equal leading blocks have equal leading hashes. An incomplete block at the end has
/// no hash, because engines cache complete blocks only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptBlocks {
    hashes: Vec<BlockHash>,
    /// End of each block, in tokens from the start of the prompt.
    ends: Vec<u64>,
    prompt: Tokens,
}

impl PromptBlocks {
    /// Builds the blocks from the parts of a prompt, one block for each part. A part is given as an
    /// id of its content and its size. `model` is the hash of the model's name and `prompt` the
    /// size of the whole prompt.
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

    /// Builds the blocks of the text of a prompt for a model. Sizes in tokens are estimated.
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

    /// Builds the blocks from hashes that are already computed, such as those of a cache event.
    pub fn from_hashes(hashes: Vec<BlockHash>, block_tokens: u64, prompt: Tokens) -> Self {
        let blocks = 1..=hashes.len() as u64;
        Self {
            ends: blocks.map(|n| n.saturating_mul(block_tokens)).collect(),
            hashes,
            prompt,
        }
    }

    /// Returns the hashes of the complete blocks, in order.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.hashes
    }

    /// Returns the size of the whole prompt, which may be an estimate.
    pub fn prompt(&self) -> Tokens {
        self.prompt
    }

    /// Returns the size of the first `count` blocks, limited to the size of the prompt.
    pub fn prefix_tokens(&self, count: usize) -> Tokens {
        let last = count.checked_sub(1).and_then(|last| self.ends.get(last));
        let end = last.or(self.ends.last().filter(|_| count > 0));
        Tokens(end.copied().unwrap_or_default().min(self.prompt.0))
    }
}
