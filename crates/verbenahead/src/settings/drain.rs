//! Settings of a graceful shutdown.

use std::time::Duration;

use verbenahead_core::document::Node;

const DRAIN_KEYS: &[&str] = &["balancer_pause_ms", "limit_ms"];

/// Longest drain, in milliseconds.
const MAX_DRAIN_MS: u64 = 24 * 60 * 60 * 1_000;

/// `DrainSettings` bound the phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time between failing the readiness check and closing the listeners. It lets the load
    /// balancer notice and stop sending requests.
    pub balancer_pause: Duration,
    /// Longest time for requests in progress to end or to be moved.
    pub limit: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            balancer_pause: Duration::from_secs(5),
            limit: Duration::from_secs(60),
        }
    }
}

/// Parses the drain settings. Absent keys take their defaults.
pub(super) fn read(node: &Node<'_>) -> Option<DrainSettings> {
    let object = node.object(DRAIN_KEYS)?;
    let default = DrainSettings::default();
    let balancer_pause = object.read_or("balancer_pause_ms", default.balancer_pause, |node| {
        node.millis(0..=MAX_DRAIN_MS)
    });
    let limit = object.read_or("limit_ms", default.limit, |node| {
        node.millis(1..=MAX_DRAIN_MS)
    });
    Some(DrainSettings {
        balancer_pause: balancer_pause?,
        limit: limit?,
    })
}
