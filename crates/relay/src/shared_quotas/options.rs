//! Options of the quotas that all nodes share.

use std::time::Duration;

use verbenahead_policy::{
    CollectorChoiceOptions, CollectorTimingOptions, QuotaCollectorOptions, QuotaTolerance,
};

/// `SharedQuotasOptions` sets the time limits of requests for grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedQuotasOptions {
    /// Parameters of the quotas that this node collects.
    pub collector: QuotaCollectorOptions,
    /// Parameters of the choice of collectors.
    pub choice: CollectorChoiceOptions,
    /// Bounds of the time after which a collector that has not answered is passed over.
    pub timing: CollectorTimingOptions,
    /// Time after which an unanswered request is sent again.
    pub resend_after: Duration,
    /// Further time for the answer to a request that was passed on.
    pub pass_on_timeout: Duration,
    /// Time after which no further collector is asked for a grant.
    pub total_timeout: Duration,
    /// Time up to which a late answer to a request is still used. A request that no node decided waits for it.
    pub late_timeout: Duration,
}

impl Default for SharedQuotasOptions {
    fn default() -> Self {
        Self {
            collector: QuotaCollectorOptions::default(),
            timing: CollectorTimingOptions::default(),
            choice: CollectorChoiceOptions::default(),
            resend_after: Duration::from_millis(80),
            pass_on_timeout: Duration::from_millis(300),
            total_timeout: Duration::from_millis(800),
            late_timeout: Duration::from_millis(1_500),
        }
    }
}

impl SharedQuotasOptions {
    /// Returns options for quotas that may be exceeded by `tolerance`.
    pub fn new(tolerance: QuotaTolerance) -> Self {
        let mut options = Self::default();
        options.collector.quotas.tolerance = tolerance;
        options
    }
}
