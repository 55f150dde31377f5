//! One holding of a lease, from its acquisition to its loss or release.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Display;
use tokio::{sync::watch, time::Instant};
use verbenahead_core::FencingNumber;
use verbenahead_manifest::EngineFencing;

use crate::lease::{
    LeaseStore,
    order_gate::{OrderGate, OrderPermit, OrderRefusal},
};

/// `EpochNumber` counts the holdings of a lease by one keeper.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
pub struct EpochNumber(u64);

impl EpochNumber {
    /// Returns the number of the next holding.
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// `HeldLease` is the lease that a keeper holds at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldLease {
    pub(crate) epoch: EpochNumber,
    pub(crate) gate: OrderGate,
}

/// `LeaseEpoch` is one holding of a lease by this node, from its acquisition to its loss or release.
///
/// Permits for orders, and with them fencing numbers, come from an epoch only. Work that began in one epoch
/// therefore cannot act in a later one, however long it lasts. What a holder learns is kept beside its epoch and
/// dropped with it, because other nodes may have held the lease before the next one.
#[derive(Debug)]
pub struct LeaseEpoch {
    store: LeaseStore,
    held: watch::Receiver<Option<HeldLease>>,
    number: EpochNumber,
    fencing: FencingNumber,
    /// Gate of the last term that is known.
    last_gate: Mutex<OrderGate>,
}

impl LeaseEpoch {
    pub(crate) fn new(
        store: LeaseStore,
        held: watch::Receiver<Option<HeldLease>>,
        lease: HeldLease,
    ) -> Self {
        Self {
            store,
            held,
            number: lease.epoch,
            fencing: lease.gate.fencing,
            last_gate: Mutex::new(lease.gate),
        }
    }

    /// Returns the fencing number, for logs and status. Orders take theirs from their permit.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns whether the lease has been held without a break since the epoch began.
    pub fn is_current(&self) -> bool {
        self.gate().is_some()
    }

    /// Returns the time that an order may take. All permitted orders have ended this long after the epoch.
    pub fn order_timeout(&self) -> Duration {
        self.store.options().order_timeout
    }

    /// Returns a permit for one order.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal::EpochEnded`] when the lease was lost or released since the epoch began, also if the node
    /// holds it again. Otherwise when the lease does not allow an order now.
    pub fn permit(&self, engines: EngineFencing) -> Result<OrderPermit, OrderRefusal> {
        let gate = self.gate().ok_or(OrderRefusal::EpochEnded)?;
        self.store.check(&gate)?;
        gate.permit(engines, Instant::now())
    }

    /// Returns whether the lease was held at `at`, as far as the last known term tells, so that no other node can
    /// have held it between the beginning of the epoch and then.
    pub fn was_held_at(&self, at: Instant) -> bool {
        self.lock().is_valid_at(at)
    }

    fn gate(&self) -> Option<OrderGate> {
        let held = *self.held.borrow();
        let gate = held
            .filter(|held| held.epoch == self.number)
            .map(|held| held.gate)?;
        *self.lock() = gate;
        Some(gate)
    }

    fn lock(&self) -> MutexGuard<'_, OrderGate> {
        self.last_gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
