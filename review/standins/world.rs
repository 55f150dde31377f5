//! A small deployment: replicas, nodes with the settings of the deploy file, and ordinary callers.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection},
    store::Store,
};

pub const HOST: &str = "permits.example";
pub const TENANT: &str = "paving";
pub const KEY: &str = "key-of-paving-0001";
pub const OTHER_TENANT: &str = "trenching";
pub const OTHER_KEY: &str = "key-of-trenching-0001";

/// What was sent, answered and run, in the file `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(folder: &Path) -> Arc<Self> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(folder.join("record.txt"));
        Arc::new(Self { file: Mutex::new(file.expect("record.txt can be written")), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// The configuration of a small deployment, with the limits, time-outs and quotas of the site's examples. The desk
/// answers lookups (idempotent) and filings (non-idempotent); the models answer drafts in streams.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":{attempts},\
             \"anonymous\":false,\"session_affinity\":{},\"resumable\":false,\"gap_target_ms\":1000}}",
            kind == "streaming"
        )
    };
    let tenant = |name: &str, key: &str| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\
             \"rate_per_s\":110548,\"burst\":110548}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":232,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":781,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity_tokens\":474455,\"kv_token_bytes\":18432,\"moves\":true,\"stride\":6}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{},{}]}}",
        route("lookup", "idempotent", "desk", 2_000, 2),
        route("file", "non_idempotent", "desk", 2_000, 1),
        route("draft", "streaming", "models", 15_000, 1),
        tenant(TENANT, KEY),
        tenant(OTHER_TENANT, OTHER_KEY),
    )
}

/// What a replica does with a request that has a place.
#[derive(Clone, Copy)]
pub enum Work {
    /// Works for some time and answers 800 bytes.
    Answer(Duration),
    /// Streams this many events, each after a pause.
    Stream(u64, Duration),
}

/// Kind of a replica, with the places of the site.
#[derive(Clone, Copy)]
pub struct ReplicaKind {
    pub service: &'static str,
    pub slots: u64,
    pub queue: u64,
    pub work: Work,
}

/// A replica that runs requests in its slots, queues a few more and sheds the rest.
pub struct Replica {
    pub id: String,
    pub kind: ReplicaKind,
    pub runs: Mutex<Vec<String>>,
    /// Requests that run or wait.
    taken: Mutex<u64>,
    running: Mutex<u64>,
    freed: Condvar,
}

pub fn start_replica(store: &Arc<Store>, id: &str, kind: ReplicaKind) -> Arc<Replica> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let replica = Arc::new(Replica {
        id: id.to_owned(),
        kind,
        runs: Mutex::default(),
        taken: Mutex::default(),
        running: Mutex::default(),
        freed: Condvar::new(),
    });
    let served = Arc::clone(&replica);
    http::serve(listener, move |connection| served.serve(connection));
    let (store, own) = (Arc::clone(store), id.to_owned());
    let born = unix_ms();
    thread::spawn(move || {
        for sequence in 1u64.. {
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
                kind.service, kind.slots
            );
            store.put("servers", &own, &entry);
            sleep(Duration::from_millis(1200));
        }
    });
    replica
}

impl Replica {
    fn load(&self) -> String {
        let running = *self.running.lock().unwrap();
        let taken = *self.taken.lock().unwrap();
        format!("instance-load: {running},{},{}\r\n", taken.saturating_sub(running), self.kind.slots)
    }

    fn serve(&self, mut connection: Connection) {
        let id = &self.id;
        while let Ok(Some(req)) = connection.request() {
            if req.target() == "/health" || req.target() == "/report" {
                let headers = format!("instance-id: {id}\r\n{}", self.load());
                let _ = connection.respond("200 OK", &headers, b"{}");
                continue;
            }
            if req.header("expect-instance").is_some_and(|expected| expected != id) {
                let headers = format!("instance-id: {id}\r\n");
                let _ = connection.respond("421 Misdirected Request", &headers, b"");
                continue;
            }
            if !self.take() {
                let headers = format!("not-executed: 1\r\n{}", self.load());
                let _ = connection.respond("503 Service Unavailable", &headers, b"");
                continue;
            }
            self.wait_for_slot();
            let attempt = req.header("attempt-id").unwrap_or("").to_owned();
            self.runs.lock().unwrap().push(attempt.clone());
            let sent = self.run(&mut connection, &attempt);
            self.free();
            if sent.is_err() {
                return;
            }
        }
    }

    fn run(&self, connection: &mut Connection, attempt: &str) -> std::io::Result<()> {
        let seal = format!("attempt-id: {attempt}\r\nserver-seal: seal-of-the-replica\r\n{}", self.load());
        match self.kind.work {
            Work::Answer(time) => {
                sleep(time);
                connection.respond("200 OK", &seal, &[b'.'; 800])
            }
            Work::Stream(events, pause) => {
                let head = format!("HTTP/1.1 200 OK\r\n{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
                connection.send(head.as_bytes())?;
                for event in 1..=events {
                    sleep(pause);
                    let text = format!("id: {event}\ndata: {}\n\n", ".".repeat(60));
                    connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                }
                connection.send(b"0\r\n\r\n")
            }
        }
    }

    fn take(&self) -> bool {
        let mut taken = self.taken.lock().unwrap();
        let has_room = *taken < self.kind.slots + self.kind.queue;
        *taken += u64::from(has_room);
        has_room
    }

    fn wait_for_slot(&self) {
        let mut running = self.running.lock().unwrap();
        while *running >= self.kind.slots {
            running = self.freed.wait(running).unwrap();
        }
        *running += 1;
    }

    fn free(&self) {
        *self.running.lock().unwrap() -= 1;
        *self.taken.lock().unwrap() -= 1;
        self.freed.notify_one();
    }
}

/// Application replicas of the site.
pub const DESK: ReplicaKind = ReplicaKind { service: "desk", slots: 6, queue: 24, work: Work::Answer(Duration::from_millis(60)) };

/// Model replicas of the site, with the longest drafts: 187 events.
pub const MODEL: ReplicaKind =
    ReplicaKind { service: "models", slots: 64, queue: 134, work: Work::Stream(64, Duration::from_millis(100)) };

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}

