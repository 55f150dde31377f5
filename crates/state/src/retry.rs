//! Conditional writes that are repeated until their outcome is known.
//!
//! A repeated write carries the same condition as the first one. As a version never comes back,
//! at most one of them takes effect, and one that is delayed on its way is refused as soon as
//! another has changed the row.

use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout_at};
use verbenahead_core::invariant;
use verbenahead_services::{Refusal, Row, RowKey, Table, Version, Write, WriteOutcome};

use crate::errors::{Error, Result};

/// `RetryOptions` bounds the repetition of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryOptions {
    /// Longest time of one operation with all its repetitions.
    pub deadline: Duration,
    /// Longest time of one call. A write that takes longer has an unknown outcome. It must exceed
    /// the time limit of the platform's adapter, which replaces connections that went silent.
    pub call_timeout: Duration,
    /// Pause before the first repetition. It doubles with each further one.
    pub first_backoff: Duration,
    /// Longest pause between two repetitions.
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

/// `WriteResult` is the outcome of a write with all its repetitions.
#[derive(Debug)]
pub(crate) enum WriteResult {
    /// The write took effect.
    Done(Vec<Version>),
    /// The last repetition was refused. When an earlier one was unknown, it may be the one that
    /// changed the row, so the caller compares the row with what it wrote.
    Refused(Refusal),
    /// The deadline passed first.
    Unavailable {
        /// What went wrong last.
        reason: String,
        /// Whether the write may have taken effect or may still do so.
        may_apply: bool,
    },
}

/// `Backoff` paces the repetitions of one operation.
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

    /// Returns the deadline of the next call.
    pub(crate) fn call_deadline(&self) -> Instant {
        (Instant::now() + self.options.call_timeout).min(self.deadline)
    }

    /// Waits before the next repetition. Returns whether there is time left for one.
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

/// Writes until the outcome is known.
pub(crate) async fn write_with_retries(
    table: &dyn Table,
    writes: Vec<Write>,
    options: RetryOptions,
) -> WriteResult {
    let expected = writes.len();
    let mut repetition = Backoff::start(options);
    let mut may_apply = false;
    loop {
        let call = table.write(writes.clone());
        let outcome = timeout_at(repetition.call_deadline(), call)
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
        if !repetition.pause().await {
            return WriteResult::Unavailable { reason, may_apply };
        }
    }
}

/// Reads a row, repeating failed reads until the deadline.
pub(crate) async fn read_with_retries(
    table: &dyn Table,
    key: &RowKey,
    options: RetryOptions,
) -> Result<Option<Row>> {
    let mut repetition = Backoff::start(options);
    loop {
        let reason = match timeout_at(repetition.call_deadline(), table.read(key)).await {
            Ok(Ok(row)) => return Ok(row),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the call timed out".to_owned(),
        };
        if !repetition.pause().await {
            return Err(Error::unavailable(reason));
        }
    }
}
