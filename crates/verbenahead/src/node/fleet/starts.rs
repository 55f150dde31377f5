//! Starts of the VMs of one service.

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
    round_plan::{kind_of_start, platform_market},
};

/// `Asked` is what is known of a start in the journal.
#[derive(Debug, Clone)]
struct Asked {
    vm: Option<VmId>,
    since: Instant,
    unknown_at: Option<Instant>,
}

/// `Starts` asks for VMs, so that a lost answer does not become a second VM.
pub struct Starts {
    service: ServiceId,
    table: Arc<dyn Table>,
    cloud: Arc<dyn Cloud>,
    options: FleetControllerOptions,
    journal: Option<(FencingNumber, StartJournal)>,
    asked: HashMap<String, Asked>,
    backoff: StartBackoff,
}

impl Starts {
    /// Builds the starts of a service.
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
            asked: HashMap::default(),
            backoff: StartBackoff::default(),
        }
    }

    /// Opens the journal for a holder, unless it is open for it.
    ///
    /// The list of VMs is read after that: what an earlier holder removed from the journal is then
    /// on the list.
    ///
    /// # Errors
    ///
    /// As of [`StartJournal::open`].
    pub async fn open(&mut self, fencing: FencingNumber) -> Result<()> {
        if self.journal.as_ref().is_some_and(|open| open.0 == fencing) {
            return Ok(());
        }
        self.journal = None;
        let table = Arc::clone(&self.table);
        let service = self.service.clone();
        let journal = StartJournal::open(table, service, fencing, self.options.journal).await?;
        self.note_found(journal.pending());
        self.journal = Some((fencing, journal));
        Ok(())
    }

    /// Starts that an earlier holder asked for may still take effect.
    fn note_found(&mut self, pending: &[StartVm]) {
        let now = Instant::now();
        for start in pending {
            let found = Asked {
                vm: None,
                since: now,
                unknown_at: Some(now),
            };
            let token = start.client_token.clone();
            self.asked.entry(token).or_insert(found);
        }
    }

    /// Returns the starts whose VMs are not on the list yet, or `None` when the journal is not
    /// open.
    pub fn pending(&self) -> Option<&[StartVm]> {
        self.journal.as_ref().map(|(_, journal)| journal.pending())
    }

    /// Returns whether a kind of VM was refused so lately that it is not tried.
    pub fn is_refused(&self, kind: &OfferKey) -> bool {
        self.backoff.is_refused(kind, policy_now())
    }

    /// Removes from the journal what is on the list, and asks again for what has no known VM.
    ///
    /// # Errors
    ///
    /// When the journal cannot be changed. It is opened again in a later round.
    pub async fn settle(&mut self, keeper: &LeaseKeeper, listed: &[VmRecord]) -> Result<()> {
        let pending = self.pending().unwrap_or_default().to_vec();
        for start in pending {
            match self.asked.get(&start.client_token) {
                Some(asked) if self.is_over(asked, listed) => {
                    self.remove(&start.client_token).await?;
                }
                Some(asked) if asked.vm.is_some() => {}
                _ => self.ask(keeper, &start).await?,
            }
        }
        Ok(())
    }

    fn is_over(&self, asked: &Asked, listed: &[VmRecord]) -> bool {
        let Some(vm) = &asked.vm else {
            return false;
        };
        let is_listed = listed.iter().any(|record| record.vm == *vm);
        is_listed || asked.since.elapsed() >= self.options.listing_limit
    }

    /// Writes a start down, then asks for it.
    ///
    /// # Errors
    ///
    /// When the journal cannot be changed. The start was then not asked for.
    pub async fn start(&mut self, keeper: &LeaseKeeper, kind: &OfferKey) -> Result<()> {
        let start = StartVm {
            client_token: format!("{:032x}", rand::rng().random::<u128>()),
            service: self.service.clone(),
            zone: kind.zone.clone(),
            class: kind.class.clone(),
            market: platform_market(kind.market),
        };
        let Some((fencing, journal)) = self.journal.take() else {
            return Ok(());
        };
        let journal = journal.add(start.clone()).await?;
        self.journal = Some((fencing, journal));
        let asked = Asked {
            vm: None,
            since: Instant::now(),
            unknown_at: None,
        };
        self.asked.insert(start.client_token.clone(), asked);
        self.ask(keeper, &start).await
    }

    async fn ask(&mut self, keeper: &LeaseKeeper, start: &StartVm) -> Result<()> {
        // The token makes a late request harmless, so no wait for earlier holders is needed.
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
            StartOutcome::Started(vm) => self.started(start, vm),
            StartOutcome::Refused(_) => self.refused(start).await?,
            StartOutcome::Unknown(_) => self.unanswered(start),
        }
        Ok(())
    }

    fn started(&mut self, start: &StartVm, vm: VmId) {
        self.backoff.on_started(&kind_of_start(start));
        if let Some(asked) = self.asked.get_mut(&start.client_token) {
            asked.vm = Some(vm);
            asked.since = Instant::now();
        }
    }

    fn unanswered(&mut self, start: &StartVm) {
        if let Some(asked) = self.asked.get_mut(&start.client_token) {
            asked.unknown_at = Some(Instant::now());
        }
    }

    /// Takes a refused start back, unless an earlier request for it may still take effect.
    async fn refused(&mut self, start: &StartVm) -> Result<()> {
        let kind = kind_of_start(start);
        self.backoff
            .on_refused(&kind, policy_now(), &mut rand::rng());
        let limit = self.options.unknown_limit;
        let asked = self.asked.get(&start.client_token);
        let unknown_at = asked.and_then(|asked| asked.unknown_at);
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
        self.asked.remove(token);
        Ok(())
    }
}
