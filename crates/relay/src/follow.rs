//! Answers that are passed on while they come.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};

use verbenahead_upstream::Reuse;

use crate::{
    answer::{AnswerBody, CutOff},
    attempt::{Answered, Attempt},
    events::{EventSplitter, StreamEvent},
    exchange::Exchange,
    observe::RequestResult,
    upstream::UpstreamStatus,
};

/// `OpenStream` is an answer of which the first part is there.
pub(crate) struct OpenStream {
    attempt: Attempt<Answered>,
    first: Bytes,
    kind: StreamKind,
}

/// `StreamKind` says how the bytes of an answer are passed on.
enum StreamKind {
    /// As they come.
    Bytes,
    /// In whole events.
    Events(Box<EventCursor>),
}

/// `EventCursor` follows the events of one attempt.
#[derive(Debug, Default)]
pub(crate) struct EventCursor {
    splitter: EventSplitter,
    pending: Option<StreamEvent>,
}

/// `NoEvent` is why a stream has no first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoEvent {
    /// The time limit passed.
    TimedOut,
    /// The replica broke off, or ended the stream without an event.
    Broken,
}

impl OpenStream {
    /// Builds an answer whose bytes are passed on as they come.
    pub(crate) fn bytes(attempt: Attempt<Answered>, first: Bytes) -> Self {
        Self {
            attempt,
            first,
            kind: StreamKind::Bytes,
        }
    }
}

/// Reads a stream up to its first whole event.
pub(crate) async fn first_event(
    mut attempt: Attempt<Answered>,
    deadline: Instant,
) -> Result<OpenStream, NoEvent> {
    let mut cursor = EventCursor::default();
    let Ok(step) = timeout_at(deadline, cursor.next(&mut attempt)).await else {
        attempt.settle_broken();
        return Err(NoEvent::TimedOut);
    };
    match step {
        Step::Event(event) => {
            cursor.pending = Some(event);
            Ok(OpenStream {
                attempt,
                first: Bytes::new(),
                kind: StreamKind::Events(Box::new(cursor)),
            })
        }
        Step::End | Step::Broken(_) => {
            attempt.settle_broken();
            Err(NoEvent::Broken)
        }
    }
}

/// Answers the caller with a stream that a task of its own follows. The task ends when the stream
/// does, or when the caller is gone.
pub(crate) fn respond(exchange: Exchange, stream: OpenStream) -> Response<AnswerBody> {
    let exchange_has_moves = exchange.has_moves;
    let head = stream.attempt.head();
    let mut response = exchange.answer_head(head.status, &head.headers);
    let (tx, rx) = mpsc::channel(exchange.relay.options.event_buffer);
    let length = match stream.kind {
        StreamKind::Bytes => {
            let rest = http_body::Body::size_hint(stream.attempt.body()).exact();
            rest.map(|rest| rest + stream.first.len() as u64)
        }
        StreamKind::Events(_) => None,
    };
    *response.body_mut() = AnswerBody::Parts { rx, length };
    match stream.kind {
        StreamKind::Bytes => {
            tokio::spawn(copy_bytes(exchange, stream.attempt, stream.first, tx));
        }
        StreamKind::Events(cursor) => {
            let follower = Follower {
                exchange,
                attempt: Some(stream.attempt),
                cursor: *cursor,
                tx,
                events: 0,
                may_move: exchange_has_moves,
            };
            tokio::spawn(follower.run());
        }
    }
    response
}

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
                // The receiver may be gone already, which ends the answer as well.
                let _ = tx.send(Err(CutOff)).await;
                exchange.end(RequestResult::CutOff, "-", "timed out");
                return;
            }
        };
        match frame {
            None => {
                attempt.settle_whole();
                exchange.end(RequestResult::Answered, "200", "answered");
                return;
            }
            Some(Err(error)) => {
                let _ = tx.send(Err(CutOff)).await;
                attempt.settle_broken();
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

/// `Step` is the next thing that a stream brings.
pub(crate) enum Step {
    Event(StreamEvent),
    /// The replica ended the stream.
    End,
    /// The replica broke off.
    Broken(String),
}

impl EventCursor {
    pub(crate) async fn next(&mut self, attempt: &mut Attempt<Answered>) -> Step {
        if let Some(event) = self.pending.take() {
            return Step::Event(event);
        }
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Step::Event(event);
            }
            if self.splitter.len() > MAX_EVENT_BYTES {
                return Step::Broken("an event is too large".to_owned());
            }
            let body = attempt.body_mut();
            if body.is_end_stream() {
                return self.end();
            }
            match body.frame().await {
                None => return self.end(),
                Some(Err(error)) => return Step::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
            }
        }
    }

    fn end(&self) -> Step {
        match self.splitter.has_rest() {
            true => Step::Broken("the stream ended inside an event".to_owned()),
            false => Step::End,
        }
    }
}

