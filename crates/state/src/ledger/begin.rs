//! Start of an attempt, and the table operations of the ledger.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::{AttemptId, Digest};
use verbenahead_services::{Condition, Mutation, Row, Table, Version, Write};

use crate::{
    errors::Result,
    ledger::{
        abandoned::AbandonedAttempt,
        acquire::AcquireOutcome,
        attempt::{Attempt, AttemptInner, Claimed, Dispatched, NotRunProof, ReleaseOutcome},
        health::TableHealth,
        key::LedgerKey,
        options::LedgerOptions,
        record::{Claimant, LedgerRecord, RecordState, RowStatus},
        wire,
    },
    retry::{RetryOptions, WriteResult, read_with_retries, write_with_retries},
    time::UnixMillis,
};

/// `BeginRequest` names the call whose row an attempt asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeginRequest {
    /// Workspace and idempotency key.
    pub key: LedgerKey,
    /// Digest of the method, service, path and body.
    pub fingerprint: Digest,
    /// Id of this attempt. It must not have been used before.
    pub attempt: AttemptId,
    /// Node that makes the attempt.
    pub claimant: Claimant,
    /// Retention of the row according to the manifest.
    pub retention: Duration,
    /// Wall-clock time at which the caller's request reached this node.
    pub received_at: UnixMillis,
    /// Current wall-clock time.
    pub now: UnixMillis,
}

/// `BeginOutcome` is the result of [`Ledger::begin`].
#[must_use = "the row may be occupied, or the table unavailable"]
#[derive(Debug)]
pub enum BeginOutcome {
    /// The attempt holds the row and has sent nothing.
    Claimed(Attempt<Claimed>),
    /// Another attempt holds the row. The caller is answered from it.
    Occupied(RowStatus),
    /// The table did not respond in time. This attempt sent nothing and must send nothing.
    Unavailable(AbandonedAttempt),
}

/// `BeginDispatchedOutcome` is the result of [`Ledger::begin_dispatched`].
#[must_use = "only a dispatched attempt may be sent"]
#[derive(Debug)]
pub enum BeginDispatchedOutcome {
    /// The call may be sent, once.
    Dispatched(Attempt<Dispatched>),
    /// Another attempt holds the row. The caller is answered from it.
    Occupied(RowStatus),
    /// The table did not respond in time. This attempt sent nothing and must send nothing.
    Unavailable(AbandonedAttempt),
}

/// `Ledger` assigns the row of a call to one attempt at a time. Clones share the table.
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

    /// Returns whether the last operation on the table got no response.
    pub fn is_table_down(&self) -> bool {
        self.health.is_down()
    }

    /// Claims the row of a call for a new attempt.
    ///
    /// A claim of another attempt is taken over when `is_gone` returns true for its node or when
    /// the claim is older than the claim timeout. The other attempt is then fenced: none of its
    /// later writes takes effect.
    pub async fn begin(
        &self,
        req: BeginRequest,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> BeginOutcome {
        let inner = self.new_inner(&req);
        match self.acquire(&req, inner, is_gone).await {
            AcquireOutcome::Acquired(inner) => BeginOutcome::Claimed(Attempt::from_acquired(inner)),
            AcquireOutcome::Occupied(status) => BeginOutcome::Occupied(status),
            AcquireOutcome::Unavailable(inner) => {
                BeginOutcome::Unavailable(AbandonedAttempt::new(inner))
            }
        }
    }

    /// Claims the row of a call and marks it dispatched with one write, for a call whose upstream
    /// is already chosen and that can be sent at once.
    ///
    /// The rules are those of [`begin`](Self::begin). This saves a write, but if the node dies
    /// right after the write, the row can no longer be taken over.
    pub async fn begin_dispatched(
        &self,
        req: BeginRequest,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> BeginDispatchedOutcome {
        let mut inner = self.new_inner(&req);
        inner.record.state = RecordState::Dispatched;
        match self.acquire(&req, inner, is_gone).await {
            AcquireOutcome::Acquired(inner) => {
                BeginDispatchedOutcome::Dispatched(Attempt::from_acquired(inner))
            }
            AcquireOutcome::Occupied(status) => BeginDispatchedOutcome::Occupied(status),
            AcquireOutcome::Unavailable(inner) => {
                BeginDispatchedOutcome::Unavailable(AbandonedAttempt::new(inner))
            }
        }
    }

    /// Records that a call is refused before any attempt claims its row.
    ///
    /// This takes one write where [`begin`](Self::begin) and a release take two. It fences every
    /// attempt that read the row earlier.
    pub async fn refuse(
        &self,
        req: BeginRequest,
        is_gone: impl Fn(&Claimant) -> bool + Send,
    ) -> ReleaseOutcome {
        let mut inner = self.new_inner(&req);
        let valid_until = inner.mark_released();
        match self.acquire(&req, inner, is_gone).await {
            AcquireOutcome::Acquired(_) => ReleaseOutcome::NotRun(NotRunProof::new(valid_until)),
            AcquireOutcome::Occupied(status) => ReleaseOutcome::Occupied(status),
            AcquireOutcome::Unavailable(inner) => {
                ReleaseOutcome::Unavailable(AbandonedAttempt::new(inner))
            }
        }
    }

    /// Reads the row of a call without changing it.
    ///
    /// # Errors
    ///
    /// When the table does not respond in time or the row is malformed.
    pub async fn look_up(&self, key: &LedgerKey) -> Result<Option<LedgerRecord>> {
        let row = self.read(key).await?;
        row.map(|row| wire::decode(&row.value)).transpose()
    }

    fn new_inner(&self, req: &BeginRequest) -> Box<AttemptInner> {
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
        Box::new(AttemptInner {
            ledger: self.clone(),
            key: req.key.clone(),
            record,
            version: None,
            started: Instant::now(),
        })
    }

    /// Returns the status from which an attempt that does not hold the row answers its caller.
    pub(crate) fn row_status(&self, record: LedgerRecord, fingerprint: Digest) -> RowStatus {
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
        let result = write_with_retries(self.table.as_ref(), writes, self.retry_options()).await;
        self.record_health(!matches!(result, WriteResult::Unavailable { .. }));
        result
    }

    pub(crate) async fn read(&self, key: &LedgerKey) -> Result<Option<Row>> {
        let row =
            read_with_retries(self.table.as_ref(), &key.row_key(), self.retry_options()).await;
        self.record_health(row.is_ok());
        row
    }

    /// Returns the bounds of an operation. The deadline is shorter while the table is down.
    fn retry_options(&self) -> RetryOptions {
        let mut retry = self.options.retry;
        if self.health.is_down() {
            retry.deadline = retry.deadline.min(self.options.outage_deadline);
        }
        retry
    }

    fn record_health(&self, is_answered: bool) {
        self.health
            .record(is_answered, &self.table, self.options.retry);
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

    /// Writes a row that already has an entry in the expiry table.
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
