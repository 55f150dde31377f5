//! Check of the lease before each order to an engine or to the platform.

use std::{future::Future, time::Duration};

use derive_more::{Display, Error};
use tokio::time::{Instant, timeout_at};
use verbenahead_core::{FencingNumber, time::suspended_time};
use verbenahead_manifest::EngineFencing;
use verbenahead_services::StoreEra;

/// `OrderGate` issues permits for orders. It is a copy of the state of the lease after the last
/// successful acquisition or renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGate {
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// End of the term on the monotonic clock of this node.
    pub valid_until: Instant,
    /// Time at which all orders of earlier holders have ended.
    pub first_order_at: Instant,
    /// Timeout of one order.
    pub order_timeout: Duration,
    /// Total time for which the machine had been suspended when the term began. The monotonic
    /// clock does not count later suspensions.
    pub suspended: Duration,
    /// Era of the table when the term began.
    pub era: Option<StoreEra>,
}

/// Longest increase of the suspended time that is ignored. It is the difference of two clocks,
/// which are not read at the same instant.
const SUSPENSION_TOLERANCE: Duration = Duration::from_millis(20);

impl OrderGate {
    /// Returns whether the term lasts until `at`. After a suspension of the machine it may have ended at any time.
    pub(crate) fn is_valid_at(&self, at: Instant) -> bool {
        let was_suspended = suspended_time() > self.suspended + SUSPENSION_TOLERANCE;
        !was_suspended && at <= self.valid_until
    }

    /// Returns a permit for one order, whose deadline is not later than the end of the term.
    ///
    /// # Errors
    ///
    /// Fails when the term has ended or ends before the deadline of the order, or when orders of an
    /// earlier holder may still reach engines that ignore fencing numbers.
    pub fn permit(
        &self,
        engines: EngineFencing,
        now: Instant,
    ) -> Result<OrderPermit, OrderRefusal> {
        let deadline = now + self.order_timeout;
        if !self.is_valid_at(deadline) {
            return Err(OrderRefusal::LeaseExpiring);
        }
        if engines == EngineFencing::Ignored && now < self.first_order_at {
            let remaining = self.first_order_at - now;
            return Err(OrderRefusal::TooEarly { remaining });
        }
        Ok(OrderPermit {
            fencing: self.fencing,
            deadline,
            suspended: self.suspended,
        })
    }
}

/// `OrderPermit` allows sending one order before its deadline.
#[must_use = "a permit is for one order"]
#[derive(Debug)]
pub struct OrderPermit {
    fencing: FencingNumber,
    deadline: Instant,
    suspended: Duration,
}

/// `OrderRefusal` states why no order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum OrderRefusal {
    /// The lease was lost or released after the work that the order belongs to had begun.
    #[display("state: the lease under which the work began is no longer held")]
    EpochEnded,
    /// The term has ended, or ends before the deadline of the order.
    #[display("state: the lease ends before the order would")]
    LeaseExpiring,
    /// The table came back from an older copy, which may hide that another node took the lease.
    #[display("state: the table of the lease came back from an older copy")]
    TableRestored,
    /// A holder with a higher fencing number is known.
    #[display("state: another node holds the lease with a higher fencing number")]
    Superseded,
    /// Orders of an earlier holder may still be in flight.
    #[display("state: orders of an earlier holder may be on their way for {remaining:?}")]
    TooEarly {
        /// Time until orders are allowed.
        remaining: Duration,
    },
}

/// `OrderFailure` states why a permitted order did not complete in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum OrderFailure {
    /// The deadline passed before the order was sent. Nothing was sent.
    #[display("state: the time limit of the order passed before it was sent")]
    NotSent,
    /// The order was sent and not answered before its deadline. Its outcome is unknown; the caller
    /// has to read the actual state.
    #[display("state: the order was not answered in time")]
    TimedOut,
}

impl OrderPermit {
    /// Returns the fencing number to send with the order.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the deadline of the order on the monotonic clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sends an order and waits for its answer until the deadline.
    ///
    /// The clock is checked again immediately before `order` is called. A pause of the process
    /// after that check cannot be detected; engines that check fencing numbers refuse such an
    /// order.
    ///
    /// # Errors
    ///
    /// Fails when the deadline passes before the order is sent or answered.
    pub async fn send<F: Future>(
        self,
        order: impl FnOnce(FencingNumber) -> F,
    ) -> Result<F::Output, OrderFailure> {
        let was_suspended = suspended_time() > self.suspended + SUSPENSION_TOLERANCE;
        if was_suspended || Instant::now() >= self.deadline {
            return Err(OrderFailure::NotSent);
        }
        timeout_at(self.deadline, order(self.fencing))
            .await
            .map_err(|_| OrderFailure::TimedOut)
    }
}
