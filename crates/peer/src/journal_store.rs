//! Journals that this node keeps for others, in memory.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{HashMap, RequestId, invariant, units::ByteSize};

use crate::journal::{
    JournalAppend, JournalDrop, JournalRecord, JournalRefusal, JournalResult, JournalTakeOver,
};

/// Bytes that a journal takes beside its body and tokens.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// Bytes that a token takes beside its text.
const TOKEN_OVERHEAD_BYTES: usize = size_of::<String>();

/// `JournalStoreOptions` bounds the journals that a node keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalStoreOptions {
    /// Most bytes of all journals.
    pub max_bytes: ByteSize,
    /// Most journals.
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
struct Kept {
    record: JournalRecord,
    bytes: usize,
    changed_at: Instant,
}

#[derive(Debug, Default)]
struct Journals {
    kept: HashMap<RequestId, Kept>,
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

    /// Keeps a journal. A repeated message changes nothing, and one of the same epoch never
    /// shortens a journal.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::StaleEpoch`] or [`JournalRefusal::Full`].
    pub fn put(&self, record: JournalRecord, now: Instant) -> JournalResult<()> {
        let mut journals = self.journals();
        let known = journals.kept.get(&record.request).map(|kept| &kept.record);
        if let Some(known) = known {
            check_epoch(known.epoch, record.epoch)?;
            let is_longer = known.tokens.len() > record.tokens.len() || known.is_finished;
            if known.epoch == record.epoch && is_longer {
                return Ok(());
            }
        }
        self.insert(&mut journals, record, now)
    }

    /// Adds tokens to a journal. Tokens that it has already are skipped.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::NotFound`], [`JournalRefusal::StaleEpoch`], [`JournalRefusal::Gap`] or
    /// [`JournalRefusal::Full`].
    pub fn append(&self, append: JournalAppend, now: Instant) -> JournalResult<()> {
        let mut journals = self.journals();
        let kept = journals
            .kept
            .get(&append.request)
            .ok_or(JournalRefusal::NotFound)?;
        check_epoch(kept.record.epoch, append.epoch)?;
        let new = new_tokens(&kept.record, &append)?;
        let growth: usize = new.iter().map(|token| token_bytes(token)).sum();
        if !self.has_room(&journals, growth, 0) {
            return Err(JournalRefusal::Full);
        }
        journals.bytes += growth;
        if let Some(kept) = journals.kept.get_mut(&append.request) {
            kept.bytes += growth;
            kept.changed_at = now;
            kept.record.epoch = append.epoch;
            kept.record.tokens.extend(new);
            kept.record.is_finished |= append.is_finished;
        }
        Ok(())
    }

    /// Returns a journal with its tokens from the position `from` on.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::NotFound`].
    pub fn read(&self, request: RequestId, from: u64) -> JournalResult<JournalRecord> {
        let journals = self.journals();
        let kept = journals
            .kept
            .get(&request)
            .ok_or(JournalRefusal::NotFound)?;
        let record = &kept.record;
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

    /// Makes another node the owner of a request, with the next epoch, and returns the journal.
    /// The same node may repeat this when the answer was lost.
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
        let mut journals = self.journals();
        let kept = journals
            .kept
            .get_mut(&take_over.request)
            .ok_or(JournalRefusal::NotFound)?;
        let current = kept.record.epoch;
        let is_repeated = kept.record.owner == take_over.owner && take_over.epoch + 1 == current;
        if is_repeated {
            return Ok(kept.record.clone());
        }
        if take_over.epoch != current {
            return Err(JournalRefusal::StaleEpoch { current });
        }
        kept.record.epoch = current + 1;
        kept.record.owner = take_over.owner;
        kept.changed_at = now;
        Ok(kept.record.clone())
    }

    /// Drops a journal. Dropping one that is not there succeeds.
    ///
    /// # Errors
    ///
    /// [`JournalRefusal::StaleEpoch`] when another node has taken the request over.
    pub fn drop_journal(&self, drop: JournalDrop) -> JournalResult<()> {
        let mut journals = self.journals();
        let Some(kept) = journals.kept.get(&drop.request) else {
            return Ok(());
        };
        check_epoch(kept.record.epoch, drop.epoch)?;
        journals.remove(drop.request);
        Ok(())
    }

    /// Removes a journal and returns it, to hand it over to another holder.
    pub fn take(&self, request: RequestId) -> Option<JournalRecord> {
        self.journals().remove(request)
    }

    /// Returns the ids of all journals.
    pub fn requests(&self) -> Vec<RequestId> {
        self.journals().kept.keys().copied().collect()
    }

    /// Returns the ids of the unfinished journals of an owner.
    pub fn unfinished_of(&self, owner: &verbenahead_core::NodeId) -> Vec<RequestId> {
        let journals = self.journals();
        let is_wanted = |kept: &&Kept| kept.record.owner == *owner && !kept.record.is_finished;
        let wanted = journals.kept.values().filter(is_wanted);
        wanted.map(|kept| kept.record.request).collect()
    }

    /// Drops the journals that were not changed for too long. Returns how many.
    pub fn expire(&self, now: Instant) -> usize {
        self.journals().expire(&self.options, now)
    }

    /// Returns the number of journals.
    pub fn len(&self) -> usize {
        self.journals().kept.len()
    }

    /// Returns whether there are no journals.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes of all journals.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.journals().bytes as u64)
    }

    fn insert(
        &self,
        journals: &mut Journals,
        record: JournalRecord,
        now: Instant,
    ) -> JournalResult<()> {
        let bytes = record_bytes(&record);
        let request = record.request;
        let known = journals.kept.get(&request).map(|kept| kept.bytes);
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
        let kept = Kept {
            record,
            bytes,
            changed_at: now,
        };
        journals.kept.insert(request, kept);
        Ok(())
    }

    fn has_room(&self, journals: &Journals, bytes: usize, count: usize) -> bool {
        let size = (journals.bytes + bytes) as u64;
        size <= self.options.max_bytes.0 && journals.kept.len() + count <= self.options.max_journals
    }

    fn journals(&self) -> MutexGuard<'_, Journals> {
        self.journals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Journals {
    fn expire(&mut self, options: &JournalStoreOptions, now: Instant) -> usize {
        let is_expired = |kept: &&Kept| {
            let retention = if kept.record.is_finished {
                options.finished_retention
            } else {
                options.retention
            };
            now.saturating_duration_since(kept.changed_at) >= retention
        };
        let expired = self.kept.values().filter(is_expired);
        let expired: Vec<_> = expired.map(|kept| kept.record.request).collect();
        for request in &expired {
            self.remove(*request);
        }
        expired.len()
    }

    fn remove(&mut self, request: RequestId) -> Option<JournalRecord> {
        let kept = self.kept.remove(&request)?;
        self.bytes -= kept.bytes;
        Some(kept.record)
    }
}

fn check_epoch(current: u64, epoch: u64) -> JournalResult<()> {
    if epoch < current {
        return Err(JournalRefusal::StaleEpoch { current });
    }
    Ok(())
}

/// Returns the tokens of an append that the journal does not have yet.
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

fn record_bytes(record: &JournalRecord) -> usize {
    let tokens: usize = record.tokens.iter().map(|token| token_bytes(token)).sum();
    RECORD_OVERHEAD_BYTES + record.body.len() + tokens
}

fn token_bytes(token: &str) -> usize {
    TOKEN_OVERHEAD_BYTES + token.len()
}
