//! In-memory store of the journals that this node keeps for other nodes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{HashMap, RequestId, invariant, units::ByteSize};

use crate::journal::{
    JournalAppend, JournalDrop, JournalRecord, JournalRefusal, JournalResult, JournalTakeOver,
};

/// Memory that a journal takes beside its body and tokens, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// Memory that a token takes beside its text, in bytes.
const TOKEN_OVERHEAD_BYTES: usize = size_of::<String>();

/// `JournalStoreOptions` limits the journals that a node keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalStoreOptions {
    /// Maximum size of all journals together.
    pub max_bytes: ByteSize,
    /// Maximum number of journals.
    pub max_journals: usize,
    /// Time for which a journal is kept after its last change.
    pub retention: Duration,
    /// Time for which a finished journal is kept after its last change.
    pub finished_retention: Duration,
}

impl Default for JournalStoreOptions {
    fn default() -> Self {
        Self {
            max_bytes: ByteSize(128 * 1_024 * 1_024),
            max_journals: 20_000,
            retention: Duration::from_secs(30 * 60),
            finished_retention: Duration::from_secs(60),
        }
    }
}

#[derive(Debug)]
struct StoredJournal {
    record: JournalRecord,
    bytes: usize,
    changed_at: Instant,
}

#[derive(Debug, Default)]
struct Journals {
    by_request: HashMap<RequestId, StoredJournal>,
    bytes: usize,
}

/// `JournalStore` keeps journals for other nodes. Clones share the journals.
#[derive(Debug, Clone)]
pub struct JournalStore {
    options: Arc<JournalStoreOptions>,
    journals: Arc<Mutex<Journals>>,
}

impl JournalStore {
    /// Builds an empty store.
    pub fn new(options: JournalStoreOptions) -> Self {
        Self {
            options: Arc::new(options),
            journals: Arc::default(),
        }
    }

    /// Stores a journal. Storing the same journal again changes nothing, and a copy of the same
    /// epoch never shortens the stored journal.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::StaleEpoch`] or [`JournalRefusal::Full`].
    pub fn put(&self, record: JournalRecord, now: Instant) -> JournalResult<()> {
        let mut journals = self.lock();
        let known = journals
            .by_request
            .get(&record.request)
            .map(|stored| &stored.record);
        if let Some(known) = known {
            check_epoch(known.epoch, record.epoch)?;
            let is_ahead = known.tokens.len() > record.tokens.len() || known.is_finished;
            if known.epoch == record.epoch && is_ahead {
                return Ok(());
            }
        }
        self.insert(&mut journals, record, now)
    }

    /// Appends tokens to a journal. Tokens that the journal already has are skipped.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::NotFound`], [`JournalRefusal::StaleEpoch`], [`JournalRefusal::Gap`] or
    /// [`JournalRefusal::Full`].
    pub fn append(&self, append: JournalAppend, now: Instant) -> JournalResult<()> {
        let mut journals = self.lock();
        let stored = journals
            .by_request
            .get(&append.request)
            .ok_or(JournalRefusal::NotFound)?;
        check_epoch(stored.record.epoch, append.epoch)?;
        let new = new_tokens(&stored.record, &append)?;
        let growth: usize = new.iter().map(|token| token_bytes(token)).sum();
        if !self.has_room(&journals, growth, 0) {
            return Err(JournalRefusal::Full);
        }
        journals.bytes += growth;
        if let Some(stored) = journals.by_request.get_mut(&append.request) {
            stored.bytes += growth;
            stored.changed_at = now;
            stored.record.epoch = append.epoch;
            stored.record.tokens.extend(new);
            stored.record.is_finished |= append.is_finished;
        }
        Ok(())
    }

    /// Returns a journal with its tokens from position `from` on.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::NotFound`].
    pub fn read(&self, request: RequestId, from: u64) -> JournalResult<JournalRecord> {
        let journals = self.lock();
        let stored = journals
            .by_request
            .get(&request)
            .ok_or(JournalRefusal::NotFound)?;
        let record = &stored.record;
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let tokens = record.tokens.get(from..).unwrap_or_default().to_vec();
        Ok(JournalRecord {
            request,
            workspace: record.workspace.clone(),
            service: record.service.clone(),
            owner: record.owner.clone(),
            epoch: record.epoch,
            seed: record.seed,
            body: record.body.clone(),
            tokens,
            is_finished: record.is_finished,
        })
    }

    /// Makes another node the owner of a request, with the next epoch, and returns the journal. The
    /// same node may retry this when the response was lost.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::NotFound`], or [`JournalRefusal::StaleEpoch`] when the epoch is not the
    /// current one.
    pub fn take_over(
        &self,
        take_over: JournalTakeOver,
        now: Instant,
    ) -> JournalResult<JournalRecord> {
        let mut journals = self.lock();
        let stored = journals
            .by_request
            .get_mut(&take_over.request)
            .ok_or(JournalRefusal::NotFound)?;
        let current = stored.record.epoch;
        let is_retry = stored.record.owner == take_over.owner && take_over.epoch + 1 == current;
        if is_retry {
            return Ok(stored.record.clone());
        }
        if take_over.epoch != current {
            return Err(JournalRefusal::StaleEpoch { current });
        }
        stored.record.epoch = current + 1;
        stored.record.owner = take_over.owner;
        stored.changed_at = now;
        Ok(stored.record.clone())
    }

