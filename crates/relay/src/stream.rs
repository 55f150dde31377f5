//! Responses that are forwarded to the caller as they arrive.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use http::Response;
use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};

use verbenahead_upstream::{Error as UpstreamError, Reuse};

use crate::{
    attempt::{Answered, Attempt},
    events::{EventSplitter, StreamEvent},
    exchange::Exchange,
    observe::RequestResult,
    response_body::{CutOff, ResponseBody},
    upstream::UpstreamStatus,
};

/// `OpenStream` is a response whose first bytes or first event have arrived.
pub(crate) struct OpenStream {
    attempt: Attempt<Answered>,
    /// Bytes that have been read. Empty for a stream of events, whose cursor holds the first event.
    first: Bytes,
    kind: StreamKind,
}

/// `StreamKind` tells in which units the body of a response is forwarded.
enum StreamKind {
    /// Bytes as they arrive.
    Bytes,
    /// Complete events.
    Events(Box<EventCursor>),
}

/// `EventCursor` reads the events of one attempt.
#[derive(Debug, Default)]
pub(crate) struct EventCursor {
    splitter: EventSplitter,
    /// Event that has been read and is returned next.
    pending: Option<StreamEvent>,
}

/// `FirstEventError` is the reason why a stream has no first event.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum FirstEventError {
    /// The time limit passed.
    #[display("timed out before the first event")]
    TimedOut,
    /// The replica broke off the stream, or ended it without an event.
    #[display("{_0}")]
    Interrupted(String),
}

impl OpenStream {
    /// Builds a response whose bytes are forwarded as they arrive, starting with `first`.
    pub(crate) fn bytes(attempt: Attempt<Answered>, first: Bytes) -> Self {
        Self {
            attempt,
            first,
            kind: StreamKind::Bytes,
        }
    }
}

/// Reads a stream up to its first complete event. Returns the attempt with the error if there is
/// none.
pub(crate) async fn first_event(
    mut attempt: Attempt<Answered>,
    deadline: Instant,
) -> Result<OpenStream, (Attempt<Answered>, FirstEventError)> {
    let mut cursor = EventCursor::default();
    let Ok(item) = timeout_at(deadline, cursor.next(&mut attempt)).await else {
        return Err((attempt, FirstEventError::TimedOut));
    };
    match item {
        StreamItem::Event(event) => {
            cursor.pending = Some(event);
            Ok(OpenStream {
                attempt,
                first: Bytes::new(),
                kind: StreamKind::Events(Box::new(cursor)),
            })
        }
        StreamItem::End => {
            let reason = "the stream ended without an event".to_owned();
            Err((attempt, FirstEventError::Interrupted(reason)))
        }
        StreamItem::Interrupted(reason) => Err((attempt, FirstEventError::Interrupted(reason))),
    }
}

/// Builds the response to the caller and spawns a task that forwards the body. The task ends with
/// the stream, or when the caller has closed the connection.
pub(crate) fn respond(exchange: Exchange, stream: OpenStream) -> Response<ResponseBody> {
    let supports_move = exchange.supports_move;
    let head = stream.attempt.head();
    let mut response = exchange.response_head(head.status, &head.headers);
    let (tx, rx) = mpsc::channel(exchange.relay.options.max_buffered_chunks);
    let length = match stream.kind {
        StreamKind::Bytes => {
            let rest = http_body::Body::size_hint(stream.attempt.body()).exact();
            rest.map(|rest| rest + stream.first.len() as u64)
        }
        StreamKind::Events(_) => None,
    };
    *response.body_mut() = ResponseBody::Streamed { rx, length };
    match stream.kind {
        StreamKind::Bytes => {
            tokio::spawn(copy_bytes(exchange, stream.attempt, stream.first, tx));
        }
        StreamKind::Events(cursor) => {
            let forwarder = StreamForwarder {
                exchange,
                attempt: Some(stream.attempt),
                cursor: *cursor,
                tx,
                events: 0,
                may_move: supports_move,
                stays: false,
            };
            tokio::spawn(forwarder.run());
        }
    }
    response
}

