//! Observes the connections of clients, and reports those that were closed for their use of the node.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::{Instant, MissedTickBehavior, interval};
use verbenahead_relay::{CloseReason, Closed, MemoryBudget, OBSERVE_INTERVAL, RouteView};

use crate::telemetry::relay_metrics::RelayMetrics;

/// Time limit for the head of a request until the first routes are known.
const INITIAL_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortest time between two log lines for the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Observes the connections until the routes are closed.
pub(super) async fn run(budget: MemoryBudget, routes: RouteView, metrics: RelayMetrics) {
    let mut ticks = interval(OBSERVE_INTERVAL);
    // A node that was held up must not take the time for that of its clients.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unreported = BTreeMap::<CloseReason, Closed>::new();
    let mut reported_at = Instant::now();
    while routes.has_changed().is_ok() {
        ticks.tick().await;
        let head_timeout = routes.borrow().as_ref().map(|r| r.limits().header_timeout);
        budget.observe(head_timeout.unwrap_or(INITIAL_HEAD_TIMEOUT));
        for (reason, closed) in budget.take_closed() {
            let counter = &metrics.connections_closed;
            counter
                .with_label_values(&[&reason.to_string()])
                .inc_by(closed.count);
            unreported.entry(reason).or_default().merge(closed);
        }
        if !unreported.is_empty() && reported_at.elapsed() >= LOG_INTERVAL {
            reported_at = Instant::now();
            for (reason, closed) in std::mem::take(&mut unreported) {
                tracing::warn!(
                    %reason,
                    connections = closed.count,
                    held = closed.held,
                    last_client = closed.last.map(tracing::field::display),
                    used = budget.used(),
                    limit = budget.limit(),
                    "connections of clients closed",
                );
            }
        }
    }
}
