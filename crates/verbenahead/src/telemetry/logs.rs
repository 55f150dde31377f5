//! Set-up of logging as JSON lines.

use std::io;

use tracing_subscriber::{
    EnvFilter, Layer, filter::FilterExt, layer::SubscriberExt, util::SubscriberInitExt,
};

use super::{
    line_writer::LineWriter,
    rate_limit::{RateLimitFilter, RateLimitOptions},
};

/// Starts logging JSON lines to standard error.
///
/// # Errors
///
/// Returns an error when `filter` is invalid or logging is already set up.
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

/// Starts logging JSON lines to standard output. Logging never blocks on the reader of the output,
/// and the rate of lines from each callsite is limited.
///
/// # Errors
///
/// Returns an error when `filter` is invalid, logging is already set up or the writer thread cannot
/// be started.
pub fn init_bounded(filter: &str) -> anyhow::Result<LineWriter> {
    let filter = EnvFilter::try_new(filter)?;
    let writer = LineWriter::spawn(io::stdout())?;
    let rate_limit = RateLimitFilter::new(RateLimitOptions::default(), writer.clone());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer.clone());
    tracing_subscriber::registry()
        .with(lines.with_filter(filter.and(rate_limit)))
        .try_init()?;
    Ok(writer)
}
