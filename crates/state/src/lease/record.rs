//! What the row of a lease holds.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{FencingNumber, Incarnation, NodeId, ServiceId};
use verbenahead_services::{Condition, Mutation, RowKey, TableName, Version, Write};

use crate::{
    errors::{Error, Result},
    ledger::Claimant,
};

/// Table with one row per service.
pub const LEASE_TABLE: TableName = TableName("lease");

/// `LeaseRecord` is the value of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Node that holds or held the lease last.
    pub holder: Claimant,
    /// Rises with every new holder.
    pub fencing: FencingNumber,
    /// Counts the writes that the holder tried, so that no two of them are alike.
    pub write_number: u64,
    /// Whether the holder gave the lease up.
    pub is_released: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLease {
    node: NodeId,
    incarnation: Incarnation,
    fencing: FencingNumber,
    write_number: u64,
    released: bool,
}

impl From<&LeaseRecord> for WireLease {
    fn from(record: &LeaseRecord) -> Self {
        Self {
            node: record.holder.node.clone(),
            incarnation: record.holder.incarnation,
            fencing: record.fencing,
            write_number: record.write_number,
            released: record.is_released,
        }
    }
}

impl From<WireLease> for LeaseRecord {
    fn from(wire: WireLease) -> Self {
        Self {
            holder: Claimant {
                node: wire.node,
                incarnation: wire.incarnation,
            },
            fencing: wire.fencing,
            write_number: wire.write_number,
            is_released: wire.released,
        }
    }
}

/// Returns the key of the row of a service.
pub fn lease_key(service: &ServiceId) -> RowKey {
    RowKey::new(LEASE_TABLE, service.as_str())
}

/// Returns the write of a lease over the version that was read, or over no row.
pub fn put(service: &ServiceId, record: &LeaseRecord, version: Option<Version>) -> Write {
    let json = serde_json::to_vec(&WireLease::from(record));
    let value = Bytes::from(json.expect("a lease has only text keys"));
    Write {
        key: lease_key(service),
        condition: version.map_or(Condition::Absent, Condition::VersionIs),
        mutation: Mutation::Put(value),
    }
}

/// Reads a lease from the value of a row.
///
/// # Errors
///
/// [`Error::Malformed`] when the value is not a lease.
pub fn decode(value: &[u8]) -> Result<LeaseRecord> {
    let wire: WireLease =
        serde_json::from_slice(value).map_err(|err| Error::malformed("lease row", err))?;
    Ok(wire.into())
}
