//! Forwards the events of a stream to the caller, across several attempts if needed.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, sleep_until};
use verbenahead_policy::{MoveMarginOptions, move_margin};

use crate::{
    attempt::{Answered, Attempt},
    dialect::EventId,
    direct_paths::DirectPaths,
    event_cursor::{EventCursor, StreamItem},
    events::StreamEvent,
    exchange::Exchange,
    observe::RequestResult,
    response_body::{BodySender, SendChunkError},
    stall_timer::{ProbeResult, StallTimer, sleep_until_some},
    stream_search::{LeaveReason, SearchPause, Sought},
    upstream::{UpstreamEntry, UpstreamStatus},
};

/// Time after the first event of an attempt in which the prompt is suspected if the replica crashes.
const CRASH_SUSPICION: Duration = Duration::from_secs(1);

/// Time before the announced stop of a replica at which a stream is resumed at another one.
const RESUME_MARGIN: Duration = Duration::from_millis(700);

/// Reason of the end of a stream whose run may have been stopped for a move.
pub(crate) const UNCLEAR_END: &str = "ended during a move, and not known to be complete";

/// `StreamForwarder` forwards the events of a stream to the caller, across several attempts if
/// needed.
pub(crate) struct StreamForwarder {
    pub(crate) exchange: Exchange,
    /// Attempt whose events are forwarded next. [`Self::forward_attempt`] takes it.
    pub(crate) attempt: Option<Attempt<Answered>>,
    pub(crate) cursor: EventCursor,
    pub(crate) tx: BodySender,
    /// Number of forwarded events.
    pub(crate) events: u64,
    /// Whether the run may be moved to another replica.
    pub(crate) may_move: bool,
    /// Time before which no move is tried, after one that failed.
    pub(crate) move_after: Option<Instant>,
    /// Whether the run of the current attempt may have been stopped, by a call whose outcome is not known.
    pub(crate) may_be_stopped: bool,
    /// Whether the current attempt resumes the stream.
    pub(crate) is_resumed: bool,
    /// Last event of the current attempt, which may have been skipped.
    pub(crate) run_event: Option<EventId>,
    /// Time before which no successor is sought again.
    pub(crate) search_pause: SearchPause,
}

/// `Interruption` is the reason why a stream does not continue at its replica.
pub(crate) enum Interruption {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerGone,
    /// The deadline of the request has passed.
    TimedOut,
    /// The replica broke off the stream.
    Replica(String),
    /// The stream goes on at another replica, whose attempt is the current one.
    Replaced,
}

impl StreamForwarder {
    /// Forwards the stream to its end and reports the end of the request.
    pub(crate) async fn run(mut self) {
        let (result, outcome) = loop {
            match self.forward_attempt().await {
                Interruption::Complete => {
                    self.exchange.record_complete();
                    break (RequestResult::Answered, "answered".to_owned());
                }
                Interruption::Replaced => {}
                Interruption::CallerGone => break caller_left(),
                Interruption::TimedOut => break self.cut_off("timed out"),
                Interruption::Replica(reason) => {
                    if let Err(outcome) = self.resume(&reason).await {
                        break self.cut_off(&outcome);
                    }
                }
            }
        };
        let outcome = format!("{outcome} after {} events", self.events);
        if result == RequestResult::Answered {
            self.tx.complete();
        }
        self.exchange.end(result, "200", &outcome);
    }

    /// Returns the end of a response that the caller sees as incomplete.
    fn cut_off(&self, outcome: &str) -> (RequestResult, String) {
        if self.tx.is_closed() {
            return caller_left();
        }
        (RequestResult::CutOff, outcome.to_owned())
    }

