//! Hash functions with the same results on all nodes and in all versions.
//!
//! Nodes agree on the owner of a prefix without communication, so these hashes are not seeded per
//! process. They are not cryptographic: a caller that forces a collision only changes where its own
//! requests are routed.

/// Odd multiplier of multiplicative hashing: 2^64 divided by the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Size of the words in which bytes are hashed, in bytes.
const WORD_BYTES: usize = 8;

/// Returns `value` with its bits mixed by the finalizer of SplitMix64.
#[must_use]
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a hash of two hashes. The order of the arguments matters.
#[must_use]
pub fn combine(left: u64, right: u64) -> u64 {
    mix(left.rotate_left(25) ^ right.wrapping_mul(MULTIPLIER))
}

/// Returns the hash of `bytes` under `seed`. Passing an earlier hash as the seed chains the two.
#[must_use]
pub fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    let (words, rest) = bytes.as_chunks::<WORD_BYTES>();
    let mut hash = seed ^ (bytes.len() as u64).wrapping_mul(MULTIPLIER);
    for word in words {
        hash = step(hash, u64::from_le_bytes(*word));
    }
    let mut last = [0; WORD_BYTES];
    last[..rest.len()].copy_from_slice(rest);
    mix(step(hash, u64::from_le_bytes(last)))
}

fn step(hash: u64, word: u64) -> u64 {
    (hash ^ word).wrapping_mul(MULTIPLIER).rotate_left(29)
}

/// Returns the rendezvous hashing score of a member for a key. The member with the highest score
/// owns the key; when a member is removed, only the keys that it owned get another owner.
#[must_use]
pub fn rendezvous_score(key: u64, member: &str) -> u64 {
    combine(key, hash_bytes(0, member.as_bytes()))
}
