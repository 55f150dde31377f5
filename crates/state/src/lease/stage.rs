//! Life cycle of a lease on one node: `Candidate`, then `Held`, then `Candidate` again.

use std::time::Duration;

use tokio::time::Instant;
use verbenahead_core::{FencingNumber, ServiceId, invariant, time::suspended};
use verbenahead_services::{Row, Version};

use crate::{
    conditional::Written,
    errors::Result,
    lease::{
        LeaseStore,
        order_gate::OrderGate,
        record::{LeaseRecord, decode},
    },
    ledger::Claimant,
};

/// `Candidate` is the stage of a node that watches the lease of another.
#[derive(Debug)]
pub struct Candidate {
    seen: Option<Seen>,
}

/// The row as a candidate saw it, and since when.
#[derive(Debug, Clone)]
struct Seen {
    row: Option<(Version, LeaseRecord)>,
    since: Instant,
}

/// `Held` is the stage of a node that holds the lease.
#[derive(Debug)]
pub struct Held {
    record: LeaseRecord,
    version: Version,
    valid_until: Instant,
    first_order_at: Instant,
    /// Suspension of the machine when the term began.
    suspended: Duration,
}

/// `Lease` is the lease of a service as one node sees it.
#[must_use = "a held lease is renewed or released"]
#[derive(Debug)]
pub struct Lease<Stage> {
    store: LeaseStore,
    service: ServiceId,
    claimant: Claimant,
    /// Writes tried so far. A late write of an earlier try is thus told from the present one.
    writes: u64,
    stage: Stage,
}

/// `AcquireOutcome` is the answer to [`Lease::try_acquire`].
#[must_use = "only a held lease allows orders"]
#[derive(Debug)]
pub enum AcquireOutcome {
    /// The lease is held.
    Held(Lease<Held>),
    /// The lease is not held. The candidate tries again later.
    NotHeld(Lease<Candidate>),
}

/// `RenewOutcome` is the answer to [`Lease::renew`].
#[must_use = "the lease may be lost"]
#[derive(Debug)]
pub enum RenewOutcome {
    /// The lease holds for another term.
    Renewed(Lease<Held>),
    /// The table gave no answer in time. The term is not extended.
    NotExtended(Lease<Held>),
    /// Another node has taken the lease.
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
        self.with_stage(Candidate { seen: None }).0
    }
}

impl Lease<Candidate> {
    pub(crate) fn candidate(store: LeaseStore, service: ServiceId, claimant: Claimant) -> Self {
        Self {
            store,
            service,
            claimant,
            writes: 0,
            stage: Candidate { seen: None },
        }
    }

    /// Reads the row and takes the lease when it is free: when there is no row, when its holder
    /// released it, or when it has stayed unchanged for a whole term since it was first read.
    ///
    /// A row that cannot be read changes nothing: a version never comes back, so a row that is
    /// read with the same version later has not changed in between.
    pub async fn try_acquire(mut self) -> AcquireOutcome {
        let row = self.store.read(&self.service).await;
        let seen = match row.and_then(|row| self.see(row, Instant::now())) {
            Ok(seen) => seen,
            Err(err) => {
                tracing::warn!(service = %self.service, %err, "lease not read");
                return AcquireOutcome::NotHeld(self);
            }
        };
        if !self.is_free(&seen, Instant::now()) {
            return AcquireOutcome::NotHeld(self);
        }
        self.take(seen).await
    }

    /// Notes the row. The time of the note is after the reading, so that the term of a holder
    /// that wrote the row before has ended a term later.
    fn see(&mut self, row: Option<Row>, now: Instant) -> Result<Seen> {
        let row = match row {
            Some(row) => Some((row.version, decode(&row.value)?)),
            None => None,
        };
        let version = |row: &Option<(Version, LeaseRecord)>| row.as_ref().map(|row| row.0);
        let since = match &self.stage.seen {
            Some(seen) if version(&seen.row) == version(&row) => seen.since,
            _ => now,
        };
        let seen = Seen { row, since };
        self.stage.seen = Some(seen.clone());
        Ok(seen)
    }

    fn is_free(&self, seen: &Seen, now: Instant) -> bool {
        match &seen.row {
            None => true,
            Some((_, record)) if record.is_released => true,
            Some(_) => now.saturating_duration_since(seen.since) >= self.store.options.term,
        }
    }

