//! Logs and metrics of a process.

pub mod logs;