/// A node, as the deploy file starts it.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Limits of a machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub descriptors: u64,
}

fn free_address(ip: &str) -> SocketAddr {
    let ip: IpAddr = ip.parse().expect("an address");
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Node {
    pub fn start(program: &Path, folder: &Path, store: SocketAddr, number: u8, machine: Machine) -> Self {
        Self::start_with(program, folder, store, store, number, machine)
    }

    /// Starts a node that reaches the store and the calls of the duties at these addresses.
    pub fn start_with(
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        duties: SocketAddr,
        number: u8,
        machine: Machine,
    ) -> Self {
        let ip = format!("127.0.0.{}", 10 + number);
        let name = format!("node-a-{number}");
        let (callers, readiness) = (free_address(&ip), free_address(&ip));
        let (peers, metrics) = (free_address(&ip), free_address(&ip));
        let text = format!(
            "{{\n  \"mode\": \"relay\", \"node\": \"{name}\", \"availability_zone\": \"zone-a\",\n  \
             \"listeners\": {{\"callers\": \"{callers}\", \"readiness\": \"{readiness}\", \"peers\": \"{peers}\", \
             \"metrics\": \"{metrics}\"}},\n  \
             \"platform\": {{\"kind\": \"users\", \"store\": \"{store}\", \"duties\": \"{duties}\", \
             \"writes_per_second\": 400, \"reads_per_second\": 2000}},\n  \
             \"promises\": {{\"apply_ms\": 2000, \"drain_ms\": 2000, \"calm_ms\": 3000, \"grace_s\": 8, \"lease_ms\": 3000, \
             \"pass_ms\": 120}},\n  \"retries\": {{\"ratio\": 0.2, \"window_s\": 10, \"extra\": 122}},\n  \
             \"quotas\": {{\"window_s\": 8, \"overage\": 0.1, \"slack\": 140000}},\n  \
             \"usage\": {{\"window_s\": 5, \"late_s\": 10}},\n  \
             \"limits\": {{\"memory_mib\": {}, \"descriptors\": {}}},\n  \"log\": \"info\"\n}}\n",
            machine.memory_mb, machine.descriptors
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &settings, &log);
        Self { name, callers, readiness, settings, program: program.to_owned(), log, child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Starts the process again after it ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        ask(self.readiness, "GET /readiness HTTP/1.1\r\nhost: ready\r\n\r\n", Duration::from_secs(1)) == Some(200)
    }

    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            if self.end().is_some() {
                return false;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns how the process ended, if it has.
    pub fn end(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Sends a signal to the process, by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    /// Returns the resident memory in bytes.
    pub fn resident(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kib| kib.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Returns the bytes that were received on the connections of its clients and that it has not read, and the
    /// number of these connections.
    pub fn unread(&self) -> (u64, usize) {
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let SocketAddr::V4(callers) = self.callers else { return (0, 0) };
        let own = format!("{:08X}:{:04X}", u32::from_le_bytes(callers.ip().octets()), callers.port());
        let (mut bytes, mut count) = (0, 0);
        for line in table.lines().skip(1) {
            let fields: Vec<_> = line.split_whitespace().collect();
            // Connections that were not accepted yet have no inode, and the listener's state is 0A.
            let is_own = fields.len() > 9 && fields[1] == own && fields[3] != "0A" && fields[9] != "0";
            if let Some((_, queue)) = is_own.then(|| fields[4].split_once(':')).flatten() {
                bytes += u64::from_str_radix(queue, 16).unwrap_or(0);
                count += 1;
            }
        }
        (bytes, count)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let out = OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new(program);
    command.arg("node").arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stdout(out).stderr(Stdio::null());
    command.spawn().expect("the node starts")
}

/// Sends a request on a new connection and returns the status of the response.
pub fn ask(to: SocketAddr, req: &str, limit: Duration) -> Option<u16> {
    let mut connection = Connection::connect(to, limit).ok()?;
    connection.send(req.as_bytes()).ok()?;
    connection.response().ok().map(|response| response.status())
}

/// Counts of ordinary calls.
#[derive(Default)]
pub struct Calls {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    next: AtomicU64,
}

/// A permit lookup with a new id.
pub fn lookup(calls: &Calls) -> (String, String) {
    let id = format!("{:016x}", 0x7a10_0000_0000_0000 + calls.next.fetch_add(1, Ordering::Relaxed));
    let req = format!(
        "GET /lookup/2f HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\ndeadline-ms: 4000\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    (id, req)
}

/// Sends ordinary calls on new connections until `stop`, one after the other.
pub fn call_steadily(to: SocketAddr, calls: &Calls, pause: Duration, stop: &AtomicBool, record: &Record) {
    while !stop.load(Ordering::Relaxed) {
        let (id, req) = lookup(calls);
        calls.sent.fetch_add(1, Ordering::Relaxed);
        let status = ask(to, &req, Duration::from_secs(4));
        record.line(&format!("caller {id} answered {status:?}"));
        if status == Some(200) {
            calls.served.fetch_add(1, Ordering::Relaxed);
        }
        sleep(pause);
    }
}
