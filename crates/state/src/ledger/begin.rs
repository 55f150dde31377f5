//! Entry of an attempt into the ledger.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::{AttemptId, Digest};
use verbenahead_services::{Condition, Mutation, Row, Table, Version, Write};

use crate::{
    errors::Result,
    ledger::{
        abandoned::Abandoned,
        acquire::Acquired,
        attempt::{Attempt, Claimed, Dispatched, Held, NotRunProof, ReleaseOutcome},
        health::TableHealth,
        key::LedgerKey,
        options::LedgerOptions,
        record::{Claimant, LedgerRecord, RecordState, RowStatus},
        wire,
    },
    retry::{RetryOptions, WriteResult, read_with_retries, write_with_retries},
    time::UnixMillis,
};

/// `BeginRequest` asks for the row of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeginRequest {
    /// Workspace and idempotency key.
    pub key: LedgerKey,
    /// Digest of the method, service, path and body.
    pub fingerprint: Digest,
    /// Id of this attempt. It must be fresh.
    pub attempt: AttemptId,
    /// This node.
    pub claimant: Claimant,
    /// Time for which the manifest keeps the row.
    pub retention: Duration,
    /// Wall-clock time at which the caller's request reached this node.
    pub received_at: UnixMillis,
    /// Wall-clock time of this call.
    pub now: UnixMillis,
}

/// `BeginOutcome` is the answer to [`Ledger::begin`].
#[must_use = "the row may be occupied, or the table unavailable"]
#[derive(Debug)]
pub enum BeginOutcome {
    /// The row is ours and nothing has been sent.
    Claimed(Attempt<Claimed>),
    /// The row is not ours. The caller is answered from it.
    Occupied(RowStatus),
    /// The table gave no answer in time. Nothing was and nothing will be sent by this attempt.
    Unavailable(Abandoned),
}

/// `BeginDispatchedOutcome` is the answer to [`Ledger::begin_dispatched`].
#[must_use = "only a dispatched attempt may be sent"]
#[derive(Debug)]
pub enum BeginDispatchedOutcome {
    /// The call may be sent, once.
    Dispatched(Attempt<Dispatched>),
    /// The row is not ours. The caller is answered from it.
    Occupied(RowStatus),
    /// The table gave no answer in time. Nothing was and nothing will be sent by this attempt.
    Unavailable(Abandoned),
}

