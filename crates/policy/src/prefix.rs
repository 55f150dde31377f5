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
pub struct PromptOptions {
    /// Size of a block, in tokens.
    pub block_tokens: u64,
    /// Bytes of text that make up a token, on average.
    pub bytes_per_token: u64,
}

impl Default for PromptOptions {
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
    block_tokens: u64,
    prompt: Tokens,
}

impl PromptBlocks {
    /// Hashes the blocks of a prompt for a model.
    pub fn of_prompt(model: &str, prompt: &[u8], options: &PromptOptions) -> Self {
        let block_bytes = (options.block_tokens * options.bytes_per_token).max(1);
        let block_bytes = usize::try_from(block_bytes).unwrap_or(usize::MAX);
        let mut previous = hash::hash_bytes(0, model.as_bytes());
        let hashes = prompt
            .chunks_exact(block_bytes)
            .map(|block| {
                previous = hash::hash_bytes(previous, block);
                BlockHash(previous)
            })
            .collect();
        let tokens = (prompt.len() as u64).div_ceil(options.bytes_per_token.max(1));
        Self {
            hashes,
            block_tokens: options.block_tokens,
            prompt: Tokens(tokens),
        }
    }

    /// Builds the blocks from hashes that are known already, such as those of a cache event.
    pub fn from_hashes(hashes: Vec<BlockHash>, block_tokens: u64, prompt: Tokens) -> Self {
        Self {
            hashes,
            block_tokens,
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
    pub fn tokens_of(&self, count: usize) -> Tokens {
        let tokens = (count as u64).saturating_mul(self.block_tokens);
        Tokens(tokens.min(self.prompt.0))
    }
}
