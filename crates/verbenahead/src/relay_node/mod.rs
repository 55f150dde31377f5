//! A node that relays requests between an operator's callers and replicas.

mod assembly;
pub mod budget;
pub mod duties;
pub mod duty_epoch;
pub mod duty_lease;
pub mod feature_keeper;
pub mod fleet_demand;
pub mod fleet_duty;
pub mod history_keeper;
pub mod load_news;
pub mod metrics_listener;
pub mod node_directory;
pub mod origin_keeper;
pub mod placement_bytes;
mod quarantine_keeper;
pub mod readiness;
pub mod reload;
pub mod replica_observer;
pub mod reporter;
pub mod restore_settling;
pub mod rollout_control;
pub mod rollout_counts;
pub mod rollout_duty;
pub mod rollout_orders;
pub mod route_gate;
pub mod route_observer;
mod run;
pub mod stream_directory;
pub mod stream_keeper;
pub mod usage_counts;
pub mod usage_duty;
pub mod zone_readers;

pub use run::run;
