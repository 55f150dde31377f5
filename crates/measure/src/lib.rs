//! Measurements of verbenahead against baselines.

pub mod leaving;
pub mod manifest_spread;
pub mod membership_cost;
pub mod record;
pub mod registry;
pub mod spread;
