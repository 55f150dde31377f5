//! Measurements of verbenahead against baselines.

pub mod burn;
pub mod cost_at_latency;
pub mod decision_time;
pub mod fairness;
pub mod fake;
pub mod goodput;
pub mod leaving;
pub mod ledger;
pub mod manifest_spread;
pub mod membership_cost;
pub mod overhead;
pub mod recomputed_tokens;
pub mod record;
pub mod registry;
pub mod router;
pub mod slopes;
pub mod spread;
pub mod summary;
