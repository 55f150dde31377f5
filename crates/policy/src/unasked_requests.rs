//! Requests that a node admits before the collector of their quota has granted them.
//!
//! Such a request is charged whatever the collector answers. What all nodes admit between the exhaustion of
//! a quota and the answers that tell them of it is bounded: each node has an equal part of the bound, from
//! which a request takes its units until its answer arrives, and after a refusal it asks first.

use crate::{quota_bucket::QuotaLimit, quota_tolerance::QuotaTolerance, time::Timestamp};

/// `UnaskedOptions` sets which requests are admitted before their grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnaskedOptions {
    /// Largest size of a request, as a part of the burst.
    pub max_request: f64,
    /// Largest sum of the requests of all nodes whose answers are outstanding, as a part of the burst.
    pub max_outstanding: f64,
    /// Bound of the quota. The window is also the time for which a node asks first after a refusal, so that
    /// no window contains two exhausted parts of one node.
    pub tolerance: QuotaTolerance,
}

impl Default for UnaskedOptions {
    fn default() -> Self {
        Self {
            max_request: 0.002,
            max_outstanding: 0.2,
            tolerance: QuotaTolerance::default(),
        }
    }
}

/// `UnaskedRequests` tracks the requests to one quota that one node admitted before their grant.
#[derive(Debug, Clone, Default)]
pub struct UnaskedRequests {
    /// Units of requests without an answer.
    outstanding: f64,
    ask_first_until: Timestamp,
}

impl UnaskedRequests {
    /// Admits a request before its grant, if that is allowed, in a deployment of `nodes` nodes. Call
    /// [`settle`](Self::settle) when its answer is known.
    pub fn try_admit(
        &mut self,
        units: f64,
        limit: &QuotaLimit,
        nodes: usize,
        options: &UnaskedOptions,
        now: Timestamp,
    ) -> bool {
        let tolerance = &options.tolerance;
        let bound = tolerance.max_unasked(limit, options.max_outstanding) / nodes.max(1) as f64;
        let is_allowed = now >= self.ask_first_until
            && units <= limit.burst * options.max_request
            && self.outstanding + units <= bound;
        if is_allowed {
            self.outstanding += units;
        }
        is_allowed
    }

    /// Releases the units of an admitted request.
    pub fn settle(&mut self, units: f64) {
        self.outstanding = (self.outstanding - units).max(0.0);
    }

    /// Records that a request was refused, so that the next ones ask first.
    pub fn on_refusal(&mut self, options: &UnaskedOptions, now: Timestamp) {
        self.ask_first_until = now.plus(options.tolerance.window);
    }

    /// Returns whether the state equals that of a quota that was never used.
    pub fn is_idle(&self, now: Timestamp) -> bool {
        self.outstanding <= 0.0 && now >= self.ask_first_until
    }
}
