//! The lease under which one node performs the duties of the whole deployment.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinHandle, time::Instant};
use verbenahead_core::{Incarnation, NodeId, ServiceId};
use verbenahead_membership::{Roster, SharedRoster};
use verbenahead_services::Table;
use verbenahead_state::{
    RetryOptions,
    lease::{LeaseKeeper, LeaseOptions, LeaseStore, RestoreGuard},
    ledger::Claimant,
    rendezvous,
};

use crate::relay_node::{duty_epoch::DutyEpoch, reporter::NodeStatus};

/// Key of the lease in its table.
const LEASE_KEY: &str = "duties";

/// Fraction of the term by which a holder ends its own term early.
const MARGIN_RATIO: f64 = 1.0 / 6.0;

/// Renewals in a term. One of them may fail.
const RENEWALS_PER_TERM: u32 = 3;

/// Fraction of the term that one order may take.
const ORDER_RATIO: f64 = 1.0 / 3.0;

/// Fraction of the term that one call to the store may take.
const CALL_RATIO: f64 = 1.0 / 3.0;

/// Time after its start in which a node does not try to take the lease, so that most nodes that
/// start together have heard of each other by then. Of those that have not, the first to write the
/// lease holds it.
const START_DELAY: Duration = Duration::from_millis(500);

/// `DutyLease` contends for the lease on behalf of this node.
pub struct DutyLease {
    keeper: LeaseKeeper,
    restore_guard: RestoreGuard,
    node: NodeId,
    roster: SharedRoster,
    status: Arc<NodeStatus>,
    started_at: Instant,
}

impl DutyLease {
    /// Spawns the task that takes and renews the lease. It does neither until `step` decides that
    /// this node should hold the lease.
    ///
    /// # Panics
    ///
    /// When called outside a `tokio` runtime.
    pub fn spawn(
        table: Arc<dyn Table>,
        restore_guard: RestoreGuard,
        term: Duration,
        node: NodeId,
        incarnation: Incarnation,
        roster: SharedRoster,
        status: Arc<NodeStatus>,
    ) -> (Self, JoinHandle<()>) {
        let store =
            LeaseStore::new(table, lease_options(term)).with_restore_guard(restore_guard.clone());
        let service = ServiceId::try_new(LEASE_KEY).expect("valid id");
        let claimant = Claimant {
            node: node.clone(),
            incarnation,
        };
        let (keeper, task) = LeaseKeeper::spawn(store, service, claimant);
        let lease = Self {
            keeper,
            restore_guard,
            node,
            roster,
            status,
            started_at: Instant::now(),
        };
        (lease, task)
    }

    /// Decides whether this node should hold the lease, and records in the status whether it does.
    pub fn step(&self) {
        let known = self.roster.lock().highest_fencing();
        self.restore_guard.record_fencing(known);
        let fencing = self.keeper.fencing();
        if fencing != self.status.held_lease() {
            let fencing = fencing.map(|fencing| fencing.0);
            tracing::info!(node = %self.node, fencing, "lease for duties changed");
        }
        self.status.set_held_lease(fencing);
        self.keeper.set_wanted(self.is_wanted(fencing.is_some()));
    }

    /// Returns whether this node should hold the lease. A holder keeps it as long as possible,
    /// since each change of the holder takes time. The standby node among the others watches the
    /// lease and takes it when it has not been renewed for a term.
    fn is_wanted(&self, is_held: bool) -> bool {
        if self.status.is_leaving() {
            return false;
        }
        // A holder that cannot reach the store goes on trying to renew. It sends no orders after
        // its term, and when no other node took the lease during the outage, it goes on at once.
        if is_held {
            return true;
        }
        if !self.status.reaches_store() {
            return false;
        }
        if self.started_at.elapsed() < START_DELAY {
            return false;
        }
        let roster = self.roster.lock();
        standby(&roster, Some(&self.node)) == Some(&self.node)
    }

    /// Returns the epoch in which this node holds the lease, if it does.
    pub fn epoch(&self) -> Option<DutyEpoch> {
        let lease = self.keeper.epoch()?;
        Some(DutyEpoch::new(lease, self.node.clone()))
    }
}

/// Returns the standby node, which watches the lease and takes it next. All nodes choose it by
/// rendezvous hashing from the nodes that may hold the lease. `own` is the calling node, if it may.
pub fn standby<'a>(roster: &'a Roster, own: Option<&'a NodeId>) -> Option<&'a NodeId> {
    let lease = ServiceId::try_new(LEASE_KEY).expect("valid id");
    let others = roster
        .live()
        .filter(|report| report.reaches_store && !report.is_leaving && report.held_lease.is_none());
    let nodes = others.map(|report| &report.node).chain(own);
    rendezvous::owner(&lease, nodes)
}

fn lease_options(term: Duration) -> LeaseOptions {
    let margin = term.mul_f64(MARGIN_RATIO);
    let call_timeout = term.mul_f64(CALL_RATIO);
    LeaseOptions {
        term,
        margin,
        order_timeout: term.mul_f64(ORDER_RATIO),
        renew_interval: term / RENEWALS_PER_TERM,
        // A candidate watches the row for a whole term before it takes the lease; by then all
        // orders of the earlier holder have ended.
        takeover_wait: Some(margin),
        retry: RetryOptions {
            deadline: term / 2,
            call_timeout,
            ..RetryOptions::default()
        },
    }
}
