//! Options of the spread of news.

use std::time::Duration;

/// `NewsOptions` sets the periods and bounds of the spread of news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewsOptions {
    /// Most pushes that are under way at the same time.
    pub max_concurrent_pushes: usize,
    /// Time within which a push has to be acknowledged.
    pub push_timeout: Duration,
    /// Tries for one push. What was not delivered after them is left to the exchanges.
    pub max_push_attempts: u32,
    /// Most items in one push. The rest follows in the next one.
    pub max_push_items: usize,
    /// Time between two looks at failed pushes and differing digests.
    pub repair_period: Duration,
    /// Time within which an exchange has to end.
    pub exchange_timeout: Duration,
    /// Time for which the news of an upstream is kept after its deadline or end. Must be longer
    /// than the lag of the platform's list and equal on all nodes.
    pub upstream_retention: Duration,
}

impl Default for NewsOptions {
    fn default() -> Self {
        Self {
            max_concurrent_pushes: 128,
            push_timeout: Duration::from_millis(500),
            max_push_attempts: 3,
            max_push_items: 256,
            repair_period: Duration::from_millis(200),
            exchange_timeout: Duration::from_secs(1),
            upstream_retention: Duration::from_secs(10 * 60),
        }
    }
}
