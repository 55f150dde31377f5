//! Measurements of verbenahead against baselines.

pub mod ledger;
pub mod record;
pub mod registry;
