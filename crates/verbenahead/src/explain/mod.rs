//! What became of one request, put together from the logs of several nodes.

mod account;
mod line;

pub use account::RequestAccount;
pub use line::{LogLine, read_log};
