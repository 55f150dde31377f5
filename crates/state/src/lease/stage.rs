//! Stages of a lease on one node: `Candidate`, then `Held`, then `Candidate` again.

use std::time::Duration;

use tokio::time::Instant;
use verbenahead_core::{FencingNumber, ServiceId, invariant, time::suspended_time};
use verbenahead_services::{Row, StoreEra, Version};

use crate::{
    errors,
    lease::{
        LeaseStore,
        order_gate::{OrderGate, OrderRefusal},
        record::{LeaseRecord, decode},
    },
    ledger::Claimant,
    retry::WriteResult,
};

/// `Candidate` is the stage of a node that does not hold the lease and watches its row.
#[derive(Debug)]
pub struct Candidate {
    observed: Option<ObservedRow>,
}

/// Row as last read by a candidate, and the time at which this version was first read.
#[derive(Debug, Clone)]
struct ObservedRow {
    /// Version and record of the row. There is no record if it cannot be decoded.
    row: Option<(Version, Option<LeaseRecord>)>,
    since: Instant,
}

/// `Held` is the stage of a node that holds the lease.
#[derive(Debug)]
pub struct Held {
    record: LeaseRecord,
    version: Version,
    valid_until: Instant,
    first_order_at: Instant,
    /// Total time for which the machine had been suspended when the term began.
    suspended: Duration,
    /// Era of the table when the lease was acquired.
    era: Option<StoreEra>,
}

/// `Lease` is the lease of a service as one node sees it.
#[must_use = "a held lease is renewed or released"]
#[derive(Debug)]
pub struct Lease<Stage> {
    store: LeaseStore,
    service: ServiceId,
    claimant: Claimant,
    /// Number of writes attempted so far. It distinguishes a delayed write of an earlier attempt
    /// from the current one.
    writes: u64,
    stage: Stage,
}

/// `AcquireOutcome` is the result of [`Lease::try_acquire`].
#[must_use = "only a held lease allows orders"]
#[derive(Debug)]
pub enum AcquireOutcome {
    /// This node holds the lease.
    Held(Lease<Held>),
    /// This node does not hold the lease. The candidate can try again later.
    NotHeld(Lease<Candidate>),
}

/// `RenewOutcome` is the result of [`Lease::renew`].
#[must_use = "the lease may be lost"]
#[derive(Debug)]
pub enum RenewOutcome {
    /// The lease is valid for another term.
    Renewed(Lease<Held>),
    /// The renewal is not known to have taken effect. The term is not extended.
    NotExtended(Lease<Held>),
    /// The row no longer belongs to this node: another node has acquired the lease, or the row is
    /// released, removed or malformed.
    Lost(Lease<Candidate>),
}

impl<Stage> Lease<Stage> {
    /// Returns the service.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    fn with_stage<Next>(self, stage: Next) -> (Lease<Next>, Stage) {
        let next = Lease {
            store: self.store,
            service: self.service,
            claimant: self.claimant,
            writes: self.writes,
            stage,
        };
        (next, self.stage)
    }

    fn next_write(&mut self) -> u64 {
        self.writes += 1;
        self.writes
    }

    fn into_candidate(self) -> Lease<Candidate> {
        self.with_stage(Candidate { observed: None }).0
    }
}

impl Lease<Candidate> {
    pub(crate) fn candidate(store: LeaseStore, service: ServiceId, claimant: Claimant) -> Self {
        Self {
            store,
            service,
            claimant,
            writes: 0,
            stage: Candidate { observed: None },
        }
    }

    /// Reads the row and acquires the lease if it is free: when there is no row, when its holder
    /// released it, or when the row has not changed for a whole term since it was first read.
    ///
    /// A failed read does not restart the term: versions are never reused, so a row that is later
    /// read with the same version has not changed in between. After a restore of the table, all
    /// versions are new.
    pub async fn try_acquire(mut self) -> AcquireOutcome {
        let row = self.store.read(&self.service).await;
        // Taken before the check, so that a restore after it is noticed when the claim is written.
        let era = self.store.era();
        let observed = match row.and_then(|row| self.observe(row, Instant::now())) {
            Ok(observed) => observed,
            Err(err) => {
                tracing::warn!(service = %self.service, %err, "lease not read");
                return AcquireOutcome::NotHeld(self);
            }
        };
        // The answer to the read may be the first one after a restore.
        if !self.store.is_settled() || !self.is_free(&observed, Instant::now()) {
            return AcquireOutcome::NotHeld(self);
        }
        self.write_claim(observed, era).await
    }

