//! Handing runs over from one replica to another.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, LazyLock, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use axum::{
    Json,
    body::Body,
    response::{IntoResponse, Response},
};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Collected};
use serde_json::{Value, json};
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{sleep, timeout},
};

use crate::server::Abandoned;

/// Limit on the time to reach the target of a call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// `HandoverBehaviour` tells how a replica treats a request to hand over a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HandoverBehaviour {
    /// Copies the memory of the run and returns its handle.
    #[default]
    Moves,
    /// Moves the run, and responds only after this time.
    Late(Duration),
    /// Responds 503: the target has no capacity. A run that was to stop has stopped.
    NoRoom,
    /// Responds 409 and continues the run.
    Refuses,
    /// Responds 404, whether or not it runs the request.
    Forgets,
    /// Moves the run and closes the connection without a response.
    LosesAnswer,
}

/// `HandleUse` tells how often the memory of a stopped run can be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HandleUse {
    /// Once, at one of the replicas that have it.
    #[default]
    OnceOverAll,
    /// Once at each of the replicas that have it.
    OnceAtEach,
}

/// `Handovers` is the state of the handovers of one replica.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    handle_use: Mutex<HandleUse>,
    /// Behaviour for calls that stop the run.
    stops: Mutex<HandoverBehaviour>,
    /// Behaviour for calls that leave the run running.
    copies: Mutex<HandoverBehaviour>,
    /// Behaviours for the next calls that stop a run, used in order before the default.
    queued_stops: Mutex<VecDeque<HandoverBehaviour>>,
    /// Behaviours for the next calls that leave a run running, used in order before the default.
    queued_copies: Mutex<VecDeque<HandoverBehaviour>>,
    /// Targets of the calls that leave a run running.
    copy_targets: Mutex<Vec<String>>,
    /// Time that a copy takes on the link of the replica, which makes one at a time. What is new after a copy
    /// takes a tenth of it.
    copy_time: Mutex<Duration>,
    link: tokio::sync::Mutex<()>,
    /// Stop signals of the started streams, by attempt id.
    streams: Mutex<HashMap<String, Arc<Notify>>>,
    /// Handles that were given back without being used.
    released: Mutex<Vec<String>>,
    /// Whether calls find out that their target cannot be reached.
    checks_targets: AtomicBool,
}

/// Memory of stopped runs of all replicas of this process, by source address and handle.
static STOPPED_RUNS: LazyLock<Mutex<HashMap<String, StoppedRun>>> = LazyLock::new(Mutex::default);

#[derive(Debug, Default)]
struct StoppedRun {
    handle_use: HandleUse,
    /// Replicas at which the handle was used.
    used_at: Vec<SocketAddr>,
}

impl Handovers {
    pub(super) fn set_stops(&self, behaviour: HandoverBehaviour) {
        *lock(&self.stops) = behaviour;
    }

    pub(super) fn set_copies(&self, behaviour: HandoverBehaviour) {
        *lock(&self.copies) = behaviour;
    }

    pub(super) fn set_handle_use(&self, handle_use: HandleUse) {
        *lock(&self.handle_use) = handle_use;
    }

    pub(super) fn queue_stop(&self, behaviour: HandoverBehaviour) {
        lock(&self.queued_stops).push_back(behaviour);
    }

    pub(super) fn set_copy_time(&self, copy_time: Duration) {
        *lock(&self.copy_time) = copy_time;
    }

    /// Waits until the memory of a run is copied.
    async fn copy(&self, stops: bool) {
        let copy_time = *lock(&self.copy_time);
        if copy_time.is_zero() {
            return;
        }
        let _link = self.link.lock().await;
        sleep(match stops {
            true => copy_time / 10,
            false => copy_time,
        })
        .await;
    }

    pub(super) fn queue_copy(&self, behaviour: HandoverBehaviour) {
        lock(&self.queued_copies).push_back(behaviour);
    }

    pub(super) fn copy_targets(&self) -> Vec<String> {
        lock(&self.copy_targets).clone()
    }

    pub(super) fn set_checks_targets(&self) {
        self.checks_targets.store(true, Ordering::Relaxed);
    }

    pub(super) fn released(&self) -> Vec<String> {
        lock(&self.released).clone()
    }