/// Largest event that is collected. Events of engines have some hundred bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Time before the announced end of a replica at which a stream goes on elsewhere.
const LEAVE_MARGIN: Duration = Duration::from_millis(700);

/// Time before the announced end of a replica at which a run is moved. The notice may have been
/// read up to two thirds of a second late, and many runs share the links of a replica.
const MOVE_MARGIN: Duration = Duration::from_millis(1_500);

/// `Follower` passes the events of a stream on, over as many attempts as it takes.
pub(crate) struct Follower {
    pub(crate) exchange: Exchange,
    attempt: Option<Attempt<Answered>>,
    pub(crate) cursor: EventCursor,
    pub(crate) tx: mpsc::Sender<Result<Bytes, CutOff>>,
    events: u64,
    /// Whether the run may be handed over to another replica. One that was refused is not asked
    /// for again.
    pub(crate) may_move: bool,
}

/// `Interruption` is why a stream does not go on at its replica.
pub(crate) enum Interruption {
    /// It is complete.
    Complete,
    /// The caller is gone.
    CallerGone,
    /// The time limit has passed.
    TimedOut,
    /// The replica broke off, fell silent or leaves.
    Replica(String),
}

impl Follower {
    async fn run(mut self) {
        let (result, outcome) = loop {
            match self.follow().await {
                Interruption::Complete => break (RequestResult::Answered, "answered".to_owned()),
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

    async fn cut_off(&self, outcome: &str) -> (RequestResult, String) {
        if self.tx.is_closed() {
            return caller_left();
        }
        // The receiver may go in this moment, which ends the answer as well.
        let _ = self.tx.send(Err(CutOff)).await;
        (RequestResult::CutOff, outcome.to_owned())
    }

    /// Passes on the events of the present attempt until it is interrupted.
    async fn follow(&mut self) -> Interruption {
        let Some(mut attempt) = self.attempt.take() else {
            return Interruption::Replica("no attempt".to_owned());
        };
        let mut status = attempt.upstream.watch_status();
        let mut silence = self.silence();
        loop {
            let leave_at = self.leave_deadline(*status.borrow_and_update());
            let step = tokio::select! {
                biased;
                step = self.cursor.next(&mut attempt) => step,
                () = self.tx.closed() => return Interruption::CallerGone,
                () = sleep_until(self.exchange.deadline) => return Interruption::TimedOut,
                () = sleep_until_some(silence.deadline()) => {
                    if silence.is_over() || !self.answers_probe(&attempt).await {
                        attempt.settle_broken();
                        return Interruption::Replica("silent".to_owned());
                    }
                    silence.note_alive();
                    continue;
                }
                () = sleep_until_some(leave_at) => {
                    if !self.moves_on_leave() {
                        return Interruption::Replica("replica leaves".to_owned());
                    }
                    match self.move_away(attempt).await {
                        Ok(next) => attempt = next,
                        Err(interruption) => return interruption,
                    }
                    status = attempt.upstream.watch_status();
                    silence = self.silence();
                    continue;
                }
                changed = status.changed() => {
                    if changed.is_err() {
                        return Interruption::Replica("replica forgotten".to_owned());
                    }
                    continue;
                }
            };
            match step {
                Step::Event(event) => {
                    if let Err(interruption) = self.pass_on(&mut attempt, event).await {
                        return interruption;
                    }
                    silence = self.silence();
                }
                Step::End => {
                    attempt.settle_whole();
                    return Interruption::Complete;
                }
                Step::Broken(reason) => {
                    attempt.settle_broken();
                    return Interruption::Replica(reason);
                }
            }
        }
    }

    pub(crate) async fn pass_on(
        &mut self,
        attempt: &mut Attempt<Answered>,
        event: StreamEvent,
    ) -> Result<(), Interruption> {
        let last = self.exchange.progress.last_event;
        if event.id.is_some() && event.id <= last {
            return Ok(());
        }
        if self.events == 0 {
            self.exchange.progress.first_event = Some(self.exchange.arrived.elapsed());
            attempt.note_first_token(self.exchange.own_prompt());
            self.exchange.count_run();
        }
        self.exchange.progress.last_event = event.id.or(last);
        self.events += 1;
        let sent = self.tx.send(Ok(event.bytes)).await;
        sent.map_err(|_| Interruption::CallerGone)
    }

    /// Starts to wait for the next event. A stream that cannot go on elsewhere waits for ever.
    fn silence(&self) -> Silence {
        let exchange = &self.exchange;
        let is_spent = exchange.progress.possible_runs >= exchange.route.max_attempts;
        let gap = exchange.route.gap_objective;
        let gap = gap.filter(|_| exchange.route.repetition.is_repeatable());
        let Some(gap) = gap.filter(|_| !is_spent && self.events > 0) else {
            return Silence::default();
        };
        let options = &exchange.relay.options;
        let now = Instant::now();
        Silence {
            probe_at: Some(now + gap.mul_f64(options.probe_after_gap)),
            over_at: Some(now + gap.mul_f64(options.resume_after_gaps)),
        }
    }

    /// Returns whether the replica of a silent stream answers on a new connection.
    async fn answers_probe(&self, attempt: &Attempt<Answered>) -> bool {
        let relay = &self.exchange.relay;
        let address = attempt.upstream.address.address;
        let probe = relay.connections.send_to(
            address,
            relay.dialect.probe_request(),
            Reuse::Forbidden,
            relay.options.probe_timeout,
        );
        let answer = probe.await;
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            answered = answer.is_ok(),
            "replica of a silent stream probed",
        );
        answer.is_ok()
    }

    /// Returns when a stream that can go on elsewhere leaves a replica that will stop.
    fn leave_deadline(&self, status: UpstreamStatus) -> Option<Instant> {
        let UpstreamStatus::Leaving { until } = status else {
            return None;
        };
        let margin = if self.moves_on_leave() {
            MOVE_MARGIN
        } else if self.can_resume() {
            LEAVE_MARGIN
        } else {
            return None;
        };
        Some(until.checked_sub(margin).unwrap_or(until))
    }

    fn can_resume(&self) -> bool {
        self.exchange.route.repetition.is_repeatable()
    }

    /// Returns whether the stream leaves its replica by a move: where it may not run again, only
    /// its run itself can go on.
    fn moves_on_leave(&self) -> bool {
        let exchange = &self.exchange;
        let is_spent = exchange.progress.possible_runs >= exchange.route.max_attempts;
        self.may_move && (is_spent || !self.can_resume())
    }

    /// Goes on at another replica after the last event that was passed on.
    async fn resume(&mut self, reason: &str) -> Result<(), String> {
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = self.exchange.progress.tried.last().map(|u| u.address.upstream.as_str()),
            last_event = self.exchange.progress.last_event.map(|id| id.0),
            reason,
            is_resumable = self.exchange.route.repetition.is_repeatable(),
            "stream interrupted",
        );
        if !self.exchange.route.repetition.is_repeatable() {
            return Err(format!("broken off: {reason}"));
        }
        self.cursor = EventCursor::default();
        self.exchange.forget_tried();
        let exchange = &self.exchange;
        exchange.relay.usage_tracker.on_repeat(&exchange.service);
        exchange.relay.observer.stream_resumed(&exchange.service);
        let next = tokio::select! {
            next = self.exchange.next_answer() => next,
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
            Err(own) => Err(format!("broken off: {reason}, then {}", own.ending)),
        }
    }
}

fn caller_left() -> (RequestResult, String) {
    (RequestResult::CallerLeft, "caller left".to_owned())
}

/// `Silence` is the wait for the next event of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Silence {
    /// When the replica is probed.
    probe_at: Option<Instant>,
    /// When the stream goes on elsewhere in any case.
    over_at: Option<Instant>,
}

impl Silence {
    fn deadline(&self) -> Option<Instant> {
        self.probe_at.or(self.over_at)
    }

    fn is_over(&self) -> bool {
        self.over_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Notes that the replica lives, so the stream waits longer.
    fn note_alive(&mut self) {
        self.probe_at = None;
    }
}

async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
