//! Log lines in JSON.

use std::io;

use tracing_subscriber::{
    EnvFilter, Layer, filter::FilterExt, layer::SubscriberExt, util::SubscriberInitExt,
};

use super::{
    line_writer::LineWriter,
    sampling::{Sampling, SamplingOptions},
};

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

/// Writes the log as JSON lines on standard output from now on. Nothing that logs ever waits for
/// the reader of the output, and the lines of each kind are bounded.
///
/// # Errors
///
/// When the filter is not valid, when the process logs already or when no thread can be started.
pub fn init_bounded(filter: &str) -> anyhow::Result<LineWriter> {
    let filter = EnvFilter::try_new(filter)?;
    let writer = LineWriter::spawn(io::stdout())?;
    let sampling = Sampling::new(SamplingOptions::default(), writer.clone());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer.clone());
    tracing_subscriber::registry()
        .with(lines.with_filter(filter.and(sampling)))
        .try_init()?;
    Ok(writer)
}
