//! The head row and the rows of the history.

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

/// Table with one row per accepted generation, the newest first in the order of the keys.
pub const HISTORY_TABLE: TableName = TableName("manifest_history");

const HEAD_KEY: &str = "head";

/// Digits of a number in the keys of the history, so that their order is that of the numbers.
const NUMBER_DIGITS: usize = 20;

/// `PublicationId` names one try to publish, so that an unknown outcome can be read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[display("{_0:032x}")]
#[serde(try_from = "String", into = "String")]
pub struct PublicationId(pub u128);

impl PublicationId {
    /// Draws a new id of 128 random bits.
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

/// `Head` is one accepted manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Generation, from 1.
    pub generation: Generation,
    /// Digest of the body.
    pub digest: Digest,
    /// Who published it, as the operator's credential says.
    pub publisher: String,
    /// Try that was accepted.
    pub publication: PublicationId,
    /// Time of that try by the clock of the node that made it.
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

/// Returns the key of a generation in the history.
pub fn history_key(generation: Generation) -> RowKey {
    let number = u64::MAX - generation.0;
    RowKey::new(HISTORY_TABLE, format!("{number:0NUMBER_DIGITS$}"))
}

/// Writes a head as the value of a row.
pub fn encode(head: &Head) -> Bytes {
    let json = serde_json::to_vec(&WireHead::from(head));
    Bytes::from(json.expect("a head has only text keys"))
}

/// Reads a head from the value of a row.
///
/// # Errors
///
/// [`Error::Malformed`] when the value is not a head.
pub fn decode(value: &[u8]) -> Result<Head> {
    let wire: WireHead =
        serde_json::from_slice(value).map_err(|err| Error::malformed("manifest row", err))?;
    Ok(wire.into())
}
