//! Options of the ledger.

use std::time::Duration;

use crate::retry::RetryOptions;

/// `LedgerOptions` bounds the times and sizes of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerOptions {
    /// Bounds of one operation against the table.
    pub retry: RetryOptions,
    /// Longest time of one operation while the table is known not to answer.
    pub outage_deadline: Duration,
    /// Age from which a claim may be taken by another attempt, although its node lives.
    pub claim_limit: Duration,
    /// Time after which a caller whose key is in progress is told to ask again.
    pub retry_after: Duration,
    /// Time for which no attempt may claim a released row, so that `not_run` can be answered.
    pub quiet_period: Duration,
    /// Largest difference between the wall clocks of two nodes that `not_run` allows for.
    pub clock_margin: Duration,
    /// Shortest time for which a row is kept, whatever the manifest says. It must exceed the
    /// claim limit and the longest time of a request.
    pub min_retention: Duration,
    /// Largest body of an answer that a row keeps, in bytes.
    pub max_body: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            retry: RetryOptions::default(),
            outage_deadline: Duration::from_millis(250),
            claim_limit: Duration::from_secs(30),
            retry_after: Duration::from_secs(1),
            quiet_period: Duration::from_millis(1_500),
            clock_margin: Duration::from_millis(500),
            min_retention: Duration::from_secs(600),
            max_body: 64 * 1024,
        }
    }
}

impl LedgerOptions {
    /// Returns how long after a release `not_run` may be answered.
    pub(crate) fn proof_time(&self) -> Duration {
        self.quiet_period.saturating_sub(self.clock_margin)
    }
}
