//! Orders for rollouts in the operator's table, which this node follows together with the routes.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::time::Instant;
use verbenahead_core::ServiceId;
use verbenahead_relay::Rollouts;
use verbenahead_services::{Error, FeedRow, Result, RolloutOrder, Snapshot, Version};
use verbenahead_state::follower::TableObserver;

use crate::relay_node::route_observer::RouteObserver;

/// `ReadRolloutOrder` decodes an order from the key and value of its row. Returns `None` for other rows.
pub type ReadRolloutOrder = fn(&str, &[u8]) -> Result<Option<RolloutOrder>>;

/// `KnownOrder` is an order with its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Version of its row.
    pub version: Version,
    /// Time at which this node read it.
    pub read_at: Instant,
    /// Whether the node read it as a change, so that it is as old as `read_at` tells.
    pub is_change: bool,
}

/// `RolloutOrders` holds the last order of each service.
#[derive(Debug, Default)]
pub struct RolloutOrders(Mutex<BTreeMap<ServiceId, KnownOrder>>);

impl RolloutOrders {
    /// Returns the last order of each service.
    pub fn all(&self) -> BTreeMap<ServiceId, KnownOrder> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, KnownOrder>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `OperatorObserver` watches the operator's table: the routes, and the orders for rollouts if the settings
/// have bounds for them.
pub struct OperatorObserver {
    routes: RouteObserver,
    read: Option<ReadRolloutOrder>,
    orders: Arc<RolloutOrders>,
    rollouts: Arc<Rollouts>,
}

impl OperatorObserver {
    /// Builds an observer that passes the routes on to `routes`. Without `read` it ignores orders.
    pub fn new(
        routes: RouteObserver,
        read: Option<ReadRolloutOrder>,
        orders: Arc<RolloutOrders>,
        rollouts: Arc<Rollouts>,
    ) -> Self {
        Self {
            routes,
            read,
            orders,
            rollouts,
        }
    }

    fn apply_rows(&self, rows: &[FeedRow], is_change: bool, is_restored: bool) {
        let Some(read) = self.read else {
            return;
        };
        for row in rows {
            let Some(value) = &row.value else {
                continue;
            };
            match read(&row.key, value) {
                Ok(Some(order)) => self.apply(order, row.version, is_change, is_restored),
                Ok(None) => {}
                Err(error) => tracing::warn!(
                    key = row.key,
                    version = row.version.0,
                    %error,
                    "order for a rollout cannot be read",
                ),
            }
        }
    }

    fn apply(&self, order: RolloutOrder, version: Version, is_change: bool, is_restored: bool) {
        let mut orders = self.orders.lock();
        if let Some(known) = orders.get_mut(&order.service)
            && (is_restored || version <= known.version)
        {
            // A table that came back from an older copy may hold an earlier order. The one that is known is
            // the later one, and may have another version now.
            if is_restored && known.order == order {
                known.version = known.version.max(version);
            }
            return;
        }
        tracing::info!(
            service = %order.service,
            target = %order.target,
            duration_ms = order.duration.as_millis() as u64,
            version = version.0,
            is_change,
            "order for a rollout read",
        );
        self.rollouts
            .set_order(&order.service, &order.target, version.0);
        let known = KnownOrder {
            order: order.clone(),
            version,
            read_at: Instant::now(),
            is_change,
        };
        orders.insert(order.service, known);
    }
}

impl TableObserver for OperatorObserver {
    fn on_snapshot(&mut self, snapshot: Snapshot) {
        self.apply_rows(&snapshot.rows, false, snapshot.is_restored);
        self.routes.on_snapshot(snapshot);
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        self.apply_rows(&rows, true, false);
        self.routes.on_changes(rows);
    }

    fn on_unavailable(&mut self, error: &Error) {
        self.routes.on_unavailable(error);
    }

    fn on_available(&mut self) {
        self.routes.on_available();
    }
}
