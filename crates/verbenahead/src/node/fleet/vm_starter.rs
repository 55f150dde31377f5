//! Starts the VMs of one service.

use std::sync::Arc;

use rand::Rng;
use tokio::time::Instant;
use verbenahead_core::{HashMap, ServiceId, VmId};
use verbenahead_manifest::EngineFencing;
use verbenahead_policy::{OfferKey, StartBackoff};
use verbenahead_relay::clock::policy_now;
use verbenahead_services::{Cloud, StartOutcome, StartVm, Table, VmRecord};
use verbenahead_state::{
    Error, Result,
    lease::{LeaseEpoch, StartJournal},
};

use crate::node::fleet::{
    options::FleetControllerOptions,
    round_plan::{platform_market, start_offer_key},
};

/// `StartStatus` is the known status of a start in the journal.
#[derive(Debug, Clone)]
struct StartStatus {
    /// The VM, once the platform has answered.
    vm: Option<VmId>,
    /// Time at which the start was recorded, or at which `vm` became known.
    since: Instant,
    /// Time of the last request whose outcome is unknown.
    unknown_at: Option<Instant>,
}

/// `VmStarter` requests VMs from the platform, in one epoch of the lease. Each start is journaled under a client token before it
/// is requested, so that a request whose answer was lost is repeated without starting a second VM.
pub struct VmStarter {
    service: ServiceId,
    table: Arc<dyn Table>,
    cloud: Arc<dyn Cloud>,
    options: FleetControllerOptions,
    journal: Option<StartJournal>,
    statuses: HashMap<String, StartStatus>,
    backoff: StartBackoff,
}

impl VmStarter {
    /// Creates a starter for a service.
    pub fn new(
        service: ServiceId,
        table: Arc<dyn Table>,
        cloud: Arc<dyn Cloud>,
        options: FleetControllerOptions,
    ) -> Self {
        Self {
            service,
            table,
            cloud,
            options,
            journal: None,
            statuses: HashMap::default(),
            backoff: StartBackoff::default(),
        }
    }

    /// Opens the journal under the lease, unless it is open already.
    ///
    /// The list of VMs must be read afterwards: it then contains the VMs of the starts that an
    /// earlier holder removed from the journal.
    ///
    /// # Errors
    ///
    /// The errors of [`StartJournal::open`], and [`Error::Unavailable`] when the lease does not permit it.
    pub async fn open(&mut self, lease: &LeaseEpoch) -> Result<()> {
        if self.journal.is_some() {
            return Ok(());
        }
        let permit = lease
            .permit(EngineFencing::Checked)
            .map_err(Error::unavailable)?;
        let table = Arc::clone(&self.table);
        let service = self.service.clone();
        let retry = self.options.journal;
        let opened = permit.send(|fencing| StartJournal::open(table, service, fencing, retry));
        let journal = opened.await.map_err(Error::unavailable)??;
        self.record_found(journal.pending());
        self.journal = Some(journal);
        Ok(())
    }

    /// Records the starts found in the journal. Their outcome is unknown: a request of an earlier
    /// holder may still take effect.
    fn record_found(&mut self, pending: &[StartVm]) {
        let now = Instant::now();
        for start in pending {
            let found = StartStatus {
                vm: None,
                since: now,
                unknown_at: Some(now),
            };
            let token = start.client_token.clone();
            self.statuses.entry(token).or_insert(found);
        }
    }

    /// Returns the starts whose VMs are not listed yet, or `None` when the journal is not open.
    pub fn pending(&self) -> Option<&[StartVm]> {
        self.journal.as_ref().map(StartJournal::pending)
    }

    /// Returns whether an offer was refused recently and is still in its backoff.
    pub fn is_refused(&self, key: &OfferKey) -> bool {
        self.backoff.is_refused(key, policy_now())
    }

