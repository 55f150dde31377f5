//! The attempt at which a stream goes on. A response counts as such only with an event that follows the
//! last one that was forwarded, since everything after the first event is inside the caller's response.

use std::{sync::Arc, time::Duration};

use http::header;
use tokio::time::Instant;

use crate::{
    attempt::{Answered, Attempt},
    dialect::EventId,
    event_cursor::{EventCursor, StreamItem},
    events::StreamEvent,
    exchange::Exchange,
    own_answer::OwnAnswer,
    stall_timer::sleep_until_some,
};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// `Successor` is an attempt that goes on after the last forwarded event.
pub(crate) struct Successor {
    pub(crate) attempt: Attempt<Answered>,
    /// Holds the event with which it goes on.
    pub(crate) cursor: EventCursor,
}

/// `Rejection` is the reason why a response is not the continuation of a stream.
pub(crate) struct Rejection {
    pub(crate) reason: String,
    /// Whether the replica broke off the response, and may have crashed.
    pub(crate) is_break: bool,
}

impl Exchange {
    /// Makes attempts until one goes on after the last forwarded event.
    ///
    /// # Errors
    ///
    /// Returns the reason why no further attempt is allowed or possible.
    pub(crate) async fn next_successor(&mut self) -> Result<Successor, OwnAnswer> {
        let Some(last) = self.resume_after() else {
            // Without an id there is no place to go on at.
            return Err(self.given_up());
        };
        loop {
            let mut attempt = self.next_attempt().await?;
            let rejection = match rejected_head(&attempt) {
                Some(reason) => Rejection {
                    reason,
                    is_break: false,
                },
                None => match self.continuation(&mut attempt, last).await {
                    Ok(cursor) => return Ok(Successor { attempt, cursor }),
                    Err(rejection) => rejection,
                },
            };
            self.log_rejected(&attempt, &rejection.reason);
            if rejection.is_break {
                self.record_break(&attempt.upstream);
            }
            match attempt.head().status.is_success() {
                true => attempt.fail(),
                false => attempt.finish(),
            }
            self.check_retry(false)?;
        }
    }

    /// Reads the first event after `last`. Skips repeated events. A replica that is silent is left only if
    /// there is another one.
    async fn continuation(
        &self,
        attempt: &mut Attempt<Answered>,
        last: EventId,
    ) -> Result<EventCursor, Rejection> {
        let mut cursor = EventCursor::new(self.memory.another());
        let upstream = Arc::clone(&attempt.upstream);
        let is_direct = attempt.passed_on_by().is_none();
        let mut leave_at = self.silence_limit().map(|limit| Instant::now() + limit);
        let mut may_leave = is_direct;
        loop {
            let reason = tokio::select! {
                biased;
                item = cursor.next(attempt) => {
                    match self.judge(item, last)? {
                        Some(event) => {
                            cursor.pending = Some(event);
                            return Ok(cursor);
                        }
                        None => continue,
                    }
                }
                () = tokio::time::sleep_until(self.deadline) => "timed out before an event",
                () = sleep_until_some(leave_at) => {
                    leave_at = None;
                    "silent"
                }
                () = self.relay.direct_paths.wait_cut(&upstream), if may_leave => {
                    may_leave = false;
                    "cut off from this node"
                }
            };
            if Instant::now() >= self.deadline || self.may_go_elsewhere() {
                return Err(Rejection {
                    reason: reason.to_owned(),
                    is_break: false,
                });
            }
        }
    }

    /// Returns the event if it goes on after `last`, or `None` if it is to be skipped.
    pub(crate) fn judge(
        &self,
        item: StreamItem,
        last: EventId,
    ) -> Result<Option<StreamEvent>, Rejection> {
        let (reason, is_break) = match item {
            StreamItem::Event(event) => match event.id {
                Some(id) if id <= last => return Ok(None),
                Some(id) if id.0 == last.0 + 1 || self.progress.has_id_gaps => {
                    return Ok(Some(event));
                }
                Some(id) => (format!("event {id} follows event {last}"), false),
                None if event.is_comment() => return Ok(None),
                None => ("an event without an id".to_owned(), false),
            },
            StreamItem::End => ("the stream ended without a further event".to_owned(), false),
            StreamItem::Interrupted(reason) => (reason, true),
        };
        Err(Rejection { reason, is_break })
    }

    /// Returns the time after which a silent attempt counts as failed, or `None` without a limit.
    pub(crate) fn silence_limit(&self) -> Option<Duration> {
        let options = &self.relay.options;
        let gap = self.route.gap_objective?;
        Some(
            gap.mul_f64(options.resume_after_gaps)
                .max(options.silence_tolerance),
        )
    }

    /// Returns whether another attempt seems to be allowed and possible.
    fn may_go_elsewhere(&self) -> bool {
        let selector = &self.relay.replica_selector;
        let is_in_limits = self.progress.possible_runs < self.route.max_attempts;
        is_in_limits && selector.has_untried(self)
    }

    fn log_rejected(&self, attempt: &Attempt<Answered>, reason: &str) {
        tracing::info!(
            request = %self.caller.id,
            upstream = %attempt.upstream.address.upstream,
            attempt = self.progress.attempts,
            last_event = self.progress.last_event.map(|id| id.0),
            status = attempt.head().status.as_u16(),
            reason,
            "answer does not go on with the stream",
        );
    }
}

/// Returns why the head of a response is not that of a stream of events, or `None` if it is one.
pub(crate) fn rejected_head(attempt: &Attempt<Answered>) -> Option<String> {
    let head = attempt.head();
    if !head.status.is_success() {
        return Some(format!("status {}", head.status));
    }
    let media_type = head.headers.get(header::CONTENT_TYPE)?;
    let media_type = media_type.to_str().unwrap_or_default();
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    let is_stream = essence.eq_ignore_ascii_case(EVENT_STREAM);
    (!is_stream).then(|| format!("no stream but {media_type}"))
}
