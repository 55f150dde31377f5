//! Options of the ledger.

use std::time::Duration;

use crate::retry::RetryOptions;

/// `LedgerOptions` holds the time and size limits of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerOptions {
    /// Retries and deadlines of one operation on the table.
    pub retry: RetryOptions,
    /// Deadline of one operation while the table is known to be down.
    pub outage_deadline: Duration,
    /// Age at which another attempt may take over a claim although its node is alive.
    pub claim_timeout: Duration,
    /// Delay after which a caller whose key is in progress is told to retry.
    pub retry_after: Duration,
    /// Time after a release during which no attempt may claim the row, so that `not_run` can be
    /// answered.
    pub release_cooldown: Duration,
    /// Largest clock skew between two nodes that the answer `not_run` allows for.
    pub clock_margin: Duration,
    /// Lower bound of a row's retention, whatever the manifest says. It must exceed the claim
    /// timeout and the longest duration of a request.
    pub min_retention: Duration,
    /// Size in bytes of the largest response body that a row stores.
    pub max_body: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            retry: RetryOptions::default(),
            outage_deadline: Duration::from_millis(250),
            claim_timeout: Duration::from_secs(30),
            retry_after: Duration::from_secs(1),
            release_cooldown: Duration::from_millis(1_500),
            clock_margin: Duration::from_millis(500),
            min_retention: Duration::from_secs(600),
            max_body: 64 * 1024,
        }
    }
}

impl LedgerOptions {
    /// Returns how long after a release `not_run` may be answered.
    pub(crate) fn proof_validity(&self) -> Duration {
        self.release_cooldown.saturating_sub(self.clock_margin)
    }
}
