//! Replica of a service with configurable behaviour.

use std::{
    collections::VecDeque,
    future::pending,
    io,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use axum::{
    Router,
    body::{Body, Bytes},
    extract::State,
    response::{IntoResponse, Response},
};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Collected};
use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, sleep},
};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};

use super::VersionFaults;
use super::handover::{HandleUse, HandoverBehaviour, Handovers, take_memory};
use crate::{
    reserved_port::ReservedPort,
    server::{Abandoned, HangUp, Server},
};

/// `ReplicaBehaviour` tells how a replica treats a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// Runs it and responds with this status after a delay.
    Answer(StatusCode, Duration),
    /// Responds 503 with the header `not-executed`, and does not run it.
    Full,
    /// Responds 503 with the headers `not-executed` and `retry-after`, the latter with this value.
    TurnAway(&'static str),
    /// Responds 503 without the header `not-executed`, so the caller cannot tell whether it ran.
    Unproved,
    /// Closes the connection without running it.
    Reset,
    /// Runs it and closes the connection without a response.
    LoseAnswer,
    /// Closes the connection without a response, but learns of that only when it reads the next request, and
    /// works until then.
    LosePath,
    /// Neither runs it nor responds.
    Swallow,
    /// Runs it and responds with the attempt id of another request.
    ForeignId,
    /// Runs it and closes the connection within the body of the response.
    CutBody,
    /// Runs it and sends nothing after the first half of the response.
    SilentBody,
    /// Runs it and sends no response.
    Hang,
    /// Streams this many events with a pause before each, starting after the `last-event-id` of
    /// the request.
    Stream(u64, Duration),
    /// Streams the events up to this id with a pause before each, starting after the `last-event-id`
    /// of the request.
    StreamTo(u64, Duration),
    /// Begins to respond after a time, then streams like [`Stream`](Self::Stream).
    LateStream {
        /// Time before the head of the response.
        wait: Duration,
        /// Number of events.
        events: u64,
        /// Pause before each event.
        pause: Duration,
    },
    /// Streams this many events and closes the connection within the next one.
    BreakStream(u64),
    /// Streams this many events, then sends nothing and keeps the connection open.
    SilentStream(u64),
}

/// `RunEnd` tells which side ended a run first, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The replica made the whole response.
    Complete,
    /// The replica broke the response off.
    BrokenOff,
    /// The replica exited.
    Exited,
    /// The run was stopped by a call, to be continued elsewhere.
    Stopped,
    /// The caller closed the connection.
    CallerLeft,
}

/// `RecordedRun` is a request that a replica started to run.
#[derive(Debug, Clone)]
pub struct RecordedRun {
    /// Value of the header `attempt-id`.
    pub id: String,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
    /// Time at which the request was received.
    pub at: Instant,
    /// End of the run and its time, or `None` while the replica works on it.
    pub end: Option<(RunEnd, Instant)>,
}

impl RecordedRun {
    /// Returns the time at which the replica ended its work on the run.
    pub fn ended_at(&self) -> Option<Instant> {
        self.end.map(|(_, at)| at)
    }

    /// Returns whether the prompt of the request has the part with this id before its last part.
    pub fn has_part(&self, part: &str) -> bool {
        has_part(&self.headers, part)
    }

    /// Returns whether the request has this path, query and body.
    pub fn is_request(&self, target: &str, body: &str) -> bool {
        self.target == target && self.body == body
    }
}

/// `HarmfulContent` is what a request has that crashes a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
enum HarmfulContent {
    /// Part of the prompt, before the last one.
    PromptPart(String),
    /// The whole request.
    Request {
        /// Path and query.
        target: String,
        body: String,
    },
}