/// `Ledger` gives attempts their rows. Clones share the table.
#[derive(Clone)]
pub struct Ledger {
    table: Arc<dyn Table>,
    options: LedgerOptions,
    health: Arc<TableHealth>,
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl Ledger {
    /// Builds a ledger over a table.
    pub fn new(table: Arc<dyn Table>, options: LedgerOptions) -> Self {
        Self {
            table,
            options,
            health: Arc::default(),
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &LedgerOptions {
        &self.options
    }

    /// Returns whether the table did not answer when it was last asked.
    pub fn is_table_down(&self) -> bool {
        self.health.is_down()
    }

    /// Claims the row of a call for a new attempt.
    ///
    /// A claim of another attempt is taken over when `is_gone` says that its node no longer lives
    /// or when it is older than the claim limit. The other attempt is then fenced out: none of
    /// its writes takes effect any more.
    pub async fn begin(
        &self,
        req: BeginRequest,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> BeginOutcome {
        let held = self.new_held(&req);
        match self.acquire(&req, held, is_gone).await {
            Acquired::Held(held) => BeginOutcome::Claimed(Attempt::entered(held)),
            Acquired::Occupied(reading) => BeginOutcome::Occupied(reading),
            Acquired::Unavailable(held) => BeginOutcome::Unavailable(Abandoned::new(held)),
        }
    }

    /// Claims the row of a call and dispatches it with one write, for a call whose upstream is
    /// chosen already and that waits for nothing.
    ///
    /// The rules are those of [`begin`](Self::begin). This saves a write; in return, the row of a
    /// node that dies right after the write can no longer be taken over.
    pub async fn begin_dispatched(
        &self,
        req: BeginRequest,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> BeginDispatchedOutcome {
        let mut held = self.new_held(&req);
        held.record.state = RecordState::Dispatched;
        match self.acquire(&req, held, is_gone).await {
            Acquired::Held(held) => BeginDispatchedOutcome::Dispatched(Attempt::entered(held)),
            Acquired::Occupied(reading) => BeginDispatchedOutcome::Occupied(reading),
            Acquired::Unavailable(held) => {
                BeginDispatchedOutcome::Unavailable(Abandoned::new(held))
            }
        }
    }

    /// Records that a call is refused before any attempt claims its row.
    ///
    /// This costs one write where [`begin`](Self::begin) and a release cost two. It fences out
    /// every attempt that read the row earlier.
    pub async fn refuse(
        &self,
        req: BeginRequest,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> ReleaseOutcome {
        let mut held = self.new_held(&req);
        let valid_until = held.mark_released();
        match self.acquire(&req, held, is_gone).await {
            Acquired::Held(_) => ReleaseOutcome::NotRun(NotRunProof::new(valid_until)),
            Acquired::Occupied(reading) => ReleaseOutcome::Occupied(reading),
            Acquired::Unavailable(held) => ReleaseOutcome::Unavailable(Abandoned::new(held)),
        }
    }

    /// Reads the row of a call without changing it.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time or the row is malformed.
    pub async fn look_up(&self, key: &LedgerKey) -> Result<Option<LedgerRecord>> {
        let row = self.read(key).await?;
        row.map(|row| wire::decode(&row.value)).transpose()
    }

    fn new_held(&self, req: &BeginRequest) -> Box<Held> {
        let retention = req.retention.max(self.options.min_retention);
        let record = LedgerRecord {
            fingerprint: req.fingerprint,
            attempt: req.attempt,
            claimant: req.claimant.clone(),
            began_at: req.now,
            claimable_from: UnixMillis::default(),
            expires_at: req.now.saturating_add(retention),
            state: RecordState::Claimed,
        };
        Box::new(Held {
            ledger: self.clone(),
            key: req.key.clone(),
            record,
            version: None,
            began: Instant::now(),
        })
    }

    /// Returns what an attempt that does not hold the row may answer from it.
    pub(crate) fn reading(&self, record: LedgerRecord, fingerprint: Digest) -> RowStatus {
        if record.fingerprint != fingerprint {
            let has_run = matches!(record.state, RecordState::Answered(_));
            return RowStatus::KeyReused { has_run };
        }
        match record.state {
            RecordState::Answered(answer) => RowStatus::Answered(answer),
            RecordState::Dispatched => RowStatus::OutcomeUnknown {
                attempt: record.attempt,
                claimant: record.claimant,
            },
            RecordState::Claimed | RecordState::Released => self.in_progress(),
        }
    }

    pub(crate) fn in_progress(&self) -> RowStatus {
        RowStatus::InProgress {
            retry_after: self.options.retry_after,
        }
    }

    pub(crate) fn table(&self) -> &dyn Table {
        self.table.as_ref()
    }

    pub(crate) async fn write(&self, writes: Vec<Write>) -> WriteResult {
        let written = write_with_retries(self.table.as_ref(), writes, self.retry()).await;
        self.note(!matches!(written, WriteResult::Unavailable { .. }));
        written
    }

    pub(crate) async fn read(&self, key: &LedgerKey) -> Result<Option<Row>> {
        let row = read_with_retries(self.table.as_ref(), &key.row_key(), self.retry()).await;
        self.note(row.is_ok());
        row
    }

    /// Returns the bounds of an operation, which are tighter while the table does not answer.
    fn retry(&self) -> RetryOptions {
        let mut retry = self.options.retry;
        if self.health.is_down() {
            retry.deadline = retry.deadline.min(self.options.outage_deadline);
        }
        retry
    }

    fn note(&self, is_answered: bool) {
        self.health
            .note(is_answered, &self.table, self.options.retry);
    }

    /// Writes a row together with its entry in the expiry table.
    pub(crate) async fn put_entry(
        &self,
        key: &LedgerKey,
        record: &LedgerRecord,
        condition: Condition,
    ) -> WriteResult {
        let expiry = Write {
            key: key.expiry_key(record.expires_at),
            condition: Condition::Always,
            mutation: Mutation::Put(Bytes::new()),
        };
        self.write(vec![put(key, record, condition), expiry]).await
    }

    /// Writes a row whose entry in the expiry table stands already.
    pub(crate) async fn put_row(
        &self,
        key: &LedgerKey,
        record: &LedgerRecord,
        version: Version,
    ) -> WriteResult {
        let condition = Condition::VersionIs(version);
        self.write(vec![put(key, record, condition)]).await
    }
}

fn put(key: &LedgerKey, record: &LedgerRecord, condition: Condition) -> Write {
    Write {
        key: key.row_key(),
        condition,
        mutation: Mutation::Put(wire::encode(record.clone())),
    }
}
