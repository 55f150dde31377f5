//! HTTP server of the row store, usage reports and scaling orders.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Query, Request, State},
    http::HeaderMap,
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use super::{
    duties::{RecordedOrder, RecordedUsage, ScalingCall, UsageCall, parse_sender},
    replica_links::{ReplicaLinks, use_links},
    rows::{Put, RowName, Rows, Transaction},
};
use crate::server::{Abandoned, HangUp, Server};

/// `StoreFault` is a fault injected into the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls get status 503 and have no effect.
    Busy,
    /// Calls get status 429 and have no effect.
    TooMany,
    /// Connections are closed without a response, and calls have no effect.
    Reset,
    /// Calls get no response and have no effect.
    Silent,
    /// Writes take effect, and their connections are closed without a response.
    LoseAnswers,
}

#[derive(Debug, Default)]
struct Inner {
    rows: Rows,
    fault: StoreFault,
    has_reclaimable: bool,
    usage: Vec<RecordedUsage>,
    orders: Vec<RecordedOrder>,
    reads: u64,
    writes: u64,
    /// Number of times that the store came back from a copy, which all its responses state.
    era: u64,
    /// Whether responses state the era before the current one.
    states_old_era: bool,
}

impl Inner {
    /// Returns the era that responses state.
    fn stated_era(&self) -> u64 {
        self.era.saturating_sub(u64::from(self.states_old_era))
    }
}

/// `Shared` is the state that the routes share. `ver` announces each commit.
#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    ver: watch::Sender<u64>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `UsersPlatform` is a running stand-in. Dropping it closes its connections.
#[derive(Debug)]
pub struct UsersPlatform {
    server: Server,
    shared: Arc<Shared>,
}

impl UsersPlatform {
    /// Starts on any free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// An I/O error when no port can be listened on.
    pub async fn start() -> io::Result<Self> {
        let inner = Inner {
            has_reclaimable: true,
            ..Inner::default()
        };
        let shared = Arc::new(Shared {
            inner: Mutex::new(inner),
            ver: watch::Sender::new(0),
        });
        let server = Server::start(any_port(), router(&shared), HangUp::Cancels).await?;
        Ok(Self { server, shared })
    }

    /// Opens another address of the same store, whose readers get `links` in place of the addresses of
    /// replicas. A node that uses it reaches the replicas over these links.
    ///
    /// # Errors
    ///
    /// An I/O error when no port can be listened on.
    pub async fn open_view(&self, links: ReplicaLinks) -> io::Result<Server> {
        let router = router(&self.shared).layer(from_fn_with_state(Arc::new(links), use_links));
        Server::start(any_port(), router, HangUp::Cancels).await
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
    }

    /// Sets whether reclaimable replicas are available.
    pub fn set_has_reclaimable(&self, has_reclaimable: bool) {
        self.shared.lock().has_reclaimable = has_reclaimable;
    }