    /// Removes starts whose VMs are listed from the journal, and repeats the requests of starts that
    /// have no known VM.
    ///
    /// # Errors
    ///
    /// When the journal cannot be written. A later round opens it again.
    pub async fn reconcile(&mut self, lease: &LeaseEpoch, listed: &[VmRecord]) -> Result<()> {
        let pending = self.pending().unwrap_or_default().to_vec();
        for start in pending {
            match self.statuses.get(&start.client_token) {
                Some(status) if self.is_complete(status, listed) => {
                    self.remove(&start.client_token).await?;
                }
                Some(status) if status.vm.is_some() => {}
                _ => self.request(lease, &start).await?,
            }
        }
        Ok(())
    }

    fn is_complete(&self, status: &StartStatus, listed: &[VmRecord]) -> bool {
        let Some(vm) = &status.vm else {
            return false;
        };
        let is_listed = listed.iter().any(|record| record.vm == *vm);
        is_listed || status.since.elapsed() >= self.options.listing_timeout
    }

    /// Adds a start to the journal, then requests it from the platform.
    ///
    /// # Errors
    ///
    /// When the journal cannot be written. The start is not requested in that case.
    pub async fn start(&mut self, lease: &LeaseEpoch, key: &OfferKey) -> Result<()> {
        let start = StartVm {
            client_token: format!("{:032x}", rand::rng().random::<u128>()),
            service: self.service.clone(),
            zone: key.zone.clone(),
            class: key.class.clone(),
            market: platform_market(key.market),
        };
        let Some(journal) = self.journal.take() else {
            return Ok(());
        };
        let journal = journal.add(start.clone()).await?;
        self.journal = Some(journal);
        let status = StartStatus {
            vm: None,
            since: Instant::now(),
            unknown_at: None,
        };
        self.statuses.insert(start.client_token.clone(), status);
        self.request(lease, &start).await
    }

    async fn request(&mut self, lease: &LeaseEpoch, start: &StartVm) -> Result<()> {
        // The client token makes a late request harmless, so there is no need to wait until the
        // requests of earlier holders have ended.
        let Ok(permit) = lease.permit(EngineFencing::Checked) else {
            return Ok(());
        };
        let cloud = Arc::clone(&self.cloud);
        let outcome = permit.send(|_| cloud.start(start)).await;
        let outcome = outcome.unwrap_or_else(|err| StartOutcome::Unknown(err.to_string()));
        tracing::info!(
            service = %self.service, zone = %start.zone, class = start.class,
            market = %start.market, token = start.client_token, ?outcome, "VM asked for"
        );
        match outcome {
            StartOutcome::Started(vm) => self.on_started(start, vm),
            StartOutcome::Refused(_) => self.on_refused(start).await?,
            StartOutcome::Unknown(_) => self.on_unknown(start),
        }
        Ok(())
    }

    fn on_started(&mut self, start: &StartVm, vm: VmId) {
        self.backoff.on_started(&start_offer_key(start));
        if let Some(status) = self.statuses.get_mut(&start.client_token) {
            status.vm = Some(vm);
            status.since = Instant::now();
        }
    }

    fn on_unknown(&mut self, start: &StartVm) {
        if let Some(status) = self.statuses.get_mut(&start.client_token) {
            status.unknown_at = Some(Instant::now());
        }
    }

    /// Removes a refused start, unless an earlier request for it may still take effect.
    async fn on_refused(&mut self, start: &StartVm) -> Result<()> {
        let key = start_offer_key(start);
        self.backoff
            .on_refused(&key, policy_now(), &mut rand::rng());
        let limit = self.options.unknown_outcome_timeout;
        let status = self.statuses.get(&start.client_token);
        let unknown_at = status.and_then(|status| status.unknown_at);
        if unknown_at.is_some_and(|at| at.elapsed() < limit) {
            return Ok(());
        }
        self.remove(&start.client_token).await
    }

    async fn remove(&mut self, token: &str) -> Result<()> {
        let Some(journal) = self.journal.take() else {
            return Ok(());
        };
        let journal = journal.remove(token).await?;
        self.journal = Some(journal);
        self.statuses.remove(token);
        Ok(())
    }
}
