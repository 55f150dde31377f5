//! Randomised runs of relaying nodes: configurations, leaving replicas, faults of the store and signals
//! to nodes, in series and overlapping, under callers that record the end of every request.

pub mod caller;
pub mod configuration;
pub mod end_reason;
pub mod faults;
pub mod fleet;
pub mod judge;
pub mod memory;
pub mod node;
pub mod options;
pub mod records;
mod replacement;
pub mod report;
pub mod restores;
pub mod run;
pub mod runs;
pub mod schedule;
pub mod totals;

pub use options::RelaySoakOptions;
pub use report::{RelayOutcome, RelayReport};
pub use run::run;
