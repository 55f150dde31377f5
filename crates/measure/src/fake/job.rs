//! Simulated requests.

use std::rc::Rc;

use verbenahead_core::units::Tokens;
use verbenahead_manifest::Priority;
use verbenahead_policy::{BlockHash, PromptBlocks};

/// Size of a block, in tokens.
pub const BLOCK_TOKENS: u64 = 64;

/// `Job` is one request with its progress.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the workspace.
    pub workspace: usize,
    /// Priority of the request.
    pub priority: Priority,
    /// Index of the node that received the request.
    pub node: usize,
    /// Blocks of the prompt and the answer, in order.
    pub blocks: Rc<Vec<BlockHash>>,
    /// Size of the prompt, in tokens.
    pub prompt: u64,
    /// Size of the answer, in tokens.
    pub answer: u64,
    /// When the caller first asked, in seconds.
    pub asked_at: f64,
    /// When the caller stops waiting, in seconds.
    pub deadline: f64,
    /// Whether the request was admitted.
    pub is_admitted: bool,
    /// Whether the caller no longer waits for this answer, although it is still generated.
    pub is_abandoned: bool,
    /// Number of the current attempt. Events of earlier attempts are ignored.
    pub attempt: u32,
    /// Replica of the current attempt.
    pub replica: Option<usize>,
    /// Tokens of the answer that earlier attempts generated.
    pub generated: u64,
    /// When the first token of the answer was generated, in seconds.
    pub first_token_at: Option<f64>,
    /// Running generation, if any.
    pub decode: Option<Decode>,
    /// Whether the answer is complete or the caller is gone.
    pub is_over: bool,
    /// Where and when the answer was completed.
    pub ended: Option<Ended>,
    /// Limit of the size of the answer, in tokens.
    pub max_answer: u64,
    /// Index of the conversation that continues after the answer.
    pub conversation: Option<usize>,
}

/// `Ended` records where and when an answer was completed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ended {
    /// Index of the replica that completed the answer.
    pub replica: usize,
    /// When, in seconds.
    pub at: f64,
}

/// `Decode` is the state of a running generation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decode {
    /// When the generation began, in seconds.
    pub from: f64,
    /// Time between two tokens, in seconds.
    pub interval: f64,
}

impl Job {
    /// Returns the number of tokens of the answer that are generated at `now`.
    pub fn position(&self, now: f64) -> u64 {
        let Some(decode) = self.decode else {
            return self.generated;
        };
        let new = ((now - decode.from) / decode.interval).max(0.0) as u64;
        (self.generated + new).min(self.answer)
    }

    /// Returns the blocks of the prompt and of the first `position` tokens of the answer.
    pub fn blocks_at(&self, position: u64) -> PromptBlocks {
        let tokens = self.prompt + position;
        let count = (tokens / BLOCK_TOKENS) as usize;
        let hashes = self.blocks[..count.min(self.blocks.len())].to_vec();
        PromptBlocks::from_hashes(hashes, BLOCK_TOKENS, Tokens(tokens))
    }
}
