//! Measurements of verbenahead against baselines.

pub mod decision_time;
pub mod fake;
pub mod goodput;
pub mod ledger;
pub mod recomputed_tokens;
pub mod record;
pub mod registry;
pub mod router;
pub mod summary;
