//! Starts the VMs of one service.

use std::sync::Arc;

use rand::Rng;
use tokio::time::Instant;
use verbenahead_core::{FencingNumber, HashMap, ServiceId, VmId};
use verbenahead_manifest::EngineFencing;
use verbenahead_policy::{OfferKey, StartBackoff};
use verbenahead_relay::clock::policy_now;
use verbenahead_services::{Cloud, StartOutcome, StartVm, Table, VmRecord};
use verbenahead_state::{
    Result,
    lease::{LeaseKeeper, StartJournal},
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

/// `VmStarter` requests VMs from the platform. Each start is journaled under a client token before it
/// is requested, so that a request whose answer was lost is repeated without starting a second VM.
pub struct VmStarter {
    service: ServiceId,
    table: Arc<dyn Table>,
    cloud: Arc<dyn Cloud>,
    options: FleetControllerOptions,
    journal: Option<(FencingNumber, StartJournal)>,
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

    /// Opens the journal for a lease holder, unless it is open already.
    ///
    /// The list of VMs must be read afterwards: it then contains the VMs of the starts that an
    /// earlier holder removed from the journal.
    ///
    /// # Errors
    ///
    /// The errors of [`StartJournal::open`].
    pub async fn open(&mut self, fencing: FencingNumber) -> Result<()> {
        if self.journal.as_ref().is_some_and(|open| open.0 == fencing) {
            return Ok(());
        }
        self.journal = None;
        let table = Arc::clone(&self.table);
        let service = self.service.clone();
        let journal = StartJournal::open(table, service, fencing, self.options.journal).await?;
        self.record_found(journal.pending());
        self.journal = Some((fencing, journal));
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
        self.journal.as_ref().map(|(_, journal)| journal.pending())
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
    pub async fn reconcile(&mut self, keeper: &LeaseKeeper, listed: &[VmRecord]) -> Result<()> {
        let pending = self.pending().unwrap_or_default().to_vec();
        for start in pending {
            match self.statuses.get(&start.client_token) {
                Some(status) if self.is_complete(status, listed) => {
                    self.remove(&start.client_token).await?;
                }
                Some(status) if status.vm.is_some() => {}
                _ => self.request(keeper, &start).await?,
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
    pub async fn start(&mut self, keeper: &LeaseKeeper, key: &OfferKey) -> Result<()> {
        let start = StartVm {
            client_token: format!("{:032x}", rand::rng().random::<u128>()),
            service: self.service.clone(),
            zone: key.zone.clone(),
            class: key.class.clone(),
            market: platform_market(key.market),
        };
        let Some((fencing, journal)) = self.journal.take() else {
            return Ok(());
        };
        let journal = journal.add(start.clone()).await?;
        self.journal = Some((fencing, journal));
        let status = StartStatus {
            vm: None,
            since: Instant::now(),
            unknown_at: None,
        };
        self.statuses.insert(start.client_token.clone(), status);
        self.request(keeper, &start).await
    }

    async fn request(&mut self, keeper: &LeaseKeeper, start: &StartVm) -> Result<()> {
        // The client token makes a late request harmless, so there is no need to wait until the
        // requests of earlier holders have ended.
        let Ok(permit) = keeper.permit(EngineFencing::Checked) else {
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
        let Some((fencing, journal)) = self.journal.take() else {
            return Ok(());
        };
        let journal = journal.remove(token).await?;
        self.journal = Some((fencing, journal));
        self.statuses.remove(token);
        Ok(())
    }
}
