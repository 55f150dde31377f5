//! Quotas of workspaces.

use verbenahead_core::units::Tokens;

/// `QuotaUnit` is the unit that a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as the sum of its prompt tokens and its maximum answer tokens.
    Tokens {
        /// Cost of a request that states no token counts.
        default_cost: Tokens,
    },
}

/// `Quota` limits the requests of a workspace over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Unit that is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: f64,
    /// Maximum number of units that can be used at once after an idle period.
    pub burst: f64,
}

impl Quota {
    /// Returns the cost of a request in units. `size` is the sum of its prompt tokens and maximum
    /// answer tokens, if it states them.
    pub fn cost(&self, size: Option<Tokens>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_cost } => size.unwrap_or(default_cost).0,
        }
    }
}
