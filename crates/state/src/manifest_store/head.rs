//! Head row and rows of the history.

use std::str::FromStr;

use bytes::Bytes;
use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{RowKey, TableName};

use crate::{
    errors::{Error, Result},
    time::UnixMillis,
};

/// Table with the head row.
pub const MANIFEST_TABLE: TableName = TableName("manifest");

/// Table with one row per accepted generation. In the order of the keys, the newest comes first.
pub const HISTORY_TABLE: TableName = TableName("manifest_history");

const HEAD_KEY: &str = "head";

/// Digits of a number in the keys of the history. Zero padding makes the order of the keys that of
/// the numbers.
const NUMBER_DIGITS: usize = 20;

/// `PublicationId` identifies one publication attempt, so that an unknown outcome can be read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{_0:032x}")]
#[serde(try_from = "String", into = "String")]
pub struct PublicationId(pub u128);

impl PublicationId {
    /// Generates an id of 128 random bits.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl FromStr for PublicationId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|err| Error::malformed("publication id", err))
    }
}

impl TryFrom<String> for PublicationId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<PublicationId> for String {
    fn from(id: PublicationId) -> Self {
        id.to_string()
    }
}

/// `Head` describes one accepted manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Generation, starting at 1.
    pub generation: Generation,
    /// Digest of the body.
    pub digest: Digest,
    /// Publisher, as named by the operator's credential.
    pub publisher: String,
    /// Id of the publication attempt that was accepted.
    pub publication: PublicationId,
    /// Time of this attempt by the wall clock of the node that made it.
    pub published_at: UnixMillis,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireHead {
    generation: Generation,
    digest: Digest,
    publisher: String,
    publication: PublicationId,
    published_at_ms: UnixMillis,
}

impl From<&Head> for WireHead {
    fn from(head: &Head) -> Self {
        Self {
            generation: head.generation,
            digest: head.digest,
            publisher: head.publisher.clone(),
            publication: head.publication,
            published_at_ms: head.published_at,
        }
    }
}

impl From<WireHead> for Head {
    fn from(wire: WireHead) -> Self {
        Self {
            generation: wire.generation,
            digest: wire.digest,
            publisher: wire.publisher,
            publication: wire.publication,
            published_at: wire.published_at_ms,
        }
    }
}

/// Returns the key of the head row.
pub fn head_key() -> RowKey {
    RowKey::new(MANIFEST_TABLE, HEAD_KEY)
}

/// Returns the key of the history row of a generation.
pub fn history_key(generation: Generation) -> RowKey {
    let number = u64::MAX - generation.0;
    RowKey::new(HISTORY_TABLE, format!("{number:0NUMBER_DIGITS$}"))
}

/// Encodes a head as the value of a row.
pub fn encode(head: &Head) -> Bytes {
    let json = serde_json::to_vec(&WireHead::from(head));
    Bytes::from(json.expect("the keys of a head are strings"))
}

/// Decodes a head from the value of a row.
///
/// # Errors
///
/// [`Error::Malformed`] when the value is not a head.
pub fn decode(value: &[u8]) -> Result<Head> {
    let wire: WireHead =
        serde_json::from_slice(value).map_err(|err| Error::malformed("manifest row", err))?;
    Ok(wire.into())
}