    /// Writes a row with a JSON value, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row with any value, as another writer may.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        self.put_raw(table, key, STANDARD.encode(value));
    }

    /// Writes a row with `value` stored unchanged, which need not be base64.
    pub fn put_raw(&self, table: &str, key: &str, value: String) {
        let name = row_name(table, key);
        self.commit(Transaction {
            set_keys: vec![Put { name, value }],
            ..Transaction::default()
        });
    }

    /// Returns the JSON value of a row, if there is one.
    pub fn value(&self, table: &str, key: &str) -> Option<Value> {
        let (rows, _) = self.shared.lock().rows.page(table, key, 1);
        let row = rows.into_iter().find(|row| row["key"] == key)?;
        let value = STANDARD.decode(row["value"].as_str()?).ok()?;
        serde_json::from_slice(&value).ok()
    }

    /// Orders the rollout of a version, as the operator does.
    pub fn order_rollout(&self, service: &str, target: &str, duration_s: f64) {
        let order = json!({"service": service, "target": target, "duration_s": duration_s});
        self.put("op", &format!("rollout/{service}"), &order);
    }

    /// Returns the state of the rollout of a service and its target, as the system states them.
    pub fn rollout_status(&self, service: &str) -> Option<(String, String)> {
        let status = self.value("status", &format!("rollout/{service}"))?;
        let field = |name: &str| status[name].as_str().map(str::to_owned);
        Some((field("state")?, field("target")?))
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.commit(Transaction {
            remove: vec![row_name(table, key)],
            ..Transaction::default()
        });
    }

    /// Discards the history of changes.
    pub fn forget_history(&self) {
        self.shared.lock().rows.discard_history();
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> Rows {
        self.shared.lock().rows.clone()
    }

    /// Restores the store from a copy. The versions since then are given out again.
    pub fn restore(&self, copy: Rows) {
        let ver = copy.ver();
        let mut inner = self.shared.lock();
        inner.rows = copy;
        inner.era += 1;
        drop(inner);
        self.shared.ver.send_replace(ver);
    }

    /// Sets whether responses state the era before the current one, as late ones do.
    pub fn set_states_old_era(&self, states_old_era: bool) {
        self.shared.lock().states_old_era = states_old_era;
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let (rows, _) = self.shared.lock().rows.page(table, "", usize::MAX);
        let key = |row: &Value| row["key"].as_str().map(str::to_owned);
        rows.iter().filter_map(key).collect()
    }

    /// Returns the keys of a table with their values, of which those that are not JSON are null.
    pub fn values(&self, table: &str) -> Vec<(String, Value)> {
        let (rows, _) = self.shared.lock().rows.page(table, "", usize::MAX);
        let value = |row: &Value| {
            let bytes = STANDARD.decode(row["value"].as_str()?).ok()?;
            serde_json::from_slice(&bytes).ok()
        };
        let entry = |row: &Value| {
            let key = row["key"].as_str()?.to_owned();
            Some((key, value(row).unwrap_or_default()))
        };
        rows.iter().filter_map(entry).collect()
    }

    /// Returns the usage reports received so far.
    pub fn usage(&self) -> Vec<RecordedUsage> {
        self.shared.lock().usage.clone()
    }

    /// Returns the scaling orders received so far.
    pub fn orders(&self) -> Vec<RecordedOrder> {
        self.shared.lock().orders.clone()
    }

    /// Returns the numbers of read and write calls received so far.
    pub fn call_counts(&self) -> (u64, u64) {
        let inner = self.shared.lock();
        (inner.reads, inner.writes)
    }

    fn commit(&self, transaction: Transaction) {
        let committed = self.shared.lock().rows.commit(transaction);
        if let Ok(ver) = committed {
            self.shared.ver.send_replace(ver);
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn router(shared: &Arc<Shared>) -> Router {
    let feed_era = from_fn_with_state(Arc::clone(shared), state_era);
    Router::new()
        .route("/rows-tx", post(write))
        .route("/rows-get", get(read))
        .layer(from_fn_with_state(
            Arc::clone(shared),
            state_era_unless_restored,
        ))
        .route("/rows-feed", get(feed).layer(feed_era))
        .route("/usage", post(usage))
        .route("/scaling", post(scaling))
        .with_state(Arc::clone(shared))
}

fn row_name(table: &str, key: &str) -> RowName {
    RowName {
        table: table.to_owned(),
        part: String::new(),
        key: key.to_owned(),
    }
}

/// Adds the era of the store to a response. A waiting call is answered in the era in which its wait ends.
async fn state_era(State(shared): State<Arc<Shared>>, req: Request, next: Next) -> Response {
    let mut response = next.run(req).await;
    let stated = shared.lock().stated_era();
    response.headers_mut().insert("store-era", stated.into());
    response
}

/// As [`state_era`], but a call that a restore interrupts gets no response, because its rows may be those of the era
/// before.
async fn state_era_unless_restored(
    State(shared): State<Arc<Shared>>,
    req: Request,
    next: Next,
) -> Response {
    let era = shared.lock().era;
    let mut response = next.run(req).await;
    let stated = {
        let inner = shared.lock();
        if inner.era != era {
            return abandoned();
        }
        inner.stated_era()
    };
    response.headers_mut().insert("store-era", stated.into());
    response
}

/// Returns the response that the fault of the store gives to every call, if any.
async fn fault_response(shared: &Shared) -> Option<Response> {
    let fault = shared.lock().fault;
    match fault {
        StoreFault::None | StoreFault::LoseAnswers => None,
        StoreFault::Busy => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        StoreFault::TooMany => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
        StoreFault::Reset => Some(abandoned()),
        StoreFault::Silent => {
            sleep(Duration::from_secs(3_600)).await;
            Some(abandoned())
        }
    }
}

fn abandoned() -> Response {
    let mut response = StatusCode::OK.into_response();
    response.extensions_mut().insert(Abandoned);
    response
}

async fn write(State(shared): State<Arc<Shared>>, Json(tx): Json<Transaction>) -> Response {
    shared.lock().writes += 1;
    if let Some(response) = fault_response(&shared).await {
        return response;
    }
    let (committed, loses_answer) = {
        let mut inner = shared.lock();
        let loses_answer = inner.fault == StoreFault::LoseAnswers;
        (inner.rows.commit(tx), loses_answer)
    };
    if let Ok(ver) = committed {
        shared.ver.send_replace(ver);
    }
    if loses_answer {
        return abandoned();
    }
    match committed {
        Ok(ver) => Json(json!({"ver": ver, "now_ms": 1})).into_response(),
        Err(rows) => {
            let body = Json(json!({"rows": rows, "now_ms": 1}));
            (StatusCode::PRECONDITION_FAILED, body).into_response()
        }
    }
}

#[derive(Debug, Deserialize)]
struct PageQuery {
    table: String,
    #[serde(default)]
    from: String,
    #[serde(default = "default_limit")]
    limit: usize,
}

fn default_limit() -> usize {
    500
}

async fn read(State(shared): State<Arc<Shared>>, Query(query): Query<PageQuery>) -> Response {
    shared.lock().reads += 1;
    if let Some(response) = fault_response(&shared).await {
        return response;
    }
    let inner = shared.lock();
    let (rows, has_more) = inner.rows.page(&query.table, &query.from, query.limit);
    let body = json!({
        "rows": rows, "more_pages": has_more, "ver": inner.rows.ver(), "now_ms": 1,
    });
    Json(body).into_response()
}

#[derive(Debug, Deserialize)]
struct FeedQuery {
    table: String,
    since_rev: u64,
    wait_ms: u64,
}

async fn feed(State(shared): State<Arc<Shared>>, Query(query): Query<FeedQuery>) -> Response {
    shared.lock().reads += 1;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut ver = shared.ver.subscribe();
    loop {
        if let Some(response) = fault_response(&shared).await {
            return response;
        }
        let (changed, newest) = {
            let inner = shared.lock();
            let changed = inner.rows.changed(&query.table, query.since_rev);
            (changed, inner.rows.ver())
        };
        let Some(rows) = changed else {
            return StatusCode::GONE.into_response();
        };
        let has_timed_out = Instant::now() >= deadline;
        if !rows.is_empty() || has_timed_out {
            return Json(json!({"rows": rows, "ver": newest, "now_ms": 1})).into_response();
        }
        // After a timeout or a change the rows are read again.
        let _ = timeout_at(deadline, ver.changed()).await;
    }
}

async fn usage(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(call): Json<UsageCall>,
) -> Response {
    let Some((holder, fence)) = parse_sender(&headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let record = RecordedUsage {
        call,
        holder,
        fence,
    };
    shared.lock().usage.push(record);
    StatusCode::OK.into_response()
}

async fn scaling(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(call): Json<ScalingCall>,
) -> Response {
    let Some((holder, fence)) = parse_sender(&headers) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut inner = shared.lock();
    let is_refused = call.spot && call.desired > 0 && !inner.has_reclaimable;
    inner.orders.push(RecordedOrder {
        call,
        holder,
        fence,
    });
    match is_refused {
        true => StatusCode::CONFLICT.into_response(),
        false => StatusCode::OK.into_response(),
    }
}
