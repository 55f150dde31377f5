//! Row of a lease: its table, key and value.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{FencingNumber, Incarnation, NodeId, ServiceId};
use verbenahead_services::{Condition, Mutation, RowKey, TableName, Version, Write};

use crate::{
    errors::{Error, Result},
    ledger::Claimant,
};

/// Table of leases, with one row per service.
pub const LEASE_TABLE: TableName = TableName("lease");

/// `LeaseRecord` is the value of a lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Current or last holder.
    pub holder: Claimant,
    /// Fencing number. It increases with every new holder.
    pub fencing: FencingNumber,
    /// Number of the write among those that the holder attempted, so that no two of its writes are
    /// equal.
    pub write_number: u64,
    /// Whether the holder released the lease.
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

/// Returns the key of the lease row of a service.
pub fn lease_key(service: &ServiceId) -> RowKey {
    RowKey::new(LEASE_TABLE, service.as_str())
}

/// Builds the write of a lease row. The condition is that the row has the given version, or is
/// absent for `None`.
pub fn put(service: &ServiceId, record: &LeaseRecord, version: Option<Version>) -> Write {
    let json = serde_json::to_vec(&WireLease::from(record));
    let value = Bytes::from(json.expect("the keys of a lease are strings"));
    Write {
        key: lease_key(service),
        condition: version.map_or(Condition::Absent, Condition::VersionIs),
        mutation: Mutation::Put(value),
    }
}

/// Decodes the value of a lease row.
///
/// # Errors
///
/// [`Error::Malformed`] when the value is not a lease.
pub fn decode(value: &[u8]) -> Result<LeaseRecord> {
    let wire: WireLease =
        serde_json::from_slice(value).map_err(|err| Error::malformed("lease row", err))?;
    Ok(wire.into())
}
