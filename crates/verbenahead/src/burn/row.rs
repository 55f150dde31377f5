//! Table rows that hold the counts of an hour or a day.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{Incarnation, NodeId, ServiceId, WorkspaceId};
use verbenahead_services::{Error, Result, RowKey, TableName};

use super::{
    counts::{ObjectiveCounts, SeriesKey},
    slice::{HOUR_MINUTES, Slice},
};

/// Table with a row for each node and hour.
pub(super) const HOURS_TABLE: TableName = TableName("burn_hours");

/// Table with a row for each past day of the deployment.
pub(super) const DAYS_TABLE: TableName = TableName("burn_days");

/// Digits of an hour or day in a key. The fixed width makes the order of keys chronological.
const KEY_DIGITS: usize = 10;

/// `HourRow` holds the counts of one hour of a node, or of one day of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HourRow {
    /// Hour since the Unix epoch. For a day, its first hour.
    pub hour: u64,
    /// Counts of each workspace at each service that had requests.
    pub entries: Vec<RowEntry>,
}

/// `RowEntry` holds the counts of one workspace at one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowEntry {
    /// Workspace and service of the requests.
    pub series: SeriesKey,
    /// Counts by time, the oldest first.
    pub slices: Vec<Slice>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RowWire {
    entries: Vec<EntryWire>,
}

#[derive(Debug, Serialize, Deserialize)]
struct EntryWire {
    workspace: WorkspaceId,
    service: ServiceId,
    slices: Vec<SliceWire>,
}

/// First minute relative to the start of the row, number of minutes, and counts.
#[derive(Debug, Serialize, Deserialize)]
struct SliceWire(u64, u64, ObjectiveCounts);

impl HourRow {
    /// Builds a row without counts.
    pub fn new(hour: u64) -> Self {
        Self {
            hour,
            entries: Vec::new(),
        }
    }

    /// Returns the row with the slices of each entry summed into one slice of an hour.
    #[must_use]
    pub fn compacted(self) -> Self {
        self.merged(HOUR_MINUTES)
    }

    /// Returns the row with the slices of each entry summed into one slice of `minutes`.
    #[must_use]
    pub(super) fn merged(self, minutes: u64) -> Self {
        let start = self.hour * HOUR_MINUTES;
        let merge = |entry: RowEntry| RowEntry {
            slices: vec![Slice {
                start,
                minutes,
                counts: entry.slices.iter().map(|slice| slice.counts).sum(),
            }],
            ..entry
        };
        Self {
            hour: self.hour,
            entries: self.entries.into_iter().map(merge).collect(),
        }
    }

    /// Encodes the row as a table value in JSON.
    pub fn encode(&self) -> Bytes {
        let start = self.hour * HOUR_MINUTES;
        let slice = |slice: &Slice| SliceWire(slice.start - start, slice.minutes, slice.counts);
        let entry = |entry: &RowEntry| EntryWire {
            workspace: entry.series.workspace.clone(),
            service: entry.series.service.clone(),
            slices: entry.slices.iter().map(slice).collect(),
        };
        let wire = RowWire {
            entries: self.entries.iter().map(entry).collect(),
        };
        let json = serde_json::to_vec(&wire);
        json.expect("a row is serializable as JSON").into()
    }

    /// Decodes the row of an hour from a table value.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] when the value is not a row.
    pub fn decode(hour: u64, value: &[u8]) -> Result<Self> {
        let wire: RowWire =
            serde_json::from_slice(value).map_err(|e| Error::malformed("table", e))?;
        let start = hour * HOUR_MINUTES;
        let slice = |SliceWire(offset, minutes, counts)| Slice {
            start: start + offset,
            minutes,
            counts,
        };
        let entry = |entry: EntryWire| RowEntry {
            series: SeriesKey {
                workspace: entry.workspace,
                service: entry.service,
            },
            slices: entry.slices.into_iter().map(slice).collect(),
        };
        Ok(Self {
            hour,
            entries: wire.entries.into_iter().map(entry).collect(),
        })
    }
}

/// Returns the key of the row of a node and hour.
pub(super) fn hour_key(hour: u64, node: &NodeId, incarnation: Incarnation) -> RowKey {
    RowKey::new(
        HOURS_TABLE,
        format!("{hour:0KEY_DIGITS$}/{node}/{incarnation}"),
    )
}

/// Returns the key of the row of a day.
pub(super) fn day_key(day: u64) -> RowKey {
    RowKey::new(DAYS_TABLE, format!("{day:0KEY_DIGITS$}"))
}

/// Returns a text that sorts between the keys before an hour or day and the keys from it on.
pub(super) fn boundary_key(number: u64) -> String {
    format!("{:0KEY_DIGITS$}~", number.saturating_sub(1))
}

/// Parses hour, node and incarnation from the key of a row.
pub(super) fn parse_hour_key(key: &str) -> Option<(u64, NodeId, Incarnation)> {
    let mut parts = key.split('/');
    let hour = parts.next()?.parse().ok()?;
    let node = parts.next()?.parse().ok()?;
    let incarnation = parts.next()?.parse().ok()?;
    Some((hour, node, incarnation))
}
