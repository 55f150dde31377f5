//! The answers of the engine stand-in, as functions of model and prompt.

use sha2::{Digest as _, Sha256};

/// Shortest answer of a prompt that asks for no length, in tokens.
const MIN_LENGTH: u64 = 8;

/// Longest answer of a prompt that asks for no length, in tokens.
const MAX_LENGTH: u64 = 64;

const LENGTH_MARK: &str = "[n=";
const TOKEN_HASH_MASK: u64 = 0xff_ffff;

/// Returns the number of tokens of the answer to `prompt`. A prompt that contains `[n=50]` is
/// answered with 50 tokens. The longest length is `max_tokens`.
pub fn answer_length(prompt: &str, max_tokens: u64) -> u64 {
    full_length(prompt).min(max_tokens)
}

/// Returns the token at `position` of the answer.
pub fn answer_token(model: &str, prompt: &str, position: u64) -> String {
    AnswerFunction::new(model, prompt).token(position)
}

/// Returns all tokens of the answer.
pub fn expected_answer(model: &str, prompt: &str, max_tokens: u64) -> Vec<String> {
    let function = AnswerFunction::new(model, prompt);
    (0..answer_length(prompt, max_tokens))
        .map(|position| function.token(position))
        .collect()
}

/// Returns the number of tokens of the answer without a limit.
pub(super) fn full_length(prompt: &str) -> u64 {
    requested_length(prompt).unwrap_or_else(|| {
        let span = MAX_LENGTH - MIN_LENGTH + 1;
        MIN_LENGTH + digest("length", prompt) % span
    })
}

fn requested_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(LENGTH_MARK)?;
    let (digits, _) = rest.split_once(']')?;
    digits.parse().ok()
}

/// `AnswerFunction` gives the tokens of one answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerFunction {
    seed: u64,
}

impl AnswerFunction {
    pub(super) fn new(model: &str, prompt: &str) -> Self {
        let seed = digest(model, prompt);
        Self { seed }
    }

    pub(super) fn token(self, position: u64) -> String {
        let hash = mix(self.seed ^ mix(position)) & TOKEN_HASH_MASK;
        format!(" {position}.{hash:06x}")
    }
}

fn digest(first: &str, second: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(first);
    hasher.update([0]);
    hasher.update(second);
    let bytes = hasher.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(head)
}

/// Spreads the bits of a number, as SplitMix64 does.
pub(super) fn mix(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