    /// Records the row and when its version was first read. `now` is taken after the read, so that
    /// the term of the holder that wrote the row has ended one term after it.
    fn observe(&mut self, row: Option<Row>, now: Instant) -> errors::Result<ObservedRow> {
        let row = match row {
            Some(row) => Some((row.version, self.decode(&row)?)),
            None => None,
        };
        let version = |row: &Option<(Version, _)>| row.as_ref().map(|row| row.0);
        let since = match &self.stage.observed {
            Some(observed) if version(&observed.row) == version(&row) => observed.since,
            _ => now,
        };
        let observed = ObservedRow { row, since };
        self.stage.observed = Some(observed.clone());
        Ok(observed)
    }

    /// Decodes a row. Returns `None` for one that cannot be decoded, if the fencing number of the next holder does
    /// not depend on it. Its holder, if it has one, loses the lease with its next renewal.
    fn decode(&self, row: &Row) -> errors::Result<Option<LeaseRecord>> {
        match decode(&row.value) {
            Ok(record) => Ok(Some(record)),
            Err(error) if self.store.knows_fencing() => {
                tracing::warn!(service = %self.service, version = row.version.0, %error, "lease cannot be decoded");
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    fn is_free(&self, observed: &ObservedRow, now: Instant) -> bool {
        match &observed.row {
            None => true,
            Some((_, Some(record))) if record.is_released => true,
            Some(_) => now.saturating_duration_since(observed.since) >= self.store.options.term,
        }
    }

    /// Writes the claim. `era` is the era of the table in which the lease was found to be free. A
    /// claim that is answered after another one does not hold the lease, since it may have replaced nothing
    /// where the row of a present holder was lost.
    async fn write_claim(mut self, observed: ObservedRow, era: Option<StoreEra>) -> AcquireOutcome {
        let previous = observed
            .row
            .as_ref()
            .and_then(|(_, record)| record.as_ref());
        let previous = previous.map(|record| record.fencing);

        let suspended = suspended_time();
        let record = LeaseRecord {
            holder: self.claimant.clone(),
            fencing: self.store.next_fencing(previous.unwrap_or_default()),
            write_number: self.next_write(),
            is_released: false,
        };
        let version = observed.row.as_ref().map(|(version, _)| *version);
        let sent_at = Instant::now();
        let written = self.store.write(&self.service, &record, version).await;
        let Some(version) = written_version(written, &record) else {
            return AcquireOutcome::NotHeld(self);
        };
        if self.store.era() != era {
            tracing::warn!(service = %self.service, "table restored during the claim of a lease");
            return AcquireOutcome::NotHeld(self);
        }
        let options = *self.store.options();
        let may_have_predecessor = observed.row.is_some() || self.store.may_lack_claims();
        let first_order_at = match may_have_predecessor {
            true => sent_at + options.first_order_wait(),
            false => sent_at,
        };
        let held = Held {
            record,
            version,
            valid_until: sent_at + options.term.saturating_sub(options.margin),
            first_order_at,
            suspended,
            era,
        };
        AcquireOutcome::Held(self.with_stage(held).0)
    }
}

impl Lease<Held> {
    /// Returns the fencing number to send with each order.
    pub fn fencing(&self) -> FencingNumber {
        self.stage.record.fencing
    }

    /// Returns the end of the term on the monotonic clock of this node.
    pub fn valid_until(&self) -> Instant {
        self.stage.valid_until
    }

    /// Returns whether the term has not ended.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.stage.valid_until
    }

    /// Returns the gate that issues permits for orders.
    pub fn gate(&self) -> OrderGate {
        OrderGate {
            fencing: self.fencing(),
            valid_until: self.stage.valid_until,
            first_order_at: self.stage.first_order_at,
            order_timeout: self.store.options().order_timeout,
            suspended: self.stage.suspended,
            era: self.stage.era,
        }
    }

    /// Renews the lease. The new term starts before the write is sent, and only applies when the
    /// write is known to have taken effect.
    ///
    /// A restore of the table ends the lease. Another node may have taken it after the copy was made, so a row
    /// with the record of this holder does not show that it is still the latest.
    pub async fn renew(mut self) -> RenewOutcome {
        if let Err(reason) = self.check() {
            return self.lost(reason);
        }
        let mut record = self.stage.record.clone();
        record.write_number = self.next_write();
        let sent_at = Instant::now();
        let suspended = suspended_time();
        let version = Some(self.stage.version);
        let written = self.store.write(&self.service, &record, version).await;
        // The answer to the write may be the first one after a restore.
        if let Err(reason) = self.check() {
            return self.lost(reason);
        }
        let refusal = match written {
            WriteResult::Done(versions) => {
                return self.renewed(record, versions[0], sent_at, suspended);
            }
            WriteResult::Unavailable { .. } => return RenewOutcome::NotExtended(self),
            WriteResult::Refused(refusal) => refusal,
        };
        let actual = decode_row(refusal.actual);
        self.log_refusal(actual.as_ref().map(|(_, record)| record));
        let Some((version, actual)) = actual else {
            return RenewOutcome::Lost(self.into_candidate());
        };
        if actual == record {
            return self.renewed(record, version, sent_at, suspended);
        }
        if self.is_later_own_record(&actual) {
            // An earlier renewal of unknown outcome took effect late. The next renewal uses its
            // version.
            self.stage.record = actual;
            self.stage.version = version;
            return RenewOutcome::NotExtended(self);
        }
        RenewOutcome::Lost(self.into_candidate())
    }

    /// Releases the lease, so that another node need not wait for the end of its term.
    ///
    /// All orders of the caller must have ended. After a restore of the table the row is left as it is. When the outcome is still unknown after the
    /// retries, the release is given up, since the term expires anyway.
    pub async fn release(mut self) -> Lease<Candidate> {
        if let Err(reason) = self.check() {
            tracing::warn!(service = %self.service, %reason, "lease not released");
            return self.into_candidate();
        }
        let mut record = self.stage.record.clone();
        record.write_number = self.next_write();
        record.is_released = true;
        let version = Some(self.stage.version);
        if let WriteResult::Unavailable { reason, .. } =
            self.store.write(&self.service, &record, version).await
        {
            tracing::warn!(service = %self.service, reason, "lease not released");
        }
        self.into_candidate()
    }

    fn renewed(
        mut self,
        record: LeaseRecord,
        version: Version,
        sent_at: Instant,
        suspended: Duration,
    ) -> RenewOutcome {
        invariant!(
            "fencing_number_of_a_holder_stays",
            record.fencing == self.fencing(),
            "lease of {} has fencing numbers {} and {}",
            self.service,
            self.fencing(),
            record.fencing
        );
        let options = *self.store.options();
        self.stage.record = record;
        self.stage.version = version;
        self.stage.valid_until = sent_at + options.term.saturating_sub(options.margin);
        self.stage.suspended = suspended;
        RenewOutcome::Renewed(self)
    }

    /// Checks that the lease has not ended by something else than its row.
    fn check(&self) -> Result<(), OrderRefusal> {
        self.store.check(&self.gate())
    }

    fn lost(self, reason: OrderRefusal) -> RenewOutcome {
        tracing::warn!(
            service = %self.service,
            fencing = self.fencing().0,
            %reason,
            "lease not renewed",
        );
        RenewOutcome::Lost(self.into_candidate())
    }

    /// Logs a refused renewal with the record that the row has.
    fn log_refusal(&self, actual: Option<&LeaseRecord>) {
        let held = &self.stage.record;
        let now = Instant::now();
        tracing::warn!(
            service = %self.service,
            fencing = held.fencing.0,
            write_number = held.write_number,
            is_valid = self.is_valid(now),
            expired_ms = now.saturating_duration_since(self.stage.valid_until).as_millis() as u64,
            row_holder = actual.map(|record| record.holder.node.as_str()),
            row_fencing = actual.map(|record| record.fencing.0),
            row_write_number = actual.map(|record| record.write_number),
            "renewal of the lease refused",
        );
    }

    /// Returns whether `actual` was written by this holder after the last write that is known to have taken
    /// effect.
    fn is_later_own_record(&self, actual: &LeaseRecord) -> bool {
        let held = &self.stage.record;
        let is_same_holder = actual.holder == self.claimant && actual.fencing == held.fencing;
        is_same_holder && !actual.is_released && actual.write_number > held.write_number
    }
}

fn decode_row(row: Option<Row>) -> Option<(Version, LeaseRecord)> {
    let row = row?;
    let record = decode(&row.value).ok()?;
    Some((row.version, record))
}

/// Returns the version of the row if the write is known to have taken effect.
fn written_version(written: WriteResult, record: &LeaseRecord) -> Option<Version> {
    match written {
        WriteResult::Done(versions) => Some(versions[0]),
        WriteResult::Refused(refusal) => decode_row(refusal.actual)
            .filter(|(_, actual)| actual == record)
            .map(|(version, _)| version),
        WriteResult::Unavailable { .. } => None,
    }
}
