//! A model replica leaves while the others have no room for what is new of its runs.

use std::{
    collections::{BTreeMap, BTreeSet},
    env::temp_dir,
    fs,
    net::TcpListener,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    http::{self, Connection, Message, is_closed},
    json::Json,
    store::Store,
    world::{HOST, KEY, Machine, Node, Record, TENANT, unix_ms},
};

const MACHINE: Machine = Machine { memory_mb: 182, descriptors: 2_870 };

/// Length of a stream and pause before each event.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);

/// Streams that run when the replica leaves.
const STREAMS: u64 = 45;

/// Requests that may be cut off at any time. The rule allows three.
const ALLOWED: usize = 3;

/// A run at a replica.
#[derive(Default)]
struct Run {
    /// Whether a call asks to stop it.
    is_asked_to_stop: AtomicBool,
    has_ended: AtomicBool,
    /// Events that were made.
    events: AtomicU64,
}

struct Replica {
    name: &'static str,
    is_leaving: AtomicBool,
    /// The last run of each request here.
    runs: Mutex<BTreeMap<String, Arc<Run>>>,
    /// Handles of runs that were stopped and can go on here.
    handles: Mutex<BTreeSet<String>>,
    next_handle: AtomicU64,
    record: Arc<Record>,
}

impl Replica {
    fn start(store: &Arc<Store>, name: &'static str, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica = Arc::new(Self {
            name,
            is_leaving: AtomicBool::new(false),
            runs: Mutex::default(),
            handles: Mutex::default(),
            next_handle: AtomicU64::new(1),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&replica);
        http::serve(listener, move |connection| served.serve(connection));
        let (store, own) = (Arc::clone(store), Arc::clone(&replica));
        let born = unix_ms();
        thread::spawn(move || {
            let mut last = None;
            for sequence in 1u64.. {
                let is_leaving = own.is_leaving.load(Ordering::Relaxed);
                let state = if is_leaving { "draining" } else { "ready" };
                if last != Some(is_leaving) || sequence % 12 == 0 {
                    let entry = format!(
                        "{{\"service\":\"models\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\
                         \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
                    );
                    store.put("servers", name, &entry);
                    last = Some(is_leaving);
                }
                sleep(Duration::from_millis(100));
            }
        });
        replica
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(req)) = connection.request() {
            let id = format!("instance-id: {}\r\n", self.name);
            if req.header("expect-instance").is_some_and(|expected| expected != self.name) {
                let _ = connection.respond("421 Misdirected Request", &id, b"");
            } else if req.target() == "/health" || req.target() == "/report" {
                let _ = connection.respond("200 OK", &id, b"{}");
            } else if req.target() == "/kv-move" {
                let (status, body) = self.move_run(&req);
                let _ = connection.respond(status, &id, body.as_bytes());
            } else if req.header("attempt-id").is_none() {
                let _ = connection.respond("404 Not Found", &id, b"{}");
            } else if self.stream(&mut connection, &req).is_err() {
                return;
            }
        }
    }

    /// Copies a run, which has room at its target, or stops it, when there is no room for what is new.
    fn move_run(&self, req: &Message) -> (&'static str, String) {
        let call = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let id = call.get("id").text();
        let run = self.runs.lock().unwrap().get(id).cloned();
        let Some(run) = run.filter(|run| !run.has_ended.load(Ordering::Relaxed)) else {
            return ("404 Not Found", "{}".to_owned());
        };
        let handle = format!("h{}", self.next_handle.fetch_add(1, Ordering::Relaxed));
        let body = |run: &Run| format!("{{\"handle\":\"{handle}\",\"created_rev\":{}}}", run.events.load(Ordering::Relaxed));
        if *call.get("last") != Json::Bool(true) {
            self.record.line(&format!("{} copied the run of {id}", self.name));
            return ("200 OK", body(&run));
        }
        run.is_asked_to_stop.store(true, Ordering::Relaxed);
        while !run.has_ended.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(1));
        }
        self.handles.lock().unwrap().insert(handle.clone());
        self.record.line(&format!("{} stopped the run of {id}, no room at the target for what is new", self.name));
        ("503 Service Unavailable", body(&run))
    }

    /// Streams the events after the last one that the request names. A request with a handle goes on with a run that was
    /// stopped here.
    fn stream(&self, connection: &mut Connection, req: &Message) -> std::io::Result<()> {
        let id = req.header("attempt-id").unwrap_or("").to_owned();
        let last: u64 = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let handle = req.header("kv-from").and_then(|from| from.split_once('/')).map(|(_, handle)| handle);
        if handle.is_some_and(|handle| !self.handles.lock().unwrap().remove(handle)) {
            return connection.respond("503 Service Unavailable", "not-executed: 1\r\n", b"");
        }
        let events: u64 = if req.target().ends_with("/short") { 2 } else { EVENTS };
        let run = Arc::new(Run::default());
        self.runs.lock().unwrap().insert(id.clone(), Arc::clone(&run));
        self.record.line(&format!("{} runs {id} from event {}", self.name, last + 1));
        let sent = self.make_events(connection, &id, last, events, &run);
        run.has_ended.store(true, Ordering::Relaxed);
        if run.is_asked_to_stop.load(Ordering::Relaxed) {
            // The stream is closed without its end.
            return Err(std::io::ErrorKind::Interrupted.into());
        }
        sent
    }

    fn make_events(&self, connection: &mut Connection, id: &str, last: u64, events: u64, run: &Run) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal-of-the-replica\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        connection.send(head.as_bytes())?;
        for event in last + 1..=events {
            sleep(PAUSE);
            if run.is_asked_to_stop.load(Ordering::Relaxed) {
                return Ok(());
            }
            if is_closed(&connection.stream) {
                self.record.line(&format!("{} was left with the run of {id}", self.name));
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            let text = format!("id: {event}\ndata: {}\n\n", ".".repeat(60));
            connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            run.events.store(event, Ordering::Relaxed);
        }
        connection.send(b"0\r\n\r\n")
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-drafts\",\"host\":\"{HOST}\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\
         \"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"models\",\"max_attempts\":1,\"anonymous\":false,\
         \"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":1000}}],\"services\":[{{\"name\":\"models\",\
         \"health_path\":\"/health\",\"max_connections\":781,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity_tokens\":474455,\"kv_token_bytes\":18432,\"moves\":true,\"stride\":6}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\
         \"rate_per_s\":110548,\"burst\":110548}}]}}"
    )
}

