//! Logs and metrics of a process.

pub mod gauge_guard;
pub mod line_writer;
pub mod logs;
pub mod metrics;
pub mod platform_meter;
pub mod rate_limit;
pub mod relay_metrics;
