//! Rate limit on the log lines of each callsite.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use tracing::{Event, Subscriber, callsite::Identifier};
use tracing_subscriber::layer::{Context, Filter};
use verbenahead_core::HashMap;

use super::line_writer::LineWriter;

/// `RateLimitOptions` configures the token bucket of each callsite.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitOptions {
    /// Sustained rate, in lines per second. At about 400 bytes per line, the default is 40 KB/s.
    pub rate: f64,
    /// Maximum number of lines in a burst.
    pub burst: f64,
    /// Minimum interval between two notices about suppressed lines of one callsite.
    pub notice_interval: Duration,
}

impl Default for RateLimitOptions {
    fn default() -> Self {
        Self {
            rate: 100.0,
            burst: 500.0,
            notice_interval: Duration::from_secs(1),
        }
    }
}

/// `RateLimitFilter` limits the rate of log lines of each callsite and logs how many lines it
/// suppressed.
#[derive(Debug)]
pub struct RateLimitFilter {
    options: RateLimitOptions,
    writer: LineWriter,
    buckets: Mutex<HashMap<Identifier, Bucket>>,
}

/// `Bucket` is the token bucket of one callsite.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    suppressed: u64,
    last_notice_at: Instant,
}

impl RateLimitFilter {
    /// Builds a filter that writes its notices to `writer`.
    pub fn new(options: RateLimitOptions, writer: LineWriter) -> Self {
        Self {
            options,
            writer,
            buckets: Mutex::default(),
        }
    }

    /// Returns whether a line may be logged, and the number of suppressed lines if a notice is due.
    fn admit(&self, callsite: Identifier, now: Instant) -> (bool, Option<u64>) {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(callsite).or_insert_with(|| Bucket {
            tokens: self.options.burst,
            refilled_at: now,
            suppressed: 0,
            last_notice_at: now,
        });
        let elapsed = now.saturating_duration_since(bucket.refilled_at);
        let refilled = bucket.tokens + elapsed.as_secs_f64() * self.options.rate;
        bucket.tokens = refilled.min(self.options.burst);
        bucket.refilled_at = now;
        let is_admitted = bucket.tokens >= 1.0;
        if is_admitted {
            bucket.tokens -= 1.0;
        } else {
            bucket.suppressed += 1;
        }
        let since_notice = now.saturating_duration_since(bucket.last_notice_at);
        if bucket.suppressed == 0 || since_notice < self.options.notice_interval {
            return (is_admitted, None);
        }
        bucket.last_notice_at = now;
        (is_admitted, Some(std::mem::take(&mut bucket.suppressed)))
    }
}

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &tracing::Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let (is_admitted, suppressed) = self.admit(metadata.callsite(), Instant::now());
        if let Some(count) = suppressed {
            let place = metadata.target();
            let line = metadata.line().unwrap_or_default();
            self.writer.write_line(format_args!(
                r#"{{"level":"WARN","message":"log lines left out","place":"{place}:{line}","count":{count}}}"#
            ));
        }
        is_admitted
    }
}