/// Forwards the bytes of a response until it ends, the deadline passes or the caller is gone.
async fn copy_bytes(
    exchange: Exchange,
    mut attempt: Attempt<Answered>,
    first: Bytes,
    tx: mpsc::Sender<Result<Bytes, CutOff>>,
) {
    if tx.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        let frame = tokio::select! {
            frame = attempt.body_mut().frame() => frame,
            () = tx.closed() => {
                exchange.end(RequestResult::CallerLeft, "-", "caller left");
                return;
            }
            () = sleep_until(exchange.deadline) => {
                // Ignores the error of a closed channel: without its receiver the response has
                // ended too.
                let _ = tx.send(Err(CutOff)).await;
                exchange.end(RequestResult::CutOff, "-", "timed out");
                return;
            }
        };
        match frame {
            None => {
                if attempt.head().status.is_success() {
                    exchange.record_complete();
                }
                attempt.finish();
                exchange.end(RequestResult::Answered, "200", "answered");
                return;
            }
            Some(Err(error)) => {
                let _ = tx.send(Err(CutOff)).await;
                attempt.fail();
                let outcome = format!("answer broke off: {error}");
                exchange.end(RequestResult::CutOff, "-", &outcome);
                return;
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data()
                    && tx.send(Ok(data)).await.is_err()
                {
                    return;
                }
            }
        }
    }
}

/// `StreamItem` is the next event of a stream, or its end.
pub(crate) enum StreamItem {
    /// A complete event.
    Event(StreamEvent),
    /// The replica ended the stream.
    End,
    /// The replica broke off the stream.
    Interrupted(String),
}

