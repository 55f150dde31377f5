//! Explains the outcome of one request from the logs of several nodes.

mod explanation;
mod line;

pub use explanation::RequestExplanation;
pub use line::{LogLine, read_log};
