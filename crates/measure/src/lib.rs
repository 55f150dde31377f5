//! Measurements of verbenahead against baselines.

pub mod record;
pub mod registry;
