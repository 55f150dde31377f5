//! What callers were told of their bookings, compared with what ran.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;

use crate::verdict::Broken;

/// `Word` is the last word that a caller got on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// Answered with success.
    Answered(Bytes),
    /// Answered with `not_run`, and not tried again.
    NotRun,
    /// The outcome stayed unknown.
    Unknown,
}

/// `BookingRecord` is what a caller knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookingRecord {
    /// Last word.
    pub word: Word,
    /// Whether the caller gave up waiting for one of its tries. A frozen node may carry such a try
    /// out later, so a `not_run` from another node says nothing of it.
    pub is_abandoned: bool,
    /// Nodes that were asked.
    pub nodes: Vec<String>,
}

/// `BookingRecords` keeps the records of keys with a last word.
#[derive(Debug, Default)]
pub struct BookingRecords {
    records: Mutex<BTreeMap<String, BookingRecord>>,
}

impl BookingRecords {
    /// Keeps the record of a key that is not tried again.
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

    /// Checks what holds at all times: no key runs twice.
    ///
    /// # Errors
    ///
    /// [`Broken`] for a key with more runs.
    pub fn check_at_most_once(&self, runs: &BTreeMap<String, u64>) -> Result<(), Broken> {
        let Some((key, count)) = runs.iter().find(|(_, count)| **count > 1) else {
            return Ok(());
        };
        let records = self.lock();
        let record = records.get(key);
        let detail = format!("{key} ran {count} times; {record:?}");
        let nodes = record.map(|record| record.nodes.clone());
        let broken = Broken::new("a key runs at most once", detail);
        Err(broken.at(nodes.unwrap_or_default()))
    }

    /// Checks what holds when no call is under way: the runs are what the callers were told.
    ///
    /// # Errors
    ///
    /// [`Broken`] for a key whose runs are not what its caller was told.
    pub fn check_words(&self, runs: &BTreeMap<String, u64>) -> Result<(), Broken> {
        self.check_at_most_once(runs)?;
        for (key, record) in self.lock().iter() {
            let count = runs.get(key).copied().unwrap_or_default();
            let invariant = match record.word {
                Word::Answered(_) if count != 1 => "an answered key ran once",
                Word::NotRun if count != 0 && !record.is_abandoned => {
                    "a key told `not_run` never ran"
                }
                _ => continue,
            };
            let detail = format!("{key} ran {count} times; {record:?}");
            return Err(Broken::new(invariant, detail).at(record.nodes.clone()));
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, BookingRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
