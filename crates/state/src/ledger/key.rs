//! Keys of the rows in the ledger and in its expiry table.

use std::{str::FromStr, sync::Arc};

use derive_more::Display;
use verbenahead_core::WorkspaceId;
use verbenahead_services::{RowKey, TableName};

use crate::{
    errors::{Error, Result},
    time::UnixMillis,
};

/// Table with one row per workspace and idempotency key.
pub const LEDGER_TABLE: TableName = TableName("ledger");

/// Table that orders the rows of the ledger by the time at which they expire.
pub const EXPIRY_TABLE: TableName = TableName("ledger_expiry");

/// Longest accepted idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Digits to which a time is zero-padded in keys of the expiry table, so that the keys sort by time.
const TIME_DIGITS: usize = 20;

/// `IdempotencyKey` is the value of the `Idempotency-Key` header: 1 to 255 printable ASCII
/// characters without spaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Validates the text and builds the key.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidKey`] when the text is empty, is longer than 255 bytes, or contains a
    /// character other than printable ASCII without spaces.
    pub fn try_new(text: impl AsRef<str>) -> Result<Self> {
        let text = text.as_ref();
        if text.is_empty() {
            return Err(Error::invalid_key("it is empty"));
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(Error::invalid_key("it is longer than 255 bytes"));
        }
        if !text.chars().all(|c| c.is_ascii_graphic()) {
            return Err(Error::invalid_key(
                "only printable ASCII characters without spaces are allowed",
            ));
        }
        Ok(Self(text.into()))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Self::try_new(text)
    }
}

/// `LedgerKey` identifies one row of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{workspace}/{key}")]
pub struct LedgerKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
}

impl LedgerKey {
    /// Builds a ledger key.
    pub fn new(workspace: WorkspaceId, key: IdempotencyKey) -> Self {
        Self { workspace, key }
    }

    /// Returns the key of the row in the ledger.
    pub fn row_key(&self) -> RowKey {
        RowKey::new(LEDGER_TABLE, self.to_string())
    }

    /// Returns the key of this row's entry in the expiry table.
    pub fn expiry_key(&self, expires_at: UnixMillis) -> RowKey {
        let time = expires_at.0;
        RowKey::new(EXPIRY_TABLE, format!("{time:0TIME_DIGITS$}/{self}"))
    }
}

/// `ExpiryEntry` is a parsed key of the expiry table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiryEntry {
    /// Expiry time under which the row is listed.
    pub expires_at: UnixMillis,
    /// Key of the row in the ledger.
    pub key: LedgerKey,
}

impl FromStr for ExpiryEntry {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || Error::malformed("expiry key", text);
        let (time, rest) = text.split_once('/').ok_or_else(malformed)?;
        let (workspace, key) = rest.split_once('/').ok_or_else(malformed)?;
        let expires_at = time.parse().map(UnixMillis).map_err(|_| malformed())?;
        let workspace = WorkspaceId::try_new(workspace).map_err(|_| malformed())?;
        Ok(Self {
            expires_at,
            key: LedgerKey::new(workspace, IdempotencyKey::try_new(key)?),
        })
    }
}
