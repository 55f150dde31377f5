//! The check before each order to an upstream.

use std::{future::Future, time::Duration};

use derive_more::{Display, Error};
use tokio::time::{Instant, timeout_at};
use verbenahead_core::{FencingNumber, time::suspended};
use verbenahead_manifest::EngineFencing;

/// `OrderGate` is what permits for orders rest on: a lease as it was known to be held last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderGate {
    /// Fencing number of the lease.
    pub fencing: FencingNumber,
    /// End of the term on the monotonic clock of this node.
    pub valid_until: Instant,
    /// Time from which orders of earlier holders have ended.
    pub first_order_at: Instant,
    /// Longest time of one order.
    pub order_timeout: Duration,
    /// Suspension of the machine when the term began. The monotonic clock does not count what
    /// came after it.
    pub suspended: Duration,
}

/// Suspension that counts as none. The two clocks are not read at the same moment.
const SUSPENSION_TOLERANCE: Duration = Duration::from_millis(20);

impl OrderGate {
    /// Permits one order, whose time limit ends before the term does.
    ///
    /// # Errors
    ///
    /// When the term has ended or ends before the order would, or when orders of an earlier
    /// holder may still reach engines that ignore fencing numbers.
    pub fn permit(
        &self,
        engines: EngineFencing,
        now: Instant,
    ) -> Result<OrderPermit, OrderRefusal> {
        let deadline = now + self.order_timeout;
        let was_suspended = suspended() > self.suspended + SUSPENSION_TOLERANCE;
        if was_suspended || deadline > self.valid_until {
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

/// `OrderPermit` allows one order until its deadline.
#[must_use = "a permit is for one order"]
#[derive(Debug)]
pub struct OrderPermit {
    fencing: FencingNumber,
    deadline: Instant,
    suspended: Duration,
}

/// `OrderRefusal` says why no order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum OrderRefusal {
    /// This node does not hold the lease.
    #[display("state: the lease is not held")]
    NotHeld,
    /// The term ended, or ends before the order would.
    #[display("state: the lease ends before the order would")]
    LeaseExpiring,
    /// Orders of an earlier holder may still be on their way.
    #[display("state: orders of an earlier holder may be on their way for {remaining:?}")]
    TooEarly {
        /// Time to wait.
        remaining: Duration,
    },
}

/// `OrderFailure` says that a permitted order did not end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum OrderFailure {
    /// The deadline had passed before the order was sent. Nothing was sent.
    #[display("state: the time limit of the order passed before it was sent")]
    NotSent,
    /// The order was sent and not answered before its deadline. The actual state is to be read.
    #[display("state: the order was not answered in time")]
    TimedOut,
}

impl OrderPermit {
    /// Returns the fencing number to send with the order.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the end of the time limit on the monotonic clock.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sends an order and waits for its answer until the deadline.
    ///
    /// The clock is read once more right before `order` is started. A pause of the process after
    /// that cannot be noticed; engines that check fencing numbers refuse such an order.
    ///
    /// # Errors
    ///
    /// When the deadline passes before the order is sent or answered.
    pub async fn send<F: Future>(
        self,
        order: impl FnOnce(FencingNumber) -> F,
    ) -> Result<F::Output, OrderFailure> {
        let was_suspended = suspended() > self.suspended + SUSPENSION_TOLERANCE;
        if was_suspended || Instant::now() >= self.deadline {
            return Err(OrderFailure::NotSent);
        }
        timeout_at(self.deadline, order(self.fencing))
            .await
            .map_err(|_| OrderFailure::TimedOut)
    }
}
