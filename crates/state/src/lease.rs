//! Leases with fencing numbers.
//!
//! Each service has one row. A candidate acquires the lease only after it has seen the row
//! unchanged for a whole term on its own monotonic clock, so that clocks of different machines are
//! never compared. The holder counts its term from before its write is sent and ends it early by a
//! margin.

pub mod epoch;
pub mod keeper;
pub mod order_gate;
pub mod record;
pub mod restore_guard;
pub mod stage;
pub mod start_journal;

use std::{fmt, sync::Arc, time::Duration};

use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_services::{Row, StoreEra, Table, Version};

use crate::{
    errors::Result,
    lease::record::{lease_key, put},
    ledger::Claimant,
    retry::{RetryOptions, WriteResult, read_with_retries, write_with_retries},
};

pub use epoch::LeaseEpoch;
pub use keeper::LeaseKeeper;
pub use order_gate::{OrderFailure, OrderGate, OrderPermit, OrderRefusal};
pub use record::{LEASE_TABLE, LeaseRecord};
pub use restore_guard::RestoreGuard;
pub use stage::{AcquireOutcome, Candidate, Held, Lease, RenewOutcome};
pub use start_journal::StartJournal;

/// `LeaseOptions` sets the timing of leases. All nodes of a deployment use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseOptions {
    /// Time for which a lease is valid after a write.
    pub term: Duration,
    /// Time by which the holder ends its term early. It covers clock drift and the time between
    /// the check of the lease and the send of an order.
    pub margin: Duration,
    /// Timeout of one order.
    pub order_timeout: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Time that a new holder waits before its first order to receivers that ignore fencing
    /// numbers. `None` stands for the sum of `term`, `margin` and `order_timeout`, which covers a
    /// previous holder that was paused between its check and its send.
    pub takeover_wait: Option<Duration>,
    /// Retries of one operation on the table.
    pub retry: RetryOptions,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(12),
            margin: Duration::from_secs(1),
            order_timeout: Duration::from_secs(3),
            renew_interval: Duration::from_secs(3),
            takeover_wait: None,
            retry: RetryOptions::default(),
        }
    }
}

impl LeaseOptions {
    /// Returns how long a new holder waits before its first order to engines that ignore fencing
    /// numbers, so that every order of the previous holder has ended.
    pub fn first_order_wait(&self) -> Duration {
        let default_wait = self.term + self.margin + self.order_timeout;
        self.takeover_wait.unwrap_or(default_wait)
    }
}

/// `LeaseStore` reads and writes the rows of leases. Clones share the table.
#[derive(Clone)]
pub struct LeaseStore {
    table: Arc<dyn Table>,
    options: LeaseOptions,
    restore_guard: Option<RestoreGuard>,
}

impl fmt::Debug for LeaseStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeaseStore")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl LeaseStore {
    /// Builds a store on top of a table.
    pub fn new(table: Arc<dyn Table>, options: LeaseOptions) -> Self {
        Self {
            table,
            options,
            restore_guard: None,
        }
    }

    /// Returns the store of leases on a table that may come back from an older copy.
    #[must_use]
    pub fn with_restore_guard(self, guard: RestoreGuard) -> Self {
        Self {
            restore_guard: Some(guard),
            ..self
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &LeaseOptions {
        &self.options
    }

    /// Builds a candidate for the lease of a service. It does not access the table.
    pub fn candidate(&self, service: ServiceId, claimant: Claimant) -> Lease<Candidate> {
        Lease::candidate(self.clone(), service, claimant)
    }

    /// Reads the lease of a service, or `None` if there is no row. Used by status pages.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time or the row is malformed.
    pub async fn look_up(&self, service: &ServiceId) -> Result<Option<LeaseRecord>> {
        let row = self.read(service).await?;
        row.map(|row| record::decode(&row.value)).transpose()
    }

    /// Returns whether the terms of all holders have ended whose claims the table may have lost.
    fn is_settled(&self) -> bool {
        let guard = self.restore_guard.as_ref();
        guard.is_none_or(|guard| guard.is_settled(self.options.term))
    }

    /// Returns whether the fencing numbers in use are known from elsewhere than the row.
    fn knows_fencing(&self) -> bool {
        self.restore_guard.is_some()
    }

    /// Returns the present era of the table, if it states eras.
    fn era(&self) -> Option<StoreEra> {
        self.restore_guard.as_ref().and_then(RestoreGuard::era)
    }

    /// Returns whether the table may have lost the claim of a holder.
    fn may_lack_claims(&self) -> bool {
        let guard = self.restore_guard.as_ref();
        guard.is_some_and(RestoreGuard::may_lack_claims)
    }

    /// Checks that what `gate` states of the lease still applies.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::TableRestored`] when the table came back from a copy since the term began,
    /// [`OrderRefusal::Superseded`] when a later holder is known.
    pub(crate) fn check(&self, gate: &OrderGate) -> std::result::Result<(), OrderRefusal> {
        if gate.era != self.era() {
            return Err(OrderRefusal::TableRestored);
        }
        let guard = self.restore_guard.as_ref();
        match guard.is_some_and(|guard| guard.is_superseded(gate.fencing)) {
            true => Err(OrderRefusal::Superseded),
            false => Ok(()),
        }
    }

    /// Returns the fencing number of a holder that follows the one with the number `previous`.
    fn next_fencing(&self, previous: FencingNumber) -> FencingNumber {
        match &self.restore_guard {
            Some(guard) => guard.next_fencing(previous),
            None => previous.next(),
        }
    }

    async fn read(&self, service: &ServiceId) -> Result<Option<Row>> {
        let key = lease_key(service);
        read_with_retries(self.table.as_ref(), &key, self.options.retry).await
    }

    async fn write(
        &self,
        service: &ServiceId,
        record: &LeaseRecord,
        version: Option<Version>,
    ) -> WriteResult {
        let writes = vec![put(service, record, version)];
        write_with_retries(self.table.as_ref(), writes, self.options.retry).await
    }
}
