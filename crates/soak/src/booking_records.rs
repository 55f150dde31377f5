//! Last outcomes that callers know of their bookings, compared with the runs at the replicas.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;

use crate::invariant::BrokenInvariant;

/// `LastOutcome` is the last outcome that a caller knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LastOutcome {
    /// Answered with success.
    Answered(Bytes),
    /// Answered with `not_run`, and not retried.
    NotRun,
    /// The outcome remained unknown.
    Unknown,
}

/// `BookingRecord` is what a caller knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookingRecord {
    /// Last outcome. Failure details print it as `word`.
    pub word: LastOutcome,
    /// Whether the caller gave up waiting for one of its attempts. A frozen node may run such an
    /// attempt later, so a `not_run` from another node does not cover it.
    pub is_abandoned: bool,
    /// Nodes that the attempts were sent to.
    pub nodes: Vec<String>,
}

/// `BookingRecords` keeps the records by key.
#[derive(Debug, Default)]
pub struct BookingRecords {
    records: Mutex<BTreeMap<String, BookingRecord>>,
}

impl BookingRecords {
    /// Keeps the record of a key that is not retried.
    pub fn put(&self, key: String, record: BookingRecord) {
        self.lock().insert(key, record);
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Checks that no key ran twice. Holds at all times.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] for a key that ran more than once.
    pub fn check_at_most_once(&self, runs: &BTreeMap<String, u64>) -> Result<(), BrokenInvariant> {
        let Some((key, count)) = runs.iter().find(|(_, count)| **count > 1) else {
            return Ok(());
        };
        let records = self.lock();
        let record = records.get(key);
        let detail = format!("{key} ran {count} times; {record:?}");
        let nodes = record.map(|record| record.nodes.clone());
        let broken = BrokenInvariant::new("a key runs at most once", detail);
        Err(broken.with_nodes(nodes.unwrap_or_default()))
    }

    /// Checks that the runs match the outcomes that the callers know. Holds only when no call is in
    /// flight.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] for a key whose runs contradict the outcome that its caller knows.
    pub fn check_outcomes(&self, runs: &BTreeMap<String, u64>) -> Result<(), BrokenInvariant> {
        self.check_at_most_once(runs)?;
        for (key, record) in self.lock().iter() {
            let count = runs.get(key).copied().unwrap_or_default();
            let invariant = match record.word {
                LastOutcome::Answered(_) if count != 1 => "an answered key ran once",
                LastOutcome::NotRun if count != 0 && !record.is_abandoned => {
                    "a key told `not_run` never ran"
                }
                _ => continue,
            };
            let detail = format!("{key} ran {count} times; {record:?}");
            return Err(BrokenInvariant::new(invariant, detail).with_nodes(record.nodes.clone()));
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, BookingRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