#[derive(Debug)]
struct Shared {
    id: String,
    default_behaviour: Mutex<ReplicaBehaviour>,
    queued_behaviours: Mutex<VecDeque<ReplicaBehaviour>>,
    faults: Mutex<VersionFaults>,
    runs: Mutex<Vec<RecordedRun>>,
    arrivals: AtomicU64,
    /// Responses whose caller disconnected before their end.
    cancelled: AtomicU64,
    handovers: Handovers,
    /// Whether probes get no answer.
    ignores_probes: AtomicBool,
    /// Signals that another request was read.
    next_request: Notify,
    /// Last event of streams that break off or fall silent.
    last_broken_event: AtomicU64,
    /// Whether all responses say that the replica is leaving.
    is_leaving: AtomicBool,
    /// Value of the header `server-limit` of all responses.
    limit: Mutex<Option<String>>,
    /// Rejections per second above which the replica falls over, as all responses state.
    max_rejections: Mutex<Option<usize>>,
    /// Times of the rejections of the last second.
    rejected: Mutex<Vec<Instant>>,
    /// Requests on which the replica crashes.
    harmful: Mutex<Vec<HarmfulContent>>,
    /// Server of the replica, until it has crashed.
    server: Mutex<Option<Server>>,
    crashed_at: Mutex<Option<Instant>>,
}

/// `UsersReplica` is a running stand-in. Dropping it closes its connections.
#[derive(Debug)]
pub struct UsersReplica {
    /// Keeps requests to a replica that has crashed from reaching another one.
    port: Arc<ReservedPort>,
    shared: Arc<Shared>,
}

impl Drop for UsersReplica {
    fn drop(&mut self) {
        self.crash();
    }
}

