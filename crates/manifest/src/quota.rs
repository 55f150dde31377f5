//! Quotas of workspaces.

use verbenahead_core::units::Tokens;

/// `QuotaUnit` is what a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as the tokens of its prompt and of its longest answer.
    Tokens {
        /// What a request without token counts counts as.
        default_cost: Tokens,
    },
}

/// `Quota` limits a workspace over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
}

impl Quota {
    /// Returns what a request counts as. `size` is the size of its prompt and longest answer, if
    /// it tells one.
    pub fn cost(&self, size: Option<Tokens>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_cost } => size.unwrap_or(default_cost).0,
        }
    }
}
