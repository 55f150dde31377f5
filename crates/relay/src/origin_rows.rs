//! Origins of open streams as one node keeps them in rows of the platform's table.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;
use verbenahead_membership::{NameKey, StreamKey, StreamOrigin};

/// Origins in a row. The row that is being filled is written again as a whole.
pub const MAX_ROW_ORIGINS: usize = 256;

/// Rows of a node. The oldest ones are dropped.
pub const MAX_ROWS: usize = 256;

/// Bytes of an origin in a row.
const ORIGIN_BYTES: usize = 12;

/// `RowNumber` numbers the rows of one process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowNumber(pub u64);

/// `RowChange` is what is to become of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// The row is written with these origins.
    Put(RowNumber, Vec<StreamOrigin>),
    /// The row is deleted.
    Delete(RowNumber),
}

/// `OriginRows` holds the rows of one node, oldest first.
#[derive(Debug, Default)]
pub struct OriginRows {
    rows: VecDeque<OriginRow>,
    next_number: u64,
    /// Dropped rows that may be in the table.
    dropped: Vec<RowNumber>,
}

#[derive(Debug)]
struct OriginRow {
    number: RowNumber,
    origins: Vec<StreamOrigin>,
    changed_at: Instant,
    /// Number of its origins that the table has.
    written: usize,
}

impl OriginRows {
    /// Adds origins to the last row, and to further ones.
    pub fn add(&mut self, origins: &[StreamOrigin]) {
        for origin in origins {
            let row = self.row_with_room();
            row.origins.push(*origin);
            row.changed_at = Instant::now();
        }
        while self.rows.len() > MAX_ROWS {
            self.drop_oldest();
        }
    }

    fn row_with_room(&mut self) -> &mut OriginRow {
        let has_room = |row: &OriginRow| row.origins.len() < MAX_ROW_ORIGINS;
        if !self.rows.back().is_some_and(has_room) {
            self.rows.push_back(OriginRow {
                number: RowNumber(self.next_number),
                origins: Vec::new(),
                changed_at: Instant::now(),
                written: 0,
            });
            self.next_number += 1;
        }
        self.rows.back_mut().expect("a row was added")
    }

    /// Drops the rows to which nothing was added for `period`: their streams have ended.
    pub fn expire(&mut self, period: Duration) {
        let is_old = |row: &OriginRow| row.changed_at.elapsed() >= period;
        while self.rows.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(row) = self.rows.pop_front() {
            self.dropped.push(row.number);
        }
    }

    /// Returns the number of origins in the rows.
    pub fn origin_count(&self) -> usize {
        self.rows.iter().map(|row| row.origins.len()).sum()
    }

    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns at most `max` changes that the table does not have, those of the latest rows first: their
    /// streams go on for longest.
    pub fn changes(&self, max: usize) -> Vec<RowChange> {
        let unwritten = self.rows.iter().rev().filter(|row| row.is_unwritten());
        let puts = unwritten.map(|row| RowChange::Put(row.number, row.origins.clone()));
        let deletes = self.dropped.iter().copied().map(RowChange::Delete);
        puts.chain(deletes).take(max).collect()
    }

    /// Records that the table has `changes`.
    pub fn confirm(&mut self, changes: &[RowChange]) {
        for change in changes {
            match change {
                RowChange::Put(number, origins) => {
                    let mut rows = self.rows.iter_mut();
                    if let Some(row) = rows.find(|row| row.number == *number) {
                        row.written = origins.len();
                    }
                }
                RowChange::Delete(number) => self.dropped.retain(|dropped| dropped != number),
            }
        }
    }

    /// Records that the table may have lost everything.
    pub fn mark_unwritten(&mut self) {
        for row in &mut self.rows {
            row.written = 0;
        }
    }
}

impl OriginRow {
    fn is_unwritten(&self) -> bool {
        self.written < self.origins.len()
    }
}

/// Encodes origins as the value of a row.
pub fn encode_origins(origins: &[StreamOrigin]) -> Vec<u8> {
    let mut value = Vec::with_capacity(origins.len() * ORIGIN_BYTES);
    for origin in origins {
        value.extend_from_slice(&origin.stream.0.to_le_bytes());
        value.extend_from_slice(&origin.version.0.to_le_bytes());
    }
    value
}

/// Decodes the value of a row, or returns `None` if it is none.
pub fn decode_origins(value: &[u8]) -> Option<Vec<StreamOrigin>> {
    let origins = value.chunks(ORIGIN_BYTES).map(|chunk| {
        let (stream, version) = chunk.split_at_checked(8)?;
        Some(StreamOrigin {
            stream: StreamKey(u64::from_le_bytes(stream.try_into().ok()?)),
            version: NameKey(u32::from_le_bytes(version.try_into().ok()?)),
        })
    });
    origins.collect()
}
