//! The search for another replica while the present one still serves the stream. The present replica is left with
//! the first event of its successor, and is not left without one.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use tokio::time::{Instant, sleep_until};

use crate::{
    attempt::{Answered, Attempt},
    event_cursor::StreamItem,
    events::StreamEvent,
    own_answer::OwnAnswer,
    stream_forwarder::{Interruption, StreamForwarder, is_new},
    successor::Successor,
    upstream::UpstreamEntry,
};

/// Pause after a search without a successor. Each further one doubles it.
const SEARCH_PAUSE: Duration = Duration::from_millis(250);

/// Limit on the pause between two searches.
const MAX_SEARCH_PAUSE: Duration = Duration::from_secs(2);

/// Attempts that searches leave over for the time after the present replica.
pub(crate) const SPARE_ATTEMPTS: u32 = 2;

/// `LeaveReason` is the reason to leave a replica that may still serve the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum LeaveReason {
    /// The replica stops soon.
    #[display("replica leaves")]
    Leaves,
    /// New connections of this node do not reach the replica.
    #[display("cut off from this node")]
    CutOff,
    /// No event has arrived for long.
    #[display("silent")]
    Silent,
}

/// `SearchPause` is the time in which no successor is sought.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SearchPause {
    until: Option<Instant>,
    length: Duration,
}

impl SearchPause {
    /// Begins a pause, which is longer than the one before.
    pub(crate) fn begin(&mut self) {
        self.length = (2 * self.length).clamp(SEARCH_PAUSE, MAX_SEARCH_PAUSE);
        self.until = Some(Instant::now() + self.length);
    }

    /// Returns the end of the last pause, if there was one.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.until
    }

    pub(crate) fn is_over(&self) -> bool {
        self.until.is_none_or(|until| until <= Instant::now())
    }
}

/// `Sought` is the result of a search.
pub(crate) enum Sought {
    /// Another replica goes on with the stream.
    Successor {
        successor: Box<Successor>,
        /// Reason why the present replica broke the stream off meanwhile.
        broken: Option<String>,
    },
    /// The stream stays.
    Nothing,
    /// There is no successor, and the present replica has ended the stream or broken it off.
    Item(StreamItem),
    /// The stream is to end.
    Interrupted(Interruption),
}

/// `SearchEnd` is the event that ended a search.
enum SearchEnd {
    Found(Box<Successor>),
    NotFound(OwnAnswer),
    /// The silent replica has sent an event.
    GoesOn,
    /// The present replica has ended the stream.
    Complete,
    CallerGone,
    TimedOut,
}

impl StreamForwarder {
    /// Seeks another replica that goes on with the stream, and forwards the events of the present one until
    /// then.
    pub(crate) async fn seek(
        &mut self,
        attempt: &mut Attempt<Answered>,
        reason: LeaveReason,
    ) -> Sought {
        if let Err(obstacle) = self.begin_search(&attempt.upstream, reason) {
            self.stay(attempt, reason, &obstacle);
            return Sought::Nothing;
        }
        if reason == LeaveReason::Silent {
            attempt.record_fault();
        }
        let attempts = self.exchange.progress.attempts;
        let (end, broken) = self.forward_while_seeking(attempt, reason).await;
        let exchange = &mut self.exchange;
        exchange.progress.spare_attempts = 0;
        exchange.record_abandoned();
        if exchange.progress.attempts == attempts {
            exchange.relay.usage_tracker.return_retry(&exchange.service);
        }
        if let SearchEnd::Found(successor) = end {
            self.log_change(attempt, &successor, reason);
            return Sought::Successor { successor, broken };
        }
        exchange.set_last_tried(&attempt.upstream);
        match (end, broken) {
            (SearchEnd::CallerGone, _) => Sought::Interrupted(Interruption::CallerGone),
            (SearchEnd::TimedOut, _) => Sought::Interrupted(Interruption::TimedOut),
            (_, Some(broken)) => Sought::Item(StreamItem::Interrupted(broken)),
            (SearchEnd::Complete, None) => Sought::Item(StreamItem::End),
            (SearchEnd::NotFound(own), None) => {
                self.stay(attempt, reason, &own.reason.to_string());
                Sought::Nothing
            }
            (SearchEnd::GoesOn | SearchEnd::Found(_), None) => Sought::Nothing,
        }
    }

