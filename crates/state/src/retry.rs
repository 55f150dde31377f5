//! Reads and conditional writes that are retried until their outcome is known.
//!
//! A retried write carries the same condition as the first one. As a version never recurs, at most
//! one of them takes effect, and a delayed one is refused once another has changed the row.

use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout_at};
use verbenahead_core::invariant;
use verbenahead_services::{Refusal, Row, RowKey, Table, Version, Write, WriteOutcome};

use crate::errors::{Error, Result};

/// `RetryOptions` configures the retries of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryOptions {
    /// Time limit of one operation including its retries.
    pub deadline: Duration,
    /// Time limit of one call. A write that exceeds it has an unknown outcome. It must be longer
    /// than the call timeout of the platform's adapter, which replaces unresponsive connections.
    pub call_timeout: Duration,
    /// Pause before the first retry. It doubles with each further retry.
    pub first_backoff: Duration,
    /// Longest pause between two retries.
    pub max_backoff: Duration,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            deadline: Duration::from_millis(6_000),
            call_timeout: Duration::from_millis(2_500),
            first_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(200),
        }
    }
}

/// `WriteResult` is the outcome of a write including its retries.
#[derive(Debug)]
pub(crate) enum WriteResult {
    /// The write took effect.
    Done(Vec<Version>),
    /// The last try was refused. An earlier try with an unknown outcome may have changed the row,
    /// so the caller must compare the row with what it wrote.
    Refused(Refusal),
    /// The deadline passed before the outcome was known.
    Unavailable {
        /// Failure of the last try.
        reason: String,
        /// Whether the write may have taken effect or may still take effect.
        may_apply: bool,
    },
}

/// `Backoff` keeps the deadline and the pauses of one retried operation.
#[derive(Debug)]
pub(crate) struct Backoff {
    options: RetryOptions,
    deadline: Instant,
    backoff: Duration,
}

impl Backoff {
    pub(crate) fn start(options: RetryOptions) -> Self {
        Self {
            options,
            deadline: Instant::now() + options.deadline,
            backoff: options.first_backoff,
        }
    }

    /// Returns the deadline of a call that starts now.
    pub(crate) fn call_deadline(&self) -> Instant {
        (Instant::now() + self.options.call_timeout).min(self.deadline)
    }

    /// Waits before the next retry. Returns whether there is time for it.
    pub(crate) async fn pause(&mut self) -> bool {
        let next = Instant::now() + self.backoff;
        if next >= self.deadline {
            return false;
        }
        sleep_until(next).await;
        self.backoff = (self.backoff * 2).min(self.options.max_backoff);
        Instant::now() < self.deadline
    }
}

/// Writes rows, retrying with the same conditions until the outcome is known or the deadline
/// passes.
pub(crate) async fn write_with_retries(
    table: &dyn Table,
    writes: Vec<Write>,
    options: RetryOptions,
) -> WriteResult {
    let expected = writes.len();
    let mut backoff = Backoff::start(options);
    let mut may_apply = false;
    loop {
        let call = table.write(writes.clone());
        let outcome = timeout_at(backoff.call_deadline(), call)
            .await
            .unwrap_or_else(|_| WriteOutcome::Unknown("the call timed out".to_owned()));
        let reason = match outcome {
            WriteOutcome::Done(versions) if versions.len() == expected => {
                return WriteResult::Done(versions);
            }
            WriteOutcome::Done(versions) => {
                invariant!(
                    "table_answers_every_write",
                    false,
                    "{} versions for {expected} writes",
                    versions.len()
                );
                may_apply = true;
                "the answer has the wrong number of versions".to_owned()
            }
            WriteOutcome::Refused(refusal) => return WriteResult::Refused(refusal),
            WriteOutcome::Unknown(reason) => {
                may_apply = true;
                reason
            }
            WriteOutcome::NotSent(reason) => reason,
        };
        if !backoff.pause().await {
            return WriteResult::Unavailable { reason, may_apply };
        }
    }
}

/// Reads a row, retrying failed reads until the deadline passes.
pub(crate) async fn read_with_retries(
    table: &dyn Table,
    key: &RowKey,
    options: RetryOptions,
) -> Result<Option<Row>> {
    let mut backoff = Backoff::start(options);
    loop {
        let reason = match timeout_at(backoff.call_deadline(), table.read(key)).await {
            Ok(Ok(row)) => return Ok(row),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the call timed out".to_owned(),
        };
        if !backoff.pause().await {
            return Err(Error::unavailable(reason));
        }
    }
}
