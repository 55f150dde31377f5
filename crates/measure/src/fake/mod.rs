//! Small fakes of replicas and callers, driven by events in simulated time.
//!
//! A replica is a queue before a batch, one prompt processor and a prefix cache. Nothing else of
//! a deployment is imitated.

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
