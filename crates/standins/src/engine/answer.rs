//! Deterministic answers of the engine stand-in, derived from the model and the prompt.

use sha2::{Digest as _, Sha256};

/// Minimum answer length of a prompt that requests no length, in tokens.
const MIN_LENGTH: u64 = 8;

/// Maximum answer length of a prompt that requests no length, in tokens.
const MAX_LENGTH: u64 = 64;

/// Text in a prompt that precedes the requested answer length.
const LENGTH_PREFIX: &str = "[n=";
const TOKEN_HASH_MASK: u64 = 0xff_ffff;

/// Returns the number of tokens of the answer to `prompt`, at most `max_tokens`. A prompt that
/// contains `[n=50]` requests an answer of 50 tokens.
pub fn answer_length(prompt: &str, max_tokens: u64) -> u64 {
    unlimited_length(prompt).min(max_tokens)
}

/// Returns the token at `position` of the answer, counted from 0.
pub fn answer_token(model: &str, prompt: &str, position: u64) -> String {
    AnswerGenerator::new(model, prompt).token(position)
}

/// Returns all tokens of the answer.
pub fn expected_answer(model: &str, prompt: &str, max_tokens: u64) -> Vec<String> {
    let generator = AnswerGenerator::new(model, prompt);
    (0..answer_length(prompt, max_tokens))
        .map(|position| generator.token(position))
        .collect()
}

/// Returns the number of tokens of the answer before `max_tokens` is applied.
pub(super) fn unlimited_length(prompt: &str) -> u64 {
    requested_length(prompt).unwrap_or_else(|| {
        let span = MAX_LENGTH - MIN_LENGTH + 1;
        MIN_LENGTH + digest("length", prompt) % span
    })
}

fn requested_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(LENGTH_PREFIX)?;
    let (digits, _) = rest.split_once(']')?;
    digits.parse().ok()
}

/// `AnswerGenerator` computes the tokens of one answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerGenerator {
    seed: u64,
}

impl AnswerGenerator {
    pub(super) fn new(model: &str, prompt: &str) -> Self {
        let seed = digest(model, prompt);
        Self { seed }
    }

    pub(super) fn token(self, position: u64) -> String {
        let hash = splitmix64(self.seed ^ splitmix64(position)) & TOKEN_HASH_MASK;
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

/// Hashes a number with the output generator of SplitMix64.
pub(super) fn splitmix64(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