    /// Forwards the events of the current attempt until it is interrupted.
    async fn forward_attempt(&mut self) -> Interruption {
        let Some(mut attempt) = self.attempt.take() else {
            return Interruption::Replica("no attempt".to_owned());
        };
        // Only a node that reaches the replica can move the run.
        self.may_move &= attempt.passed_on_by().is_none();
        let mut status = attempt.upstream.watch_status();
        let mut stall = self.stall_timer();
        let mut first_event_at = None;
        let direct_paths = Arc::clone(&self.exchange.relay.direct_paths);
        let may_leave = self.can_resume() && attempt.passed_on_by().is_none();
        loop {
            let upstream = Arc::clone(&attempt.upstream);
            let leave_at = self.leave_time(&upstream, *status.borrow_and_update());
            let next = tokio::select! {
                biased;
                item = self.cursor.next(&mut attempt) => Next::Item(item),
                () = self.tx.closed() => return Interruption::CallerGone,
                () = sleep_until(self.exchange.deadline) => return Interruption::TimedOut,
                () = sleep_until_some(stall.deadline()) => {
                    let probed = match stall.is_expired() {
                        true => ProbeResult::Gone,
                        false => self.probe(&attempt).await,
                    };
                    if probed != ProbeResult::Gone {
                        stall.record_probe(probed);
                        continue;
                    }
                    Next::Leave(LeaveReason::Silent)
                }
                () = wait_cut(&direct_paths, &upstream, self.search_pause), if may_leave => {
                    Next::Leave(LeaveReason::CutOff)
                }
                () = sleep_until_some(leave_at), if !self.must_move() => {
                    Next::Leave(LeaveReason::Leaves)
                }
                () = sleep_until_some(leave_at) => {
                    match self.move_away(attempt).await {
                        Ok(next) => attempt = next,
                        Err(interruption) => return interruption,
                    }
                    status = attempt.upstream.watch_status();
                    stall = self.stall_timer();
                    continue;
                }
                changed = status.changed() => {
                    if changed.is_err() {
                        return Interruption::Replica("replica forgotten".to_owned());
                    }
                    continue;
                }
            };
            let item = match next {
                Next::Item(item) => item,
                Next::Leave(reason) => match Box::pin(self.seek(&mut attempt, reason)).await {
                    Sought::Successor { successor, broken } => {
                        if broken.is_some() {
                            self.record_early_break(&attempt, first_event_at);
                            attempt.record_fault();
                        }
                        self.attempt = Some(self.go_on_at(*successor));
                        return Interruption::Replaced;
                    }
                    Sought::Nothing => {
                        stall = match reason {
                            LeaveReason::Silent if self.search_pause.is_over() => {
                                self.stall_timer()
                            }
                            LeaveReason::Silent => StallTimer::expiring(self.search_pause.until()),
                            LeaveReason::Leaves | LeaveReason::CutOff => stall,
                        };
                        continue;
                    }
                    Sought::Item(item) => item,
                    Sought::Interrupted(interruption) => return interruption,
                },
            };
            match item {
                StreamItem::Event(event) => {
                    first_event_at.get_or_insert_with(Instant::now);
                    if let Err(interruption) = self.forward_event(&mut attempt, event).await {
                        return interruption;
                    }
                    stall = self.stall_timer();
                }
                StreamItem::End if self.ends_unclear(&attempt) => {
                    return Interruption::Replica(UNCLEAR_END.to_owned());
                }
                StreamItem::End if self.is_behind() => {
                    attempt.fail();
                    let reason = "the stream ended before the last forwarded event";
                    return Interruption::Replica(reason.to_owned());
                }
                StreamItem::End => {
                    attempt.finish();
                    return Interruption::Complete;
                }
                StreamItem::Interrupted(reason) => {
                    self.record_early_break(&attempt, first_event_at);
                    attempt.fail();
                    return Interruption::Replica(reason);
                }
            }
        }
    }

    /// Suspects the prompt if the replica broke the stream off soon after its first event.
    fn record_early_break(&self, attempt: &Attempt<Answered>, first_event_at: Option<Instant>) {
        if first_event_at.is_none_or(|at| at.elapsed() < CRASH_SUSPICION) {
            self.exchange.record_break(&attempt.upstream);
        }
    }

