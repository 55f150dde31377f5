//! Log lines in JSON.

use std::io;

use tracing_subscriber::{EnvFilter, Layer, layer::SubscriberExt, util::SubscriberInitExt};

/// Writes the log as JSON lines on standard error from now on.
///
/// # Errors
///
/// When the filter is not valid, or when the process logs already.
pub fn init(filter: &str) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(filter)?;
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(true)
        .with_span_list(false)
        .with_writer(io::stderr);
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .try_init()?;
    Ok(())
}