    /// Drops a journal. Succeeds when the store has no such journal.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::StaleEpoch`] when another node has taken the request over.
    pub fn drop_journal(&self, drop: JournalDrop) -> JournalResult<()> {
        let mut journals = self.lock();
        let Some(stored) = journals.by_request.get(&drop.request) else {
            return Ok(());
        };
        check_epoch(stored.record.epoch, drop.epoch)?;
        journals.remove(drop.request);
        Ok(())
    }

    /// Removes and returns a journal, for a hand-over to another holder.
    pub fn take(&self, request: RequestId) -> Option<JournalRecord> {
        self.lock().remove(request)
    }

    /// Returns the request ids of all journals.
    pub fn request_ids(&self) -> Vec<RequestId> {
        self.lock().by_request.keys().copied().collect()
    }

    /// Returns the request ids of the unfinished journals of an owner.
    pub fn unfinished_request_ids(&self, owner: &verbenahead_core::NodeId) -> Vec<RequestId> {
        let journals = self.lock();
        let is_unfinished =
            |stored: &&StoredJournal| stored.record.owner == *owner && !stored.record.is_finished;
        let unfinished = journals.by_request.values().filter(is_unfinished);
        unfinished.map(|stored| stored.record.request).collect()
    }

    /// Drops the journals whose retention has ended since their last change. Returns their number.
    pub fn expire(&self, now: Instant) -> usize {
        self.lock().expire(&self.options, now)
    }

    /// Returns the number of journals.
    pub fn len(&self) -> usize {
        self.lock().by_request.len()
    }

    /// Returns whether there are no journals.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of all journals together.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.lock().bytes as u64)
    }

    fn insert(
        &self,
        journals: &mut Journals,
        record: JournalRecord,
        now: Instant,
    ) -> JournalResult<()> {
        let bytes = record_bytes(&record);
        let request = record.request;
        let known = journals.by_request.get(&request).map(|stored| stored.bytes);
        let growth = bytes.saturating_sub(known.unwrap_or_default());
        let count = usize::from(known.is_none());
        if !self.has_room(journals, growth, count) {
            journals.expire(&self.options, now);
        }
        if !self.has_room(journals, growth, count) {
            return Err(JournalRefusal::Full);
        }
        journals.remove(request);
        journals.bytes += bytes;
        let stored = StoredJournal {
            record,
            bytes,
            changed_at: now,
        };
        journals.by_request.insert(request, stored);
        Ok(())
    }

    fn has_room(&self, journals: &Journals, bytes: usize, count: usize) -> bool {
        let size = (journals.bytes + bytes) as u64;
        size <= self.options.max_bytes.0
            && journals.by_request.len() + count <= self.options.max_journals
    }

    fn lock(&self) -> MutexGuard<'_, Journals> {
        self.journals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Journals {
    fn expire(&mut self, options: &JournalStoreOptions, now: Instant) -> usize {
        let is_expired = |stored: &&StoredJournal| {
            let retention = if stored.record.is_finished {
                options.finished_retention
            } else {
                options.retention
            };
            now.saturating_duration_since(stored.changed_at) >= retention
        };
        let expired = self.by_request.values().filter(is_expired);
        let expired: Vec<_> = expired.map(|stored| stored.record.request).collect();
        for request in &expired {
            self.remove(*request);
        }
        expired.len()
    }

    fn remove(&mut self, request: RequestId) -> Option<JournalRecord> {
        let stored = self.by_request.remove(&request)?;
        self.bytes -= stored.bytes;
        Some(stored.record)
    }
}

/// Refuses an epoch that is older than the current one.
fn check_epoch(current: u64, epoch: u64) -> JournalResult<()> {
    if epoch < current {
        return Err(JournalRefusal::StaleEpoch { current });
    }
    Ok(())
}

/// Returns the tokens of an append that the journal does not have yet.
///
/// # Errors
///
/// [`JournalRefusal::Gap`] when the append starts beyond the end of the journal.
fn new_tokens(record: &JournalRecord, append: &JournalAppend) -> JournalResult<Vec<String>> {
    let length = record.tokens.len();
    let position = usize::try_from(append.position).unwrap_or(usize::MAX);
    let known = length
        .checked_sub(position)
        .ok_or(JournalRefusal::Gap {
            length: length as u64,
        })?
        .min(append.tokens.len());
    invariant!(
        "tokens of a journal never change",
        append.epoch != record.epoch
            || record.tokens[position..position + known] == append.tokens[..known],
        "request {} epoch {} position {position}",
        record.request,
        record.epoch
    );
    Ok(append.tokens[known..].to_vec())
}

/// Returns the accounted memory of a journal, in bytes.
fn record_bytes(record: &JournalRecord) -> usize {
    let tokens: usize = record.tokens.iter().map(|token| token_bytes(token)).sum();
    RECORD_OVERHEAD_BYTES + record.body.len() + tokens
}

fn token_bytes(token: &str) -> usize {
    TOKEN_OVERHEAD_BYTES + token.len()
}
