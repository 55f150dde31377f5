//! The lease under which one node acts for the whole deployment.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinHandle, time::Instant};
use verbenahead_core::{Incarnation, NodeId, ServiceId};
use verbenahead_manifest::EngineFencing;
use verbenahead_membership::Roster;
use verbenahead_services::Table;
use verbenahead_state::{
    RetryOptions,
    lease::{LeaseKeeper, LeaseOptions, LeaseStore, OrderPermit, OrderRefusal},
    ledger::Claimant,
    rendezvous,
};

use crate::relay_node::reporter::{NodeStatus, SharedRoster};

/// Key of the lease in its table.
const LEASE: &str = "duties";

/// Part of the term by which a holder ends it earlier.
const MARGIN_RATIO: f64 = 1.0 / 6.0;

/// Renewals in a term. One of them may fail.
const RENEWALS: u32 = 3;

/// Part of the term that one order may take.
const ORDER_RATIO: f64 = 1.0 / 3.0;

/// Part of the term that one call to the store may take.
const CALL_RATIO: f64 = 1.0 / 3.0;

/// Time after its start in which a node does not stand for the lease, so that most nodes that start
/// together hear each other before. Of those that do not, the first one takes it.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// `DutyLease` knows whether this node acts for the deployment.
pub struct DutyLease {
    keeper: LeaseKeeper,
    node: NodeId,
    roster: SharedRoster,
    status: Arc<NodeStatus>,
    started: Instant,
}

impl DutyLease {
    /// Starts to keep the lease, which this node does not want yet.
    ///
    /// # Panics
    ///
    /// When called outside a `tokio` runtime.
    pub fn spawn(
        table: Arc<dyn Table>,
        term: Duration,
        node: NodeId,
        incarnation: Incarnation,
        roster: SharedRoster,
        status: Arc<NodeStatus>,
    ) -> (Self, JoinHandle<()>) {
        let store = LeaseStore::new(table, lease_options(term));
        let service = ServiceId::try_new(LEASE).expect("the name has only letters");
        let claimant = Claimant {
            node: node.clone(),
            incarnation,
        };
        let (keeper, keeping) = LeaseKeeper::spawn(store, service, claimant);
        let lease = Self {
            keeper,
            node,

            roster,
            status,
            started: Instant::now(),
        };
        (lease, keeping)
    }

    /// Decides whether this node stands for the lease, and tells the others whether it holds it.
    pub fn step(&self) {
        let gate = self.keeper.gate();
        let fencing = gate.map(|gate| gate.fencing);
        if fencing != self.status.held_lease() {
            let fencing = fencing.map(|fencing| fencing.0);
            tracing::info!(node = %self.node, fencing, "lease for duties changed");
        }
        self.status.set_held_lease(fencing);
        self.keeper.set_wanted(self.is_wanted(fencing.is_some()));
    }

    /// A holder stays one while it can, since each change of the holder costs time. The first of
    /// the other live nodes watches the lease, and takes it when it is not renewed for a term.
    fn is_wanted(&self, is_held: bool) -> bool {
        if self.status.is_leaving() {
            return false;
        }
        // A holder that lost the store goes on trying to renew. Its orders end with its term, and
        // when nobody took the lease in an outage of all, the duties go on at once.
        if is_held {
            return true;
        }
        if !self.status.reaches_store() {
            return false;
        }
        if self.started.elapsed() < FIRST_WAIT {
            return false;
        }
        let roster = self.roster.lock();
        standby(&roster, Some(&self.node)) == Some(&self.node)
    }

    /// Permits one order to the platform, which does not check fencing numbers.
    ///
    /// # Errors
    ///
    /// When the lease is not held or does not allow an order now.
    pub fn permit(&self) -> Result<OrderPermit, OrderRefusal> {
        self.keeper.permit(EngineFencing::Ignored)
    }
}

/// Returns the node that watches the lease: the first of those that may hold it next. `own` is the
/// node itself, if it may.
pub fn standby<'a>(roster: &'a Roster, own: Option<&'a NodeId>) -> Option<&'a NodeId> {
    let lease = ServiceId::try_new(LEASE).expect("the name has only letters");
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
        renew_interval: term / RENEWALS,
        // A candidate watches the row for a whole term, after which all orders have ended.
        takeover_wait: Some(margin),
        retry: RetryOptions {
            deadline: term / 2,
            call_timeout,
            ..RetryOptions::default()
        },
    }
}