impl EventCursor {
    /// Reads the next event of `attempt`.
    pub(crate) async fn next(&mut self, attempt: &mut Attempt<Answered>) -> StreamItem {
        if let Some(event) = self.pending.take() {
            return StreamItem::Event(event);
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamItem::Event(event);
            }
            if self.splitter.len() > MAX_EVENT_BYTES {
                return StreamItem::Interrupted("an event is too large".to_owned());
            }
            let body = attempt.body_mut();
            if body.is_end_stream() {
                return self.end();
            }
            match body.frame().await {
                None => return self.end(),
                Some(Err(error)) => return StreamItem::Interrupted(error.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }

    fn end(&self) -> StreamItem {
        match self.splitter.has_partial_event() {
            true => StreamItem::Interrupted("the stream ended inside an event".to_owned()),
            false => StreamItem::End,
        }
    }
}

/// Time after the first event of an attempt in which the prompt is suspected if the replica crashes.
const CRASH_SUSPICION: Duration = Duration::from_secs(1);

/// Limit on the buffered bytes of one event. Events of engines have some hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Time before the announced stop of a replica at which a stream is resumed at another one.
const RESUME_MARGIN: Duration = Duration::from_millis(700);

/// Time before the announced stop of a replica at which a run is moved. The notice may have been
/// read up to two thirds of a second late, and many runs share the network link of a replica.
const MOVE_MARGIN: Duration = Duration::from_millis(1_500);

/// `StreamForwarder` forwards the events of a stream to the caller, across several attempts if
/// needed.
pub(crate) struct StreamForwarder {
    pub(crate) exchange: Exchange,
    /// Attempt whose events are forwarded next. [`Self::forward_attempt`] takes it.
    attempt: Option<Attempt<Answered>>,
    pub(crate) cursor: EventCursor,
    pub(crate) tx: mpsc::Sender<Result<Bytes, CutOff>>,
    /// Number of forwarded events.
    events: u64,
    /// Whether the run may be moved to another replica. Becomes `false` after a failed move, which
    /// is not tried again.
    pub(crate) may_move: bool,
    /// Whether the stream stays at a replica that leaves, since it cannot go on at another one.
    stays: bool,
}

/// `Interruption` is the reason why a stream does not continue at its replica.
pub(crate) enum Interruption {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerGone,
    /// The deadline of the request has passed.
    TimedOut,
    /// The replica broke off the stream, stalled or is leaving.
    Replica(String),
}

impl StreamForwarder {
    /// Forwards the stream to its end and reports the end of the request.
    async fn run(mut self) {
        let (result, outcome) = loop {
            match self.forward_attempt().await {
                Interruption::Complete => {
                    self.exchange.record_complete();
                    break (RequestResult::Answered, "answered".to_owned());
                }
                Interruption::CallerGone => break caller_left(),
                Interruption::TimedOut => break self.cut_off("timed out").await,
                Interruption::Replica(reason) => {
                    if let Err(outcome) = self.resume(&reason).await {
                        break self.cut_off(&outcome).await;
                    }
                }
            }
        };
        let outcome = format!("{outcome} after {} events", self.events);
        self.exchange.end(result, "200", &outcome);
    }

    /// Aborts the response, so that the caller sees it as incomplete.
    async fn cut_off(&self, outcome: &str) -> (RequestResult, String) {
        if self.tx.is_closed() {
            return caller_left();
        }
        // Ignores the error of a closed channel: without its receiver the response has ended too.
        let _ = self.tx.send(Err(CutOff)).await;
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
            let leave_at = self.leave_time(*status.borrow_and_update());
            let item = tokio::select! {
                biased;
                item = self.cursor.next(&mut attempt) => item,
                () = self.tx.closed() => return Interruption::CallerGone,
                () = sleep_until(self.exchange.deadline) => return Interruption::TimedOut,
                () = sleep_until_some(stall.deadline()) => {
                    let probed = match stall.is_expired() {
                        true => ProbeResult::Gone,
                        false => self.probe(&attempt).await,
                    };
                    if probed == ProbeResult::Gone {
                        attempt.fail();
                        return Interruption::Replica("silent".to_owned());
                    }
                    stall.record_probe(probed);
                    continue;
                }
                () = direct_paths.wait_cut(&upstream), if may_leave => {
                    return Interruption::Replica("cut off from this node".to_owned());
                }
                () = sleep_until_some(leave_at) => {
                    if !self.must_move() {
                        let selector = &self.exchange.relay.replica_selector;
                        if selector.has_other(&self.exchange, &attempt.upstream) {
                            return Interruption::Replica("replica leaves".to_owned());
                        }
                        // The stream may still end before its replica does.
                        self.stays = true;
                        continue;
                    }
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
            match item {
                StreamItem::Event(event) => {
                    first_event_at.get_or_insert_with(Instant::now);
                    if let Err(interruption) = self.forward_event(&mut attempt, event).await {
                        return interruption;
                    }
                    stall = self.stall_timer();
                }
                StreamItem::End => {
                    attempt.finish();
                    return Interruption::Complete;
                }
                StreamItem::Interrupted(reason) => {
                    if first_event_at.is_none_or(|at| at.elapsed() < CRASH_SUSPICION) {
                        self.exchange.record_break(&attempt.upstream);
                    }
                    attempt.fail();
                    return Interruption::Replica(reason);
                }
            }
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
        if event.id.is_some() && event.id <= last {
            return Ok(());
        }
        if self.events == 0 {
            self.exchange.begin_at(&attempt.upstream);
            self.exchange.progress.first_event = Some(self.exchange.arrived.elapsed());
            attempt.record_first_token(self.exchange.unshared_prompt());
            self.exchange.count_run();
        }
        self.exchange.progress.last_event = event.id.or(last);
        self.events += 1;
        let sent = self.tx.send(Ok(event.bytes)).await;
        sent.map_err(|_| Interruption::CallerGone)
    }

    /// Returns the timer for the wait for the next event. It never fires for a stream that cannot
    /// be resumed at another replica.
    fn stall_timer(&self) -> StallTimer {
        let exchange = &self.exchange;
        let is_out_of_attempts = exchange.progress.possible_runs >= exchange.route.max_attempts;
        let gap = exchange.route.gap_objective;
        let gap = gap.filter(|_| exchange.route.retry_safety.is_repeatable());
        let Some(gap) = gap.filter(|_| !is_out_of_attempts && self.events > 0) else {
            return StallTimer::default();
        };
        let options = &exchange.relay.options;
        let now = Instant::now();
        let resume_after = gap.mul_f64(options.resume_after_gaps);
        StallTimer {
            probe_at: Some(now + gap.mul_f64(options.probe_after_gap)),
            resume_at: Some(now + resume_after.max(options.silence_tolerance)),
            silent_until: Some(now + options.silence_tolerance),
        }
    }

    /// Probes the replica of a stalled stream over a new connection.
    async fn probe(&self, attempt: &Attempt<Answered>) -> ProbeResult {
        let relay = &self.exchange.relay;
        if attempt.passed_on_by().is_some() {
            return match relay.peer_paths.check(&attempt.upstream).await {
                Some(true) => ProbeResult::Answered,
                _ => ProbeResult::Silent,
            };
        }
        let address = attempt.upstream.address.address;
        let probe = relay.connections.send_to(
            address,
            relay.dialect.probe_request(),
            Reuse::Forbidden,
            relay.options.probe_timeout,
        );
        let response = probe.await.map(|response| response.into_parts().0);
        if let Ok(head) = &response {
            let notice = relay.dialect.replica_notice(head);
            attempt.upstream.apply_notice(notice.without_limit_end());
        }
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            answered = response.is_ok(),
            "replica of a silent stream probed",
        );
        match response {
            Ok(_) => ProbeResult::Answered,
            Err(UpstreamError::ConnectionRefused { .. }) => ProbeResult::Gone,
            Err(_) => ProbeResult::Silent,
        }
    }

    /// Returns the time at which the stream leaves a replica that will stop, or `None` if it has to
    /// stay there.
    fn leave_time(&self, status: UpstreamStatus) -> Option<Instant> {
        let UpstreamStatus::Leaving { until } = status else {
            return None;
        };
        let margin = if self.must_move() {
            MOVE_MARGIN
        } else if self.can_resume() && !self.stays {
            RESUME_MARGIN
        } else {
            return None;
        };
        Some(until.checked_sub(margin).unwrap_or(until))
    }

    fn can_resume(&self) -> bool {
        self.exchange.route.retry_safety.is_repeatable()
    }

    /// Returns whether the stream leaves its replica by a move of its run. A request that may not
    /// run again cannot be resumed, so only its run itself can continue.
    fn must_move(&self) -> bool {
        let exchange = &self.exchange;
        let is_out_of_attempts = exchange.progress.possible_runs >= exchange.route.max_attempts;
        self.may_move && (is_out_of_attempts || !self.can_resume())
    }

    /// Resumes the stream at another replica after the last forwarded event.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request for its log line if the stream cannot be resumed.
    async fn resume(&mut self, reason: &str) -> Result<(), String> {
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = self.exchange.progress.tried.last().map(|u| u.address.upstream.as_str()),
            last_event = self.exchange.progress.last_event.map(|id| id.0),
            fingerprint = %self.exchange.content.fingerprint(),
            parts = self.exchange.part_ids(),
            reason,
            is_resumable = self.exchange.route.retry_safety.is_repeatable(),
            "stream interrupted",
        );
        if !self.exchange.route.retry_safety.is_repeatable() {
            return Err(format!("broken off: {reason}"));
        }
        self.cursor = EventCursor::default();
        self.stays = false;
        self.exchange.keep_only_last_tried();
        let exchange = &self.exchange;
        exchange.relay.usage_tracker.on_retry(&exchange.service);
        exchange.relay.observer.stream_resumed(&exchange.service);
        let next = tokio::select! {
            next = self.exchange.next_attempt() => next,
            () = self.tx.closed() => return Err("caller left".to_owned()),
        };
        match next {
            Ok(attempt) if attempt.head().status.is_success() => {
                self.attempt = Some(attempt);
                Ok(())
            }
            Ok(attempt) => {
                let status = attempt.head().status;
                Err(format!("broken off: {reason}, then status {status}"))
            }
            Err(own) => Err(format!("broken off: {reason}, then {}", own.reason)),
        }
    }
}

fn caller_left() -> (RequestResult, String) {
    (RequestResult::CallerLeft, "caller left".to_owned())
}

/// `StallTimer` holds the deadlines of the wait for the next event of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct StallTimer {
    /// Time at which the replica is probed.
    probe_at: Option<Instant>,
    /// Time at which the stream is resumed at another replica even if its replica answers probes.
    resume_at: Option<Instant>,
    /// Time at which the stream is resumed if its replica answers no probes.
    silent_until: Option<Instant>,
}

/// `ProbeResult` is the result of a probe of a silent replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// The replica answered.
    Answered,
    /// There was no answer. The replica may be sound, and silent for a moment.
    Silent,
    /// The replica is gone, or has been silent for too long.
    Gone,
}

impl StallTimer {
    /// Returns the next deadline.
    fn deadline(&self) -> Option<Instant> {
        self.probe_at.or(self.resume_at)
    }

    fn is_expired(&self) -> bool {
        self.resume_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Records the result of the probe, so that only the time to resume remains.
    fn record_probe(&mut self, result: ProbeResult) {
        self.probe_at = None;
        if result == ProbeResult::Silent {
            self.resume_at = self.silent_until;
        }
    }
}

/// Sleeps until `deadline`, or forever without one.
async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
