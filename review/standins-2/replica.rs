//! Replicas: a plain service, and models whose streams may be cut off by a reset.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_message, respond},
    json::Json,
    record::Record,
    store::Platform,
};

/// `Started` is a request that a replica began to run.
#[derive(Debug, Clone)]
pub struct Started {
    pub at: Instant,
    pub id: String,
}

/// Decides after which event a run is reset, by its number at the replica and its last event.
pub type Resets = Arc<dyn Fn(u64, u64) -> Option<u64> + Send + Sync>;

/// `Replica` is a running replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    address: SocketAddr,
    runs: Arc<Mutex<Vec<Started>>>,
    /// Runs in progress by their ids. A run whose flag is set stops.
    streams: Arc<Mutex<BTreeMap<String, Arc<AtomicBool>>>>,
    /// Handles of stopped runs that were not used yet.
    handles: Arc<Mutex<BTreeMap<String, String>>>,
    running: Arc<AtomicU32>,
    entry: String,
    platform: Platform,
    resets: Resets,
    record: Record,
}

/// Events of a stream, and the time between two of them.
pub const EVENTS: u64 = 49;
const PAUSE: Duration = Duration::from_millis(20);

/// Events of a draft, and the time between two of them.
pub const DRAFT: (u64, Duration) = (64, Duration::from_millis(70));

/// Time of a plain request.
const WORK: Duration = Duration::from_millis(20);

impl Replica {
    /// Starts a replica and writes its entry into the store.
    pub fn start(
        platform: &Platform,
        id: &str,
        service: &str,
        slots: u32,
        resets: Resets,
        record: Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |time| time.as_millis());
        let address = listener.local_addr()?;
        let replica = Self {
            id: id.to_owned(),
            address,
            runs: Arc::default(),
            streams: Arc::default(),
            handles: Arc::default(),
            running: Arc::default(),
            entry: format!(
                r#""service":"{service}","address":"{address}","zone":"pnw-a","version":"v1","slots":{slots},"cold_remaining_ms":0,"born":{born}"#
            ),
            platform: platform.clone(),
            resets,
            record,
        };
        replica.register("ready", 1);
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Writes the entry of the replica into the store.
    pub fn register(&self, state: &str, sequence: u32) {
        let entry = &self.entry;
        let entry = format!(r#"{{{entry},"state":"{state}","sequence":{sequence}}}"#);
        self.platform.put("servers", &self.id, &entry);
    }

    /// Returns the requests that the replica began to run.
    pub fn runs(&self) -> Vec<Started> {
        lock(&self.runs).clone()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Ok(Some(req)) = read_message(&mut reader) {
            if req.target() == "/report" {
                let running = self.running.load(Ordering::Relaxed);
                let body = format!(
                    r#"{{"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":1,"queued":0,"running":{running},"kv_used":0,"kv_total":474455,"handles":0}}"#
                );
                respond(
                    &mut stream,
                    200,
                    "Content-Type: application/json\r\n",
                    &body,
                )
                .ok()?;
                continue;
            }
            if req.target() == "/kv-move" {
                let (status, body) = self.move_run(&req);
                respond(
                    &mut stream,
                    status,
                    "Content-Type: application/json\r\n",
                    &body,
                )
                .ok()?;
                continue;
            }
            if req.target().starts_with("/kv-handle/") {
                respond(&mut stream, 200, "", "").ok()?;
                continue;
            }
            if req.header("attempt-id").is_empty() {
                respond(&mut stream, 400, "Not-Executed: 1\r\n", "").ok()?;
                continue;
            }
            let expected = req.header("expect-instance");
            if !expected.is_empty() && expected != self.id {
                respond(&mut stream, 421, "", "").ok()?;
                continue;
            }
            if !self.takes_up(&req) {
                respond(&mut stream, 503, "Not-Executed: 1\r\n", "").ok()?;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let done = self.run(&mut stream, &req);
            self.running.fetch_sub(1, Ordering::Relaxed);
            done.ok()?;
        }
        None
    }

    /// Answers a call to move a run. A copy of a run that goes on finds room at its target. What has come to the run
    /// until it is stopped does not, so that the memory stays here.
    fn move_run(&self, req: &Message) -> (u16, String) {
        let call = Json::parse(&req.text()).unwrap_or(Json::Null);
        let id = call.get("id").text().to_owned();
        let run = lock(&self.streams).get(&id).cloned();
        let Some(run) = run else {
            return (404, "{}".to_owned());
        };
        let stops = *call.get("last") == Json::Bool(true);
        let target = call.get("target").text();
        let outcome = if stops {
            "stopped, no room at"
        } else {
            "copied to"
        };
        self.record.line(&format!(
            "replica {}: kv-move {id}: {outcome} {target}",
            self.id
        ));
        let handle = format!("h-{id}-{}", lock(&self.runs).len());
        if stops {
            run.store(true, Ordering::SeqCst);
            lock(&self.handles).insert(handle.clone(), id);
        }
        let status = if stops { 503 } else { 200 };
        (
            status,
            format!(r#"{{"handle":"{handle}","created_rev":0}}"#),
        )
    }

    /// Returns whether a request that goes on from the memory of a stopped run finds it here. Others need none.
    fn takes_up(&self, req: &Message) -> bool {
        let source = req.header("kv-from");
        let Some((address, handle)) = source.split_once('/') else {
            return true;
        };
        let id = lock(&self.handles).remove(handle);
        address == self.address.to_string() && id.as_deref() == Some(req.header("attempt-id"))
    }

    fn run(&self, stream: &mut TcpStream, req: &Message) -> io::Result<()> {
        let id = req.header("attempt-id");
        let after = req.header("last-event-id").parse().unwrap_or(0);
        let is_stream = !req.target().starts_with("/file/") && !req.target().starts_with("/look/");
        let reset_after = {
            let mut runs = lock(&self.runs);
            let number = runs.len() as u64;
            let reset_after = (self.resets)(number, after).filter(|_| is_stream);
            runs.push(Started {
                at: Instant::now(),
                id: id.to_owned(),
            });
            reset_after
        };
        if !is_stream {
            sleep(WORK);
            let headers = format!("Attempt-Id: {id}\r\nServer-Seal: seal.{id}\r\n");
            // A number at the end of the path is the size of the answer.
            let size = req
                .target()
                .rsplit('/')
                .next()
                .and_then(|size| size.parse().ok());
            let body = "answer ".repeat(size.unwrap_or(7_usize).div_ceil(7));
            return respond(stream, 200, &headers, &body);
        }
        self.record.line(&format!(
            "replica {}: runs {id} after event {after}",
            self.id
        ));
        let stop = Arc::new(AtomicBool::new(false));
        lock(&self.streams).insert(id.to_owned(), Arc::clone(&stop));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let (events, pause) = match req.target().starts_with("/draft/") {
            true => DRAFT,
            false => (EVENTS, PAUSE),
        };
        for number in after + 1..=events {
            sleep(pause);
            if stop.load(Ordering::SeqCst) {
                return Err(io::Error::other("stopped"));
            }
            let event = format!("id: {number}\ndata: token {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            if reset_after == Some(number) {
                self.record.line(&format!(
                    "replica {}: resets {id} after event {number}",
                    self.id
                ));
                reset(stream);
                return Err(io::Error::other("reset"));
            }
        }
        lock(&self.streams).remove(id);
        self.record
            .line(&format!("replica {}: has completed {id}", self.id));
        stream.write_all(b"0\r\n\r\n")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Lets the connection be reset when it is closed.
fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    let length = size_of::<Linger>() as u32;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
    // What was sent before arrives first.
    sleep(Duration::from_millis(10));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