    /// Takes a retry for a search from the budget. Returns the obstacle if no other replica may be asked.
    fn begin_search(
        &mut self,
        upstream: &Arc<UpstreamEntry>,
        reason: LeaveReason,
    ) -> Result<(), String> {
        let exchange = &mut self.exchange;
        if exchange.progress.last_event.is_none() {
            return Err("no event with an id".to_owned());
        }
        let selector = &exchange.relay.replica_selector;
        if !selector.has_other(exchange, upstream) {
            return Err("no other replica".to_owned());
        }
        exchange.keep_only_last_tried();
        exchange.progress.spare_attempts = SPARE_ATTEMPTS;
        let checked = match reason {
            // A replica that is cut off does not count as one that runs the request.
            LeaveReason::CutOff => exchange.check_repeat(),
            LeaveReason::Leaves | LeaveReason::Silent => exchange.check_retry(false),
        };
        checked.map_err(|own| {
            exchange.progress.spare_attempts = 0;
            format!("no further attempt: {}", own.reason)
        })
    }

    /// Forwards events until the search ends. Returns the reason why the present replica broke the stream
    /// off, if it did.
    async fn forward_while_seeking(
        &mut self,
        attempt: &mut Attempt<Answered>,
        reason: LeaveReason,
    ) -> (SearchEnd, Option<String>) {
        let Self {
            exchange,
            cursor,
            tx,
            events,
            run_event,
            is_resumed,
            ..
        } = self;
        let deadline = exchange.deadline;
        let mut forwarded = exchange.progress.forwarded_ids();
        // An event that waits for room in the channel.
        let mut held: Option<StreamEvent> = None;
        let mut broken = None;
        let end = {
            let search = exchange.next_successor();
            tokio::pin!(search);
            loop {
                let item = tokio::select! {
                    biased;
                    found = &mut search => break match found {
                        Ok(successor) => SearchEnd::Found(Box::new(successor)),
                        Err(own) => SearchEnd::NotFound(own),
                    },
                    () = tx.closed() => break SearchEnd::CallerGone,
                    permit = tx.reserve(), if held.is_some() => {
                        let (Ok(permit), Some(event)) = (permit, held.take()) else {
                            break SearchEnd::CallerGone;
                        };
                        let is_comment = event.is_comment();
                        forwarded.record(event.id);
                        *events += 1;
                        permit.send(event.bytes);
                        if reason == LeaveReason::Silent && !is_comment {
                            break SearchEnd::GoesOn;
                        }
                        continue;
                    }
                    item = cursor.next(attempt), if held.is_none() && broken.is_none() => item,
                    () = sleep_until(deadline) => break SearchEnd::TimedOut,
                };
                match item {
                    StreamItem::Event(event) => {
                        *run_event = event.id.or(*run_event);
                        match is_new(&event, forwarded.last, *is_resumed) {
                            Ok(true) => held = Some(event),
                            Ok(false) => {}
                            Err(reason) => broken = Some(reason.to_owned()),
                        }
                    }
                    StreamItem::End if *is_resumed && *run_event < forwarded.last => {
                        let reason = "the stream ended before the last forwarded event";
                        broken = Some(reason.to_owned());
                    }
                    StreamItem::End => break SearchEnd::Complete,
                    StreamItem::Interrupted(reason) => broken = Some(reason),
                }
            }
        };
        exchange.progress.set_forwarded_ids(forwarded);
        // A successor sends the event itself.
        if !matches!(end, SearchEnd::Found(_)) && held.is_some() {
            cursor.pending = held;
        }
        (end, broken)
    }

    /// Logs that the stream stays, and lets some time pass before the next search.
    fn stay(&mut self, attempt: &Attempt<Answered>, reason: LeaveReason, obstacle: &str) {
        self.search_pause.begin();
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            status = %attempt.upstream.status(),
            last_event = self.exchange.progress.last_event.map(|id| id.0),
            attempts = self.exchange.progress.attempts,
            %reason,
            obstacle,
            pause_ms = self.search_pause.length.as_millis() as u64,
            "stream stays at its replica",
        );
    }

    fn log_change(&self, attempt: &Attempt<Answered>, successor: &Successor, reason: LeaveReason) {
        let exchange = &self.exchange;
        exchange.relay.observer.stream_resumed(&exchange.service);
        tracing::info!(
            request = %exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            to = %successor.attempt.upstream.address.upstream,
            status = %attempt.upstream.status(),
            generation = exchange.generation.0,
            generation_in_force = exchange.generation_in_force(),
            last_event = exchange.progress.last_event.map(|id| id.0),
            attempts = exchange.progress.attempts,
            %reason,
            "stream goes on at another replica",
        );
    }
}