    async fn take(mut self, seen: Seen) -> AcquireOutcome {
        let before = seen.row.as_ref().map(|(_, record)| record.fencing);

        let suspended = suspended();
        let record = LeaseRecord {
            holder: self.claimant.clone(),
            fencing: before.unwrap_or_default().next(),
            write_number: self.next_write(),
            is_released: false,
        };
        let version = seen.row.as_ref().map(|(version, _)| *version);
        let sent_at = Instant::now();
        let written = self.store.write(&self.service, &record, version).await;
        let Some(version) = version_written(written, &record) else {
            return AcquireOutcome::NotHeld(self);
        };
        let options = *self.store.options();
        let first_order_at = match before {
            Some(_) => sent_at + options.first_order_wait(),
            None => sent_at,
        };
        let held = Held {
            record,
            version,
            valid_until: sent_at + options.term.saturating_sub(options.margin),
            first_order_at,
            suspended,
        };
        AcquireOutcome::Held(self.with_stage(held).0)
    }
}

impl Lease<Held> {
    /// Returns the fencing number, to be sent with each order.
    pub fn fencing(&self) -> FencingNumber {
        self.stage.record.fencing
    }

    /// Returns when the term ends on the monotonic clock of this node.
    pub fn valid_until(&self) -> Instant {
        self.stage.valid_until
    }

    /// Returns whether the term has not ended.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.stage.valid_until
    }

    /// Returns what permits for orders rest on.
    pub fn gate(&self) -> OrderGate {
        OrderGate {
            fencing: self.fencing(),
            valid_until: self.stage.valid_until,
            first_order_at: self.stage.first_order_at,
            order_timeout: self.store.options().order_timeout,
            suspended: self.stage.suspended,
        }
    }

    /// Renews the lease. The new term counts from before the write was sent, and only when the
    /// write is known to have taken effect.
    pub async fn renew(mut self) -> RenewOutcome {
        let mut record = self.stage.record.clone();
        record.write_number = self.next_write();
        let sent_at = Instant::now();
        let suspended = suspended();
        let version = Some(self.stage.version);
        let written = self.store.write(&self.service, &record, version).await;
        let refusal = match written {
            Written::Done(versions) => {
                return self.renewed(record, versions[0], sent_at, suspended);
            }
            Written::Unavailable { .. } => return RenewOutcome::NotExtended(self),
            Written::Refused(refusal) => refusal,
        };
        let Some((version, actual)) = read_row(refusal.actual) else {
            return RenewOutcome::Lost(self.into_candidate());
        };
        if actual == record {
            return self.renewed(record, version, sent_at, suspended);
        }
        if self.is_own(&actual) {
            // An earlier renewal whose outcome was unknown has arrived late. The next one builds
            // on it.
            self.stage.record = actual;
            self.stage.version = version;
            return RenewOutcome::NotExtended(self);
        }
        RenewOutcome::Lost(self.into_candidate())
    }

    /// Gives the lease up, so that another node need not wait for its term to end.
    ///
    /// The caller has let all its orders end. An unknown outcome needs nothing more: the term
    /// ends by itself.
    pub async fn release(mut self) -> Lease<Candidate> {
        let mut record = self.stage.record.clone();
        record.write_number = self.next_write();
        record.is_released = true;
        let version = Some(self.stage.version);
        if let Written::Unavailable { reason, .. } =
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

    fn is_own(&self, actual: &LeaseRecord) -> bool {
        let is_same_holder = actual.holder == self.claimant && actual.fencing == self.fencing();
        is_same_holder && !actual.is_released
    }
}

fn read_row(row: Option<Row>) -> Option<(Version, LeaseRecord)> {
    let row = row?;
    let record = decode(&row.value).ok()?;
    Some((row.version, record))
}

/// Returns the version of the row when the write is known to have taken effect.
fn version_written(written: Written, record: &LeaseRecord) -> Option<Version> {
    match written {
        Written::Done(versions) => Some(versions[0]),
        Written::Refused(refusal) => read_row(refusal.actual)
            .filter(|(_, actual)| actual == record)
            .map(|(version, _)| version),
        Written::Unavailable { .. } => None,
    }
}
