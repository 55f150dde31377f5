//! Discrete-event simulation of fake replicas and callers.
//!
//! A replica is a queue in front of a batch, one prompt processor and a prefix cache. Nothing else
//! of a deployment is simulated.

pub mod admission;
pub mod cache;
mod callers;
pub mod conditions;
pub mod fleet;
pub mod job;
pub mod moves;
pub mod outcome;
pub mod profile;
pub mod replica;
mod reports;
pub mod retry;
pub mod run;
pub mod schedule;
pub mod workload;
