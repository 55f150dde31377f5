//! A model replica that leaves while it streams, and that does not drop a request when its connection closes. The
//! others do.

use std::{
    env::temp_dir,
    fs,
    net::TcpListener,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Message, is_closed},
    store::Store,
    world::{HOST, KEY, Machine, Node, Record, TENANT, unix_ms},
};

const MACHINE: Machine = Machine { memory_mb: 182, descriptors: 2_870 };

/// Time after which the replica before may no longer work on a request that goes on at another one.
const OVERLAP: Duration = Duration::from_millis(400);

/// Length of a stream and pause before each event.
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(100);

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Streams that run when the replica leaves.
const STREAMS: u64 = 12;

/// A request that a replica began to run, with the time of its first token.
struct Run {
    id: String,
    replica: &'static str,
    began: Instant,
    ended: Option<Instant>,
}

struct Replica {
    name: &'static str,
    /// Whether it drops a request when its connection closes.
    drops: AtomicBool,
    is_leaving: AtomicBool,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    fn start(store: &Arc<Store>, name: &'static str, runs: &Arc<Mutex<Vec<Run>>>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica = Arc::new(Self {
            name,
            drops: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            runs: Arc::clone(runs),
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
            } else if req.header("attempt-id").is_none() {
                let _ = connection.respond("404 Not Found", &id, b"{}");
            } else if self.stream(&mut connection, &req).is_err() {
                return;
            }
        }
    }

    /// Streams the events after the last one that the request names.
    fn stream(&self, connection: &mut Connection, req: &Message) -> std::io::Result<()> {
        let id = req.header("attempt-id").unwrap_or("").to_owned();
        let last: u64 = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let leaving = if self.is_leaving.load(Ordering::Relaxed) { "server-leaving: 1\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-seal: seal-of-the-replica\r\n{leaving}\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let mut sent = connection.send(head.as_bytes());
        sleep(PAUSE);
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { id, replica: self.name, began: Instant::now(), ended: None });
            runs.len() - 1
        };
        for event in last + 1..=EVENTS {
            if sent.is_ok() {
                let text = format!("id: {event}\ndata: {}\n\n", ".".repeat(60));
                sent = connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            }
            let is_closed = sent.is_err() || is_closed(&connection.stream);
            if is_closed && self.drops.load(Ordering::Relaxed) {
                break;
            }
            sleep(PAUSE);
        }
        self.runs.lock().unwrap()[index].ended = Some(Instant::now());
        sent?;
        connection.send(b"0\r\n\r\n")
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-notes\",\"host\":\"{HOST}\",\"prefix\":\"/notes/\",\"kind\":\"streaming\",\
         \"timeout_ms\":12000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"models\",\"max_attempts\":2,\"anonymous\":false,\
         \"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":1000}}],\"services\":[{{\"name\":\"models\",\
         \"health_path\":\"/health\",\"max_connections\":781,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity_tokens\":474455,\"kv_token_bytes\":18432,\"moves\":true,\"stride\":6}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\
         \"rate_per_s\":110548,\"burst\":110548}}]}}"
    )
}

/// Returns whether a request went on at a replica while the one before worked on it for longer than `OVERLAP`, or
/// `None` if the case could not run.
pub fn run(program: &Path, folder: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::open(folder);
    let temp = temp_dir().join(format!("review-drain-{}", std::process::id()));
    fs::create_dir_all(&temp).ok()?;
    let store = Store::start();
    store.put("op", "config", &configuration());
    let runs = Arc::new(Mutex::new(Vec::new()));
    let replicas: Vec<_> = ["i-m1", "i-m2", "i-m3"].map(|name| Replica::start(&store, name, &runs)).into();
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
                sleep(Duration::from_millis(40 * n));
                let id = format!("51c0{n:012x}");
                let req = format!(
                    "POST /notes/2f HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\nmodel: m\r\ntoken-count: 600,360\r\n\
                     prompt-prefix: a1:119,{n:x}:481\r\ndeadline-ms: 12000\r\nauthorization: Bearer {KEY}\r\n\
                     content-length: 2\r\n\r\nhi"
                );
                let Ok(mut connection) = Connection::connect(to, Duration::from_secs(13)) else { return };
                let _ = connection.send(req.as_bytes());
                match connection.response() {
                    Ok(res) => record.line(&format!("caller {id} answered {} with {} bytes", res.status(), res.body.len())),
                    Err(error) => record.line(&format!("caller {id} not answered: {error}")),
                }
            })
        })
        .collect();
    sleep(Duration::from_millis(1_500));
    if has_trouble {
        // The replica with the most streams leaves. It is one that does not drop a request when its connection closes.
        let count = |replica: &Arc<Replica>| runs.lock().unwrap().iter().filter(|run| run.replica == replica.name).count();
        let leaving = replicas.iter().max_by_key(|replica| count(replica))?;
        record.line(&format!("replica {} says that it leaves", leaving.name));
        leaving.drops.store(false, Ordering::Relaxed);
        leaving.is_leaving.store(true, Ordering::Relaxed);
        // It goes on serving for `drain_ms` and a little longer; the streams end before it would exit.
        sleep(DRAIN);
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    sleep(Duration::from_secs(7));
    let broken = judge(&runs.lock().unwrap(), &record);
    println!("requests that went on at another replica while the one before still worked on them: {broken}");
    drop(nodes);
    let _ = fs::remove_dir_all(&temp);
    Some(broken > 0)
}

fn judge(runs: &[Run], record: &Record) -> usize {
    let first = runs.first().map(|run| run.began);
    let mut broken = 0;
    for run in runs {
        let since = |at: Instant| first.map_or(0, |first| at.saturating_duration_since(first).as_millis());
        let ended = run.ended.map_or("not at all".to_owned(), |at| format!("at {} ms", since(at)));
        record.line(&format!("{} began {} at {} ms, ended {ended}", run.replica, run.id, since(run.began)));
        let others = runs.iter().filter(|other| other.id == run.id && other.began > run.began);
        for other in others {
            let works_on = run.ended.is_none_or(|ended| ended > other.began + OVERLAP);
            if works_on {
                broken += 1;
                record.line(&format!("{} went on at {} while {} worked on it", run.id, other.replica, run.replica));
            }
        }
    }
    broken
}