impl UsersReplica {
    /// Starts the replica `id`, which treats every request by `behaviour`.
    ///
    /// # Errors
    ///
    /// An I/O error when no port can be listened on.
    pub async fn start(id: &str, behaviour: ReplicaBehaviour) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            default_behaviour: Mutex::new(behaviour),
            queued_behaviours: Mutex::default(),
            faults: Mutex::default(),
            runs: Mutex::default(),
            arrivals: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            handovers: Handovers::default(),
            ignores_probes: AtomicBool::new(false),
            next_request: Notify::new(),
            last_broken_event: AtomicU64::new(u64::MAX),
            is_leaving: AtomicBool::new(false),
            limit: Mutex::default(),
            max_rejections: Mutex::default(),
            rejected: Mutex::default(),
            harmful: Mutex::default(),
            server: Mutex::default(),
            crashed_at: Mutex::default(),
        });
        let router = Router::new()
            .fallback(serve)
            .with_state(Arc::clone(&shared));
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(listen, router, HangUp::Cancels).await?;
        let port = server.port();
        *lock(&shared.server) = Some(server);
        Ok(Self { port, shared })
    }

    /// Returns the address that the replica listens on.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Lets the replica crash shortly after it began to answer a request whose prompt has the part
    /// with this id before its last part.
    pub fn crash_on(&self, part: &str) {
        let part = HarmfulContent::PromptPart(part.to_owned());
        lock(&self.shared.harmful).push(part);
    }

    /// Lets the replica crash shortly after it began to run a request with this path, query and body,
    /// before it answers.
    pub fn crash_on_request(&self, target: &str, body: &str) {
        let request = HarmfulContent::Request {
            target: target.to_owned(),
            body: body.to_owned(),
        };
        lock(&self.shared.harmful).push(request);
    }

    /// Ends the replica as a crash of its process does: it closes all connections and listens no
    /// longer.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the time at which the replica crashed, if it has.
    pub fn crashed_at(&self) -> Option<Instant> {
        *lock(&self.shared.crashed_at)
    }

    /// Sets the behaviour for all further requests.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        *lock(&self.shared.default_behaviour) = behaviour;
    }

    /// Sets the faults of the software version of the replica.
    pub fn set_faults(&self, faults: VersionFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Queues a behaviour for one request. Queued behaviours are used in order, before the default.
    pub fn then(&self, behaviour: ReplicaBehaviour) {
        lock(&self.shared.queued_behaviours).push_back(behaviour);
    }

    /// Sets the behaviour for requests to hand over a run that stop it.
    pub fn set_handovers(&self, behaviour: HandoverBehaviour) {
        self.shared.handovers.set_stops(behaviour);
    }

    /// Sets the behaviour for requests to copy the memory of a run that continues.
    pub fn set_copies(&self, behaviour: HandoverBehaviour) {
        self.shared.handovers.set_copies(behaviour);
    }

    /// Queues a behaviour for one request to hand over a run that stops it. Queued behaviours are used in
    /// order, before the one that was set.
    pub fn then_handover(&self, behaviour: HandoverBehaviour) {
        self.shared.handovers.queue_stop(behaviour);
    }

    /// Sets the time that the copy of a run takes on the link of the replica, which makes one at a time. What
    /// is new after a copy takes a tenth of it.
    pub fn set_copy_time(&self, copy_time: Duration) {
        self.shared.handovers.set_copy_time(copy_time);
    }

    /// Queues a behaviour for one request to copy the memory of a run that continues. Queued behaviours are
    /// used in order, before the one that was set.
    pub fn then_copy(&self, behaviour: HandoverBehaviour) {
        self.shared.handovers.queue_copy(behaviour);
    }

    /// Returns the targets of the requests to copy the memory of a run that continues.
    pub fn copy_targets(&self) -> Vec<String> {
        self.shared.handovers.copy_targets()
    }

    /// Sets how often the memory of the runs that the replica stops can be used.
    pub fn set_handle_use(&self, handle_use: HandleUse) {
        self.shared.handovers.set_handle_use(handle_use);
    }

    /// Leaves all probes without an answer.
    pub fn ignore_probes(&self) {
        self.shared.ignores_probes.store(true, Ordering::Relaxed);
    }

    /// Lets streams that break off or fall silent do so after this event at the latest.
    pub fn limit_broken_streams(&self, last: u64) {
        self.shared.last_broken_event.store(last, Ordering::Relaxed);
    }

    /// Lets calls that move runs find out that their target cannot be reached. They find no room then.
    pub fn check_targets(&self) {
        self.shared.handovers.set_checks_targets();
    }

    /// Returns the handles of copies that were given back unused.
    pub fn released_copies(&self) -> Vec<String> {
        self.shared.handovers.released()
    }

    /// Sets whether all further responses say that the replica is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Sets the limit, in requests per second, that all further responses state.
    pub fn set_limit(&self, limit: Option<&str>) {
        *lock(&self.shared.limit) = limit.map(str::to_owned);
    }

    /// Sets the rejections per second above which the replica crashes. All further responses state them.
    pub fn set_max_rejections(&self, max_rejections: Option<usize>) {
        *lock(&self.shared.max_rejections) = max_rejections;
    }

    /// Returns the requests that the replica started to run.
    pub fn runs(&self) -> Vec<RecordedRun> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the number of requests received, including those that were not run.
    pub fn arrivals(&self) -> u64 {
        self.shared.arrivals.load(Ordering::Relaxed)
    }

    /// Returns the number of responses that ended early because the caller disconnected.
    pub fn cancelled(&self) -> u64 {
        self.shared.cancelled.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// `WorkGuard` counts a response as cancelled when dropped before it is done, and records the end of the run.
struct WorkGuard {
    shared: Arc<Shared>,
    /// Index of the run.
    run: usize,
    is_done: bool,
}

impl WorkGuard {
    /// Returns another guard of the same work, which is not done.
    fn share(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            run: self.run,
            is_done: false,
        }
    }

    /// Records the end of the run.
    fn finish(&mut self, end: RunEnd) {
        self.is_done = true;
        let mut runs = lock(&self.shared.runs);
        runs[self.run].end.get_or_insert((end, Instant::now()));
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        self.shared.cancelled.fetch_add(1, Ordering::Relaxed);
        let has_crashed = lock(&self.shared.crashed_at).is_some();
        self.finish(match has_crashed {
            true => RunEnd::Exited,
            false => RunEnd::CallerLeft,
        });
    }
}

async fn serve(State(shared): State<Arc<Shared>>, req: Request<Body>) -> Response {
    let mut response = serve_request(&shared, req).await;
    if shared.is_leaving.load(Ordering::Relaxed) {
        let leaving = HeaderValue::from_static("1");
        response.headers_mut().insert("server-leaving", leaving);
    }
    if let Some(limit) = lock(&shared.limit).as_deref() {
        let limit = HeaderValue::from_str(limit).expect("a valid header value");
        response.headers_mut().insert("server-limit", limit);
    }
    if let Some(max_rejections) = *lock(&shared.max_rejections) {
        let value = HeaderValue::from(max_rejections);
        response.headers_mut().insert("server-brittle", value);
    }
    response
}

async fn serve_request(shared: &Arc<Shared>, req: Request<Body>) -> Response {
    let address = lock(&shared.server).as_ref().map(Server::address);
    let Some(address) = address else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if req.uri().path() == "/report" {
        if shared.ignores_probes.load(Ordering::Relaxed) {
            return pending().await;
        }
        shared.next_request.notify_waiters();
        return "{}".into_response();
    }
    if req.uri().path() == "/kv-move" {
        return shared.handovers.hand_over(address, req).await;
    }
    if let Some(handle) = req.uri().path().strip_prefix("/kv-handle/") {
        return shared.handovers.release(handle);
    }
    let number = shared.arrivals.fetch_add(1, Ordering::Relaxed);
    let expected = req.headers().get("expect-instance");
    if expected.is_some_and(|expected| *expected != *shared.id) {
        return (StatusCode::MISDIRECTED_REQUEST, "").into_response();
    }
    let behaviour = lock(&shared.queued_behaviours).pop_front();
    let behaviour = behaviour.or_else(|| lock(&shared.faults).behaviour(number));
    let behaviour = behaviour.unwrap_or_else(|| lock(&shared.default_behaviour).clone());
    if behaviour == ReplicaBehaviour::Full {
        shared.record_rejection();
        let not_run = [("not-executed", "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, not_run).into_response();
    }
    if let ReplicaBehaviour::TurnAway(retry_after) = behaviour {
        let headers = [("not-executed", "1"), ("retry-after", retry_after)];
        return (StatusCode::SERVICE_UNAVAILABLE, headers).into_response();
    }
    if behaviour == ReplicaBehaviour::Unproved {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if behaviour == ReplicaBehaviour::Reset {
        return abandoned();
    }
    shared.next_request.notify_waiters();
    if behaviour == ReplicaBehaviour::Swallow {
        return pending().await;
    }
    if !take_memory(req.headers(), address) {
        let not_run = [("not-executed", "1")];
        return (StatusCode::SERVICE_UNAVAILABLE, not_run).into_response();
    }
    let run = record(req).await;
    let mut guard = shared.begin(run.clone());
    let response = match shared.harmful_content(&run) {
        Some(HarmfulContent::PromptPart(_)) => {
            crash_soon(shared);
            let ids = stream_ids(&run, 0);
            stream_events(&run, ids, Duration::ZERO, StreamEnd::Silence, &guard)
        }
        Some(HarmfulContent::Request { .. }) => {
            crash_soon(shared);
            pending().await
        }
        None => answer(&run, behaviour, &mut guard).await,
    };
    guard.is_done = true;
    response
}

async fn record(req: Request<Body>) -> RecordedRun {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map(Collected::to_bytes);
    let id = head.headers.get("attempt-id");
    RecordedRun {
        id: id
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        method: head.method,
        target: head.uri.to_string(),
        headers: head.headers,
        body: body.unwrap_or_default(),
        at: Instant::now(),
        end: None,
    }
}

/// Returns whether the part with this id stands before the last part of a prompt.
fn has_part(headers: &HeaderMap, part: &str) -> bool {
    let parts = headers.get("prompt-prefix").and_then(|v| v.to_str().ok());
    let mut parts: Vec<&str> = parts.unwrap_or_default().split(',').collect();
    parts.pop();
    let ids = parts.iter().filter_map(|part| part.split_once(':'));
    ids.into_iter().any(|(id, _)| id.trim() == part)
}

impl Shared {
    /// Records a run and returns the guard of the work on it.
    fn begin(self: &Arc<Self>, run: RecordedRun) -> WorkGuard {
        let mut runs = lock(&self.runs);
        runs.push(run);
        WorkGuard {
            shared: Arc::clone(self),
            run: runs.len() - 1,
            is_done: false,
        }
    }

    fn crash(&self) {
        let server = lock(&self.server).take();
        if server.is_some() {
            // Before its connections close, so that the runs that end with them know why.
            *lock(&self.crashed_at) = Some(Instant::now());
        }
    }

    /// Records a rejection for want of room, and crashes the replica if there were too many.
    fn record_rejection(&self) {
        let now = Instant::now();
        let count = {
            let mut rejected = lock(&self.rejected);
            rejected.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
            rejected.push(now);
            rejected.len()
        };
        if lock(&self.max_rejections).is_some_and(|most| count > most) {
            self.crash();
        }
    }

    /// Returns what crashes the replica when it runs a request.
    fn harmful_content(&self, run: &RecordedRun) -> Option<HarmfulContent> {
        let harmful = lock(&self.harmful);
        let is_in_run = |content: &&HarmfulContent| match content {
            HarmfulContent::PromptPart(part) => run.has_part(part),
            HarmfulContent::Request { target, body } => run.is_request(target, body),
        };
        harmful.iter().find(is_in_run).cloned()
    }
}

/// Time from the start of a run to the crash that it causes.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Crashes the replica after [`CRASH_DELAY`].
fn crash_soon(shared: &Arc<Shared>) {
    let crashing = Arc::clone(shared);
    tokio::spawn(async move {
        sleep(CRASH_DELAY).await;
        crashing.crash();
    });
}

async fn answer(run: &RecordedRun, behaviour: ReplicaBehaviour, guard: &mut WorkGuard) -> Response {
    match behaviour {
        ReplicaBehaviour::Answer(status, delay) => {
            sleep(delay).await;
            guard.finish(RunEnd::Complete);
            let mut response = format!("answer to {}", run.id).into_response();
            *response.status_mut() = status;
            with_attempt_headers(response, &run.id)
        }
        ReplicaBehaviour::ForeignId => {
            with_attempt_headers("of another".into_response(), "another")
        }
        ReplicaBehaviour::LoseAnswer => {
            guard.finish(RunEnd::BrokenOff);
            abandoned()
        }
        ReplicaBehaviour::LosePath => {
            let mut work = guard.share();
            guard.is_done = true;
            tokio::spawn(async move {
                let shared = Arc::clone(&work.shared);
                shared.next_request.notified().await;
                work.finish(RunEnd::CallerLeft);
            });
            abandoned()
        }
        ReplicaBehaviour::CutBody => {
            guard.finish(RunEnd::BrokenOff);
            let parts = [
                Ok(Bytes::from_static(b"half")),
                Err(io::Error::other("cut")),
            ];
            half_response(run, Body::from_stream(tokio_stream::iter(parts)))
        }
        ReplicaBehaviour::SilentBody => {
            let half = tokio_stream::once(Ok::<_, io::Error>(Bytes::from_static(b"half")));
            half_response(run, Body::from_stream(half.chain(tokio_stream::pending())))
        }
        ReplicaBehaviour::Hang => {
            sleep(Duration::from_secs(3_600)).await;
            StatusCode::OK.into_response()
        }
        ReplicaBehaviour::Stream(events, pause) => {
            let ids = stream_ids(run, events);
            stream_events(run, ids, pause, StreamEnd::End, guard)
        }
        ReplicaBehaviour::LateStream {
            wait,
            events,
            pause,
        } => {
            sleep(wait).await;
            let ids = stream_ids(run, events);
            stream_events(run, ids, pause, StreamEnd::End, guard)
        }
        ReplicaBehaviour::StreamTo(last, pause) => {
            let ids = last_event(run) + 1..=last;
            stream_events(run, ids, pause, StreamEnd::End, guard)
        }
        ReplicaBehaviour::BreakStream(events) => {
            let ids = stream_ids(run, events);
            stream_events(run, ids, Duration::ZERO, StreamEnd::Break, guard)
        }
        ReplicaBehaviour::SilentStream(events) => {
            let ids = stream_ids(run, events);
            stream_events(run, ids, Duration::ZERO, StreamEnd::Silence, guard)
        }
        ReplicaBehaviour::Full
        | ReplicaBehaviour::TurnAway(_)
        | ReplicaBehaviour::Unproved
        | ReplicaBehaviour::Swallow
        | ReplicaBehaviour::Reset => StatusCode::OK.into_response(),
    }
}

/// Returns a response whose length is that of a longer body.
fn half_response(run: &RecordedRun, body: Body) -> Response {
    let mut response = body.into_response();
    let length = HeaderValue::from_static("100");
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    with_attempt_headers(response, &run.id)
}

/// `StreamEnd` is the way a stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    End,
    Break,
    Silence,
}

/// Returns the last event that the caller of a run has.
fn last_event(run: &RecordedRun) -> u64 {
    let last = run.headers.get("last-event-id");
    last.and_then(|id| id.to_str().ok()?.parse().ok())
        .unwrap_or_default()
}

/// Returns the ids of a stream of this many events.
fn stream_ids(run: &RecordedRun, events: u64) -> RangeInclusive<u64> {
    let last = last_event(run);
    match run.headers.contains_key("kv-from") {
        // A run that was handed over has the same last event as without the handover.
        true => last + 1..=events,
        false => last + 1..=last + events,
    }
}

fn stream_events(
    run: &RecordedRun,
    ids: RangeInclusive<u64>,
    pause: Duration,
    end: StreamEnd,
    guard: &WorkGuard,
) -> Response {
    let last = match end {
        StreamEnd::End => u64::MAX,
        StreamEnd::Break | StreamEnd::Silence => {
            guard.shared.last_broken_event.load(Ordering::Relaxed)
        }
    };
    let ids = *ids.start()..=last.min(*ids.end());
    let (tx, rx) = mpsc::channel(1);
    let guard = guard.share();
    let stop = guard.shared.handovers.register(&run.id);
    tokio::spawn(send_events(tx, ids, pause, end, guard, stop));
    let mut response = Body::from_stream(ReceiverStream::new(rx)).into_response();
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, events);
    with_attempt_headers(response, &run.id)
}

async fn send_events(
    tx: mpsc::Sender<io::Result<Bytes>>,
    ids: RangeInclusive<u64>,
    pause: Duration,
    end: StreamEnd,
    mut guard: WorkGuard,
    stop: Arc<Notify>,
) {
    let next = *ids.end() + 1;
    for id in ids {
        tokio::select! {
            () = sleep(pause) => {}
            () = tx.closed() => return,
            () = stop.notified() => {
                guard.finish(RunEnd::Stopped);
                // The error closes the connection before the end of the body.
                let _ = tx.send(Err(io::Error::other("stopped"))).await;
                return;
            }
        }
        let event = format!("id: {id}\ndata: token {id}\n\n");
        if tx.send(Ok(event.into())).await.is_err() {
            return;
        }
    }
    match end {
        StreamEnd::End => guard.finish(RunEnd::Complete),
        StreamEnd::Break => {
            guard.finish(RunEnd::BrokenOff);
            let half = format!("id: {next}\ndata: tok");
            let is_sent = tx.send(Ok(half.into())).await.is_ok();
            if is_sent {
                // The error closes the connection before the end of the body.
                let _ = tx.send(Err(io::Error::other("cut"))).await;
            }
        }
        StreamEnd::Silence => tx.closed().await,
    }
}

fn abandoned() -> Response {
    let mut response = StatusCode::OK.into_response();
    response.extensions_mut().insert(Abandoned);
    response
}

fn with_attempt_headers(mut response: Response, id: &str) -> Response {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert("attempt-id", id);
    }
    headers.insert("server-seal", HeaderValue::from_static("seal"));
    response
}
