//! Logs and metrics of a process.

pub mod logs;
pub mod metrics;
