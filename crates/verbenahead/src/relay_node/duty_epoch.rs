//! One holding of the lease for the duties, and the calls that it permits.

use std::{
    future::Future,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{FencingNumber, NodeId};
use verbenahead_manifest::EngineFencing;
use verbenahead_services::DutyHolder;
use verbenahead_state::lease::{LeaseEpoch, OrderFailure, OrderPermit, OrderRefusal};

/// `DutyEpoch` is one holding of the lease for the duties by this node.
#[derive(Debug)]
pub struct DutyEpoch {
    lease: LeaseEpoch,
    node: NodeId,
    is_closed: AtomicBool,
}

impl DutyEpoch {
    /// Wraps an epoch of the lease that `node` holds.
    pub fn new(lease: LeaseEpoch, node: NodeId) -> Self {
        Self {
            lease,
            node,
            is_closed: AtomicBool::new(false),
        }
    }

    /// Returns the fencing number, for logs. Calls take theirs from their permit.
    pub fn fencing(&self) -> FencingNumber {
        self.lease.fencing()
    }

    /// Returns whether the lease has been held without a break since the epoch began, and it is not closed.
    pub fn is_current(&self) -> bool {
        self.lease.is_current() && !self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns whether the lease was held at `at`, as far as is known.
    pub fn was_held_at(&self, at: Instant) -> bool {
        self.lease.was_held_at(at)
    }

    /// Refuses further calls, because the lease is about to be given back.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Returns the time that a call may take. All calls have ended this long after the epoch.
    pub fn call_timeout(&self) -> Duration {
        self.lease.order_timeout()
    }

    /// Returns a permit for one call. The platform does not check fencing numbers.
    ///
    /// # Errors
    ///
    /// When the epoch has ended or the lease does not allow a call now.
    pub fn permit(&self) -> Result<DutyPermit, OrderRefusal> {
        if self.is_closed.load(Ordering::Relaxed) {
            return Err(OrderRefusal::EpochEnded);
        }
        let order = self.lease.permit(EngineFencing::Ignored)?;
        let node = self.node.clone();
        Ok(DutyPermit { order, node })
    }
}

/// `DutyPermit` allows one call, in the name of the holder that it was given to.
#[must_use = "a permit is for one call"]
#[derive(Debug)]
pub struct DutyPermit {
    order: OrderPermit,
    node: NodeId,
}

impl DutyPermit {
    /// Returns the fencing number that the call is sent with.
    pub fn fencing(&self) -> FencingNumber {
        self.order.fencing()
    }

    /// Makes the call and waits for its answer until its deadline.
    ///
    /// # Errors
    ///
    /// As for [`OrderPermit::send`].
    pub async fn send<F: Future>(
        self,
        call: impl FnOnce(DutyHolder) -> F,
    ) -> Result<F::Output, OrderFailure> {
        let node = self.node;
        self.order
            .send(|fencing| call(DutyHolder { node, fencing }))
            .await
    }
}