/// Returns whether more than `ALLOWED` requests from kept connections were cut off, or `None` if the case could not run.
pub fn run(program: &Path, folder: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::open(folder);
    let temp = temp_dir().join(format!("review-moves-{}", std::process::id()));
    fs::create_dir_all(&temp).ok()?;
    let store = Store::start();
    store.put("op", "config", &configuration());
    let replicas: Vec<_> = ["i-m1", "i-m2", "i-m3", "i-m4", "i-m5", "i-m6", "i-m7", "i-m8", "i-m9"].map(|name| Replica::start(&store, name, &record)).into();
    let mut nodes: Vec<_> = (1..=2).map(|n| Node::start(program, &temp, store.address, n, MACHINE)).collect();
    if !nodes.iter_mut().all(|node| node.wait_ready(Duration::from_secs(10))) {
        return None;
    }
    // From here on the nodes are in touch: nothing has happened for longer than `stable_window_ms`.
    sleep(Duration::from_secs(5));
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (to, record) = (nodes[n as usize % 2].callers, Arc::clone(&record));
            thread::spawn(move || {
                let mut connection = Connection::connect(to, Duration::from_secs(16)).ok()?;
                // After this request the connection is a kept one.
                ask(&mut connection, n, "short").ok()?;
                sleep(Duration::from_millis(300 + 20 * n));
                let answer = ask(&mut connection, n, "long");
                record.line(&format!("caller 51c0{n:012x} got {answer:?}"));
                Some(answer.is_ok())
            })
        })
        .collect();
    sleep(Duration::from_millis(2_000));
    if has_trouble {
        // The replica with the most streams leaves. It goes on serving for longer than `drain_ms`, to the end of its streams.
        let count = |replica: &Arc<Replica>| {
            let runs = replica.runs.lock().unwrap();
            runs.values().filter(|run| !run.has_ended.load(Ordering::Relaxed)).count()
        };
        let leaving = replicas.iter().max_by_key(|replica| count(replica))?;
        record.line(&format!("replica {} says that it leaves, with {} streams", leaving.name, count(leaving)));
        leaving.is_leaving.store(true, Ordering::Relaxed);
    }
    let answers: Vec<_> = callers.into_iter().map(|caller| caller.join().ok().flatten()).collect();
    let cut_off = answers.iter().filter(|answer| **answer == Some(false)).count();
    println!("streams cut off: {cut_off} of {STREAMS}");
    drop(nodes);
    let _ = fs::remove_dir_all(&temp);
    (answers.iter().all(Option::is_some)).then_some(cut_off > ALLOWED)
}

/// Sends a draft and reads its whole answer. Returns the number of its events.
fn ask(connection: &mut Connection, number: u64, length: &str) -> std::io::Result<usize> {
    let id = format!("{}{number:012x}", if length == "long" { "51c0" } else { "51c1" });
    let req = format!(
        "POST /draft/{length} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\nmodel: m\r\ntoken-count: 600,360\r\n\
         prompt-prefix: a1:119,{number:x}:481\r\ndeadline-ms: 15000\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 2\r\n\r\nhi"
    );
    connection.send(req.as_bytes())?;
    let res = connection.response()?;
    match res.status() {
        200 => Ok(res.body.windows(4).filter(|bytes| bytes == b"id: ").count()),
        status => Err(std::io::Error::other(format!("status {status}"))),
    }
}
