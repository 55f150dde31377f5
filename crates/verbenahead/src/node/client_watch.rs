//! Observes the connections of clients, and reports those that were closed for their use of the node.

use std::{collections::BTreeMap, time::Duration};

use prometheus::IntCounterVec;
use tokio::time::{Instant, MissedTickBehavior, interval};
use verbenahead_relay::{CloseReason, Closed, MemoryBudget, OBSERVE_INTERVAL};

/// Shortest time between two log lines for the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Observes the connections until `head_timeout`, which returns the time limit for the head of a request, returns `None`.
/// Closed connections are counted in `counter` by their reason.
pub async fn run(
    budget: MemoryBudget,
    head_timeout: impl Fn() -> Option<Duration>,
    counter: IntCounterVec,
) {
    let mut ticks = interval(OBSERVE_INTERVAL);
    // A node that was held up must not take the time for that of its clients.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unreported = BTreeMap::<CloseReason, Closed>::new();
    let mut reported_at = Instant::now();
    while let Some(head_timeout) = head_timeout() {
        ticks.tick().await;
        budget.observe(head_timeout);
        for (reason, closed) in budget.take_closed() {
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