    /// Sends an event to the caller. Skips an event that was already sent, since a replica may
    /// repeat events.
    pub(crate) async fn forward_event(
        &mut self,
        attempt: &mut Attempt<Answered>,
        event: StreamEvent,
    ) -> Result<(), Interruption> {
        let last = self.exchange.progress.last_event;
        self.run_event = event.id.or(self.run_event);
        match is_new(&event, last, self.is_resumed) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(reason) => return Err(Interruption::Replica(reason.to_owned())),
        }
        if self.events == 0 {
            self.exchange.begin_at(&attempt.upstream);
            self.exchange.progress.first_event = Some(self.exchange.arrived.elapsed());
            attempt.record_first_token(self.exchange.unshared_prompt());
            self.exchange.count_run();
        }
        self.exchange.progress.record_event(event.id);
        self.events += 1;
        let deadline = self.exchange.deadline;
        let sent = self.tx.send_until(event.bytes, deadline).await;
        sent.map_err(|error| match error {
            SendChunkError::Dropped => Interruption::CallerGone,
            SendChunkError::TimedOut => Interruption::TimedOut,
        })
    }

    /// Returns the time at which the stream leaves a replica that will stop, or `None` if it has to
    /// stay there.
    fn leave_time(&self, upstream: &UpstreamEntry, status: UpstreamStatus) -> Option<Instant> {
        let UpstreamStatus::Leaving { until } = status else {
            return None;
        };
        if self.must_move() {
            let margin = move_margin(upstream.outstanding(), &MoveMarginOptions::default());
            let leave_at = until.checked_sub(margin).unwrap_or(until);
            let leave_at = self
                .move_after
                .map_or(leave_at, |after| after.max(leave_at));
            // No call to move the run may arrive after the drain time.
            return Some(leave_at).filter(|at| *at.max(&Instant::now()) < until);
        }
        if !self.can_resume() {
            return None;
        }
        let leave_at = until.checked_sub(RESUME_MARGIN).unwrap_or(until);
        let pause = self.search_pause.until();
        Some(pause.map_or(leave_at, |pause| pause.max(leave_at)))
    }

    /// Returns whether the attempt that resumes the stream has not yet sent all forwarded events. Its end is
    /// not that of the stream then.
    fn is_behind(&self) -> bool {
        self.is_resumed && self.run_event < self.exchange.progress.last_event
    }

    /// Returns whether the end of the body may be that of a run that was stopped.
    pub(crate) fn ends_unclear(&self, attempt: &Attempt<Answered>) -> bool {
        self.may_be_stopped && attempt.ends_with_connection()
    }

    pub(crate) fn can_resume(&self) -> bool {
        self.exchange.route.retry_safety.is_repeatable()
    }

    /// Returns whether the stream leaves its replica by a move of its run. A request that may not
    /// run again cannot be resumed, so only its run itself can continue.
    fn must_move(&self) -> bool {
        let exchange = &self.exchange;
        let is_out_of_attempts = exchange.progress.possible_runs >= exchange.route.max_attempts;
        self.may_move && (is_out_of_attempts || !self.can_resume())
    }
}

/// `Next` is what happens next at the replica of a stream.
enum Next {
    Item(StreamItem),
    /// The replica is to be left.
    Leave(LeaveReason),
}

/// Waits until a replica is found to be cut off, and the pause of the search is over.
async fn wait_cut(paths: &DirectPaths, upstream: &UpstreamEntry, pause: SearchPause) {
    if let Some(until) = pause.until() {
        sleep_until(until).await;
    }
    paths.wait_cut(upstream).await;
}

/// Returns whether an event is to be forwarded after `last`. A resumed stream has events with ids, and may
/// repeat some.
///
/// # Errors
///
/// Returns the reason why the event breaks the stream off.
pub(crate) fn is_new(
    event: &StreamEvent,
    last: Option<EventId>,
    is_resumed: bool,
) -> Result<bool, &'static str> {
    match event.id {
        Some(_) => Ok(event.id > last),
        None if !is_resumed => Ok(true),
        None if event.is_comment() => Ok(false),
        None => Err("an event without an id"),
    }
}

fn caller_left() -> (RequestResult, String) {
    (RequestResult::CallerLeft, "caller left".to_owned())
}
