//! A bound on the log lines of each kind.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use tracing::{Event, Subscriber, callsite::Identifier};
use tracing_subscriber::layer::{Context, Filter};
use verbenahead_core::HashMap;

use super::line_writer::LineWriter;

/// `SamplingOptions` bound the lines of one kind, which is one place of the code.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SamplingOptions {
    /// Lines per second over time. At some 400 bytes each they come to 40 KB/s.
    pub rate: f64,
    /// Lines that may come at once.
    pub burst: f64,
    /// Time between two notes on the lines of one kind that were left out.
    pub note_every: Duration,
}

impl Default for SamplingOptions {
    fn default() -> Self {
        Self {
            rate: 100.0,
            burst: 500.0,
            note_every: Duration::from_secs(1),
        }
    }
}

/// `Sampling` lets a bounded number of lines of each kind pass, and notes how many it left out.
#[derive(Debug)]
pub struct Sampling {
    options: SamplingOptions,
    writer: LineWriter,
    kinds: Mutex<HashMap<Identifier, Kind>>,
}

#[derive(Debug)]
struct Kind {
    level: f64,
    filled_at: Instant,
    left_out: u64,
    noted_at: Instant,
}

impl Sampling {
    /// Builds a sampling that writes its notes to `writer`.
    pub fn new(options: SamplingOptions, writer: LineWriter) -> Self {
        Self {
            options,
            writer,
            kinds: Mutex::default(),
        }
    }

    /// Returns whether the line may pass, and how many were left out that are to be noted now.
    fn pass(&self, kind: Identifier, now: Instant) -> (bool, Option<u64>) {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let known = kinds.entry(kind).or_insert_with(|| Kind {
            level: self.options.burst,
            filled_at: now,
            left_out: 0,
            noted_at: now,
        });
        let elapsed = now.saturating_duration_since(known.filled_at);
        let filled = known.level + elapsed.as_secs_f64() * self.options.rate;
        known.level = filled.min(self.options.burst);
        known.filled_at = now;
        let passes = known.level >= 1.0;
        if passes {
            known.level -= 1.0;
        } else {
            known.left_out += 1;
        }
        let since_note = now.saturating_duration_since(known.noted_at);
        if known.left_out == 0 || since_note < self.options.note_every {
            return (passes, None);
        }
        known.noted_at = now;
        (passes, Some(std::mem::take(&mut known.left_out)))
    }
}

impl<S: Subscriber> Filter<S> for Sampling {
    fn enabled(&self, _: &tracing::Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let (passes, left_out) = self.pass(metadata.callsite(), Instant::now());
        if let Some(count) = left_out {
            let place = metadata.target();
            let line = metadata.line().unwrap_or_default();
            self.writer.note(format_args!(
                r#"{{"level":"WARN","message":"log lines left out","place":"{place}:{line}","count":{count}}}"#
            ));
        }
        passes
    }
}
