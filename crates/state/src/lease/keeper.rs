//! Task that acquires, renews and releases the lease of one service.

use std::time::Duration;

use tokio::{sync::watch, task::JoinHandle, time::sleep};
use verbenahead_core::{FencingNumber, ServiceId, timer::TimerService};

use crate::{
    lease::{
        LeaseStore,
        epoch::{EpochNumber, HeldLease, LeaseEpoch},
        stage::{AcquireOutcome, Candidate, Held, Lease, RenewOutcome},
    },
    ledger::Claimant,
};

/// `LeaseKeeper` acquires and renews the lease of a service, and gives out the epoch in which the node holds it.
///
/// When it is dropped, its task withdraws the gate, waits until permitted orders have ended,
/// releases the lease and ends.
#[derive(Debug)]
pub struct LeaseKeeper {
    store: LeaseStore,
    held: watch::Receiver<Option<HeldLease>>,
    wanted: watch::Sender<bool>,
}

/// Lease in its current stage.
enum LeaseStage {
    Candidate(Lease<Candidate>),
    Held(Lease<Held>),
}

impl LeaseKeeper {
    /// Starts the task. It does not try to acquire the lease until
    /// [`set_wanted`](Self::set_wanted) is called.
    ///
    /// # Panics
    ///
    /// When called outside a `tokio` runtime.
    pub fn spawn(
        store: LeaseStore,
        service: ServiceId,
        claimant: Claimant,
    ) -> (Self, JoinHandle<()>) {
        let (held_tx, held) = watch::channel(None);
        let (wanted, wanted_rx) = watch::channel(false);
        let options = *store.options();
        let task = KeeperTask {
            lease: Some(LeaseStage::Candidate(store.candidate(service, claimant))),
            held: held_tx,
            epoch: EpochNumber::default(),
            wanted: wanted_rx,
            order_timeout: options.order_timeout,
        };
        let task = tokio::spawn(task.run(options.renew_interval));
        let keeper = Self {
            store,
            held,
            wanted,
        };
        (keeper, task)
    }

    /// Sets whether this node should hold the lease. The caller decides by the rendezvous hash over
    /// the live nodes.
    pub fn set_wanted(&self, is_wanted: bool) {
        self.wanted.send_if_modified(|wanted| {
            let is_change = *wanted != is_wanted;
            *wanted = is_wanted;
            is_change
        });
    }

    /// Returns the fencing number of the held lease, for logs and status. Orders take theirs from a permit.
    pub fn fencing(&self) -> Option<FencingNumber> {
        self.held.borrow().map(|held| held.gate.fencing)
    }

    /// Returns the epoch in which the node holds the lease, if it does.
    pub fn epoch(&self) -> Option<LeaseEpoch> {
        let lease = (*self.held.borrow())?;
        let held = self.held.clone();
        Some(LeaseEpoch::new(self.store.clone(), held, lease))
    }
}

struct KeeperTask {
    lease: Option<LeaseStage>,
    held: watch::Sender<Option<HeldLease>>,
    /// Number of the last holding of the lease.
    epoch: EpochNumber,
    wanted: watch::Receiver<bool>,
    order_timeout: Duration,
}

impl KeeperTask {
    async fn run(mut self, renew_interval: Duration) {
        let mut ticks = TimerService.subscribe(Duration::ZERO, renew_interval);
        loop {
            let has_keeper = tokio::select! {
                tick = ticks.recv() => tick.is_some(),
                changed = self.wanted.changed() => changed.is_ok(),
            };
            let is_wanted = has_keeper && *self.wanted.borrow_and_update();
            self.step(is_wanted).await;
            if !has_keeper {
                return;
            }
        }
    }

    async fn step(&mut self, is_wanted: bool) {
        let next = match self.lease.take() {
            Some(LeaseStage::Held(lease)) if is_wanted => renew(lease).await,
            Some(LeaseStage::Held(lease)) => self.release(lease).await,
            Some(LeaseStage::Candidate(lease)) if is_wanted => self.acquire(lease).await,
            Some(LeaseStage::Candidate(lease)) => LeaseStage::Candidate(lease),
            None => return,
        };
        self.publish(&next);
        self.lease = Some(next);
    }

    async fn release(&self, lease: Lease<Held>) -> LeaseStage {
        self.held.send_replace(None);
        sleep(self.order_timeout).await;
        LeaseStage::Candidate(lease.release().await)
    }

    fn publish(&self, lease: &LeaseStage) {
        let held = match lease {
            LeaseStage::Held(lease) => Some(HeldLease {
                epoch: self.epoch,
                gate: lease.gate(),
            }),
            LeaseStage::Candidate(_) => None,
        };
        self.held.send_replace(held);
    }

    async fn acquire(&mut self, lease: Lease<Candidate>) -> LeaseStage {
        match lease.try_acquire().await {
            AcquireOutcome::Held(lease) => {
                self.epoch = self.epoch.next();
                LeaseStage::Held(lease)
            }
            AcquireOutcome::NotHeld(lease) => LeaseStage::Candidate(lease),
        }
    }
}

async fn renew(lease: Lease<Held>) -> LeaseStage {
    match lease.renew().await {
        RenewOutcome::Renewed(lease) | RenewOutcome::NotExtended(lease) => LeaseStage::Held(lease),
        RenewOutcome::Lost(lease) => {
            tracing::warn!(service = %lease.service(), "lease lost");
            LeaseStage::Candidate(lease)
        }
    }
}