    /// Registers the stream of a run and returns its stop signal.
    pub(super) fn register(&self, id: &str) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        lock(&self.streams).insert(id.to_owned(), Arc::clone(&stop));
        stop
    }

    /// Records that a handle was given back.
    pub(super) fn release(&self, handle: &str) -> Response {
        lock(&self.released).push(handle.to_owned());
        StatusCode::OK.into_response()
    }

    /// Handles a request to hand over a run of the replica at `source`.
    pub(super) async fn hand_over(&self, source: SocketAddr, req: Request<Body>) -> Response {
        let body = req.into_body().collect().await.map(Collected::to_bytes);
        let call: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
        let id = call["id"].as_str().unwrap_or_default();
        let stops = call["last"].as_bool().unwrap_or_default();
        let mut behaviour = self.next_behaviour(stops);
        if self.checks_targets.load(Ordering::Relaxed) && !is_reachable(&call["target"]).await {
            behaviour = HandoverBehaviour::NoRoom;
        }
        if !stops {
            let target = call["target"].as_str().unwrap_or_default();
            lock(&self.copy_targets).push(target.to_owned());
        }
        if behaviour == HandoverBehaviour::Refuses {
            return StatusCode::CONFLICT.into_response();
        }
        if behaviour == HandoverBehaviour::Forgets {
            return StatusCode::NOT_FOUND.into_response();
        }
        let Some(stop) = lock(&self.streams).get(id).cloned() else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let handle = next_handle(source, id);
        if stops {
            stop.notify_one();
            let key = format!("{source}/{handle}");
            let stopped = StoppedRun {
                handle_use: *lock(&self.handle_use),
                used_at: Vec::new(),
            };
            lock(&STOPPED_RUNS).insert(key, stopped);
        }
        self.copy(stops).await;
        if let HandoverBehaviour::Late(delay) = behaviour {
            sleep(delay).await;
        }
        let answer = Json(json!({"handle": handle, "created_rev": 0}));
        match (behaviour, stops) {
            (HandoverBehaviour::NoRoom, true) => {
                (StatusCode::SERVICE_UNAVAILABLE, answer).into_response()
            }
            (HandoverBehaviour::NoRoom, false) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            (HandoverBehaviour::LosesAnswer, _) => {
                let mut response = answer.into_response();
                response.extensions_mut().insert(Abandoned);
                response
            }
            _ => answer.into_response(),
        }
    }

    fn next_behaviour(&self, stops: bool) -> HandoverBehaviour {
        match stops {
            true => {
                let queued = lock(&self.queued_stops).pop_front();
                queued.unwrap_or_else(|| *lock(&self.stops))
            }
            false => {
                let queued = lock(&self.queued_copies).pop_front();
                queued.unwrap_or_else(|| *lock(&self.copies))
            }
        }
    }
}

/// Returns whether a replica listens on the address of the target of a call.
async fn is_reachable(target: &Value) -> bool {
    let target = target.as_str().unwrap_or_default();
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await;
    connected.is_ok_and(|stream| stream.is_ok())
}

/// Returns the handle of a run, which is new once the earlier one was used.
fn next_handle(source: SocketAddr, id: &str) -> String {
    let runs = lock(&STOPPED_RUNS);
    let is_used = |handle: &String| {
        let run = runs.get(&format!("{source}/{handle}"));
        run.is_some_and(|run| !run.used_at.is_empty())
    };
    let later = (2..).map(|number| format!("memory-{id}-{number}"));
    let mut handles = std::iter::once(format!("memory-{id}")).chain(later);
    handles
        .find(|handle| !is_used(handle))
        .expect("an endless sequence")
}

/// Takes the memory that a request to the replica at `at` to continue a run names. Returns `false` if there is none, or if it was
/// used before. A request that names none needs none. Memory of a source that is no replica of this kind is
/// taken to be there.
pub(super) fn take_memory(headers: &HeaderMap, at: SocketAddr) -> bool {
    let Some(source) = headers.get("kv-from") else {
        return true;
    };
    let source = source.to_str().unwrap_or_default();
    let address = source
        .split_once('/')
        .map_or(source, |(address, _)| address);
    let mut runs = lock(&STOPPED_RUNS);
    let is_known = runs
        .keys()
        .any(|run| run.starts_with(&format!("{address}/")));
    match runs.get_mut(source) {
        Some(run) => {
            let is_used = match run.handle_use {
                HandleUse::OnceOverAll => !run.used_at.is_empty(),
                HandleUse::OnceAtEach => run.used_at.contains(&at),
            };
            run.used_at.push(at);
            !is_used
        }
        None => !is_known,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
