//! A node that relays requests between an operator's callers and replicas.

mod assembly;
pub mod readiness;
pub mod replica_observer;
pub mod route_observer;
mod run;

pub use run::run;
