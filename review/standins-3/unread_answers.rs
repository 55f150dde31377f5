//! Clients stop reading in the middle of their answers. The platform ends processes that exceed the memory of their
//! machine, and starts them again.

mod http;
mod json;
mod node;
mod platform;

use std::{
    collections::BTreeSet,
    fs,
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use node::{Node, NodeSettings, Record};
use platform::Platform;

/// Memory of a machine of the deployment, in MiB.
const MEMORY_MIB: u32 = 182;

/// Clients of each node that stop reading.
const CROWD: usize = 900;

/// Machines of the deployment.
const MACHINES: usize = 2;

/// Ends of its process on each machine that break the rule.
const MAX_ENDS: usize = 3;

/// Length of a long answer, in bytes.
const ANSWER: usize = 400_000;

/// Piece in which the replica writes a long answer, and the pause before the next one.
const PIECE: usize = 900;
const PAUSE: Duration = Duration::from_millis(24);

/// Longest run, and the length of one without a crowd that stops reading.
const LONGEST: Duration = Duration::from_secs(80);
const CALM_RUN: Duration = Duration::from_secs(20);

/// Longest time for which a client holds a connection, and its pause before the next one.
const HOLD: Duration = Duration::from_secs(12);
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let Some((root, case)) = node::folders() else {
        eprintln!("usage: unread_answers REPOSITORY CASE");
        return ExitCode::from(2);
    };
    match run(&root, &case) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Serves short answers at once, and records the runs.
fn start_short(record: Arc<Record>) -> io::Result<SocketAddr> {
    http::serve(move |request| {
        let (_, path) = request.target();
        if path == "/report" || path == "/health" {
            return Some(http::response(200, &[("Instance-Id", "i-desk")], b"{}"));
        }
        let id = request.header("attempt-id").to_owned();
        if request.header("expect-instance") != "i-desk" {
            return Some(http::response(421, &[("Instance-Id", "i-desk")], b""));
        }
        record.write(&format!("i-desk runs {id}"));
        let seal = format!("seal.{id}");
        let headers = [("Attempt-Id", id.as_str()), ("Server-Seal", seal.as_str())];
        Some(http::response(200, &headers, b"filed"))
    })
}

/// Serves long answers, which it writes piece by piece as it makes them.
fn start_long(record: Arc<Record>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&record);
            let serve = move || {
                // A broken connection is the end of its thread only.
                let _ = write_long(stream, &record);
            };
            let builder = thread::Builder::new().stack_size(128 * 1024);
            if builder.spawn(serve).is_err() {
                eprintln!("no thread for a connection");
            }
        }
    });
    Ok(address)
}

fn write_long(stream: TcpStream, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader)? {
        let (_, path) = request.target();
        if path == "/report" || path == "/health" {
            writer.write_all(&http::response(200, &[("Instance-Id", "i-plans")], b"{}"))?;
            continue;
        }
        let id = request.header("attempt-id");
        if request.header("expect-instance") != "i-plans" {
            writer.write_all(&http::response(421, &[("Instance-Id", "i-plans")], b""))?;
            continue;
        }
        record.write(&format!("i-plans runs {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Length: {ANSWER}\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let mut left = ANSWER;
        while left > 0 {
            let piece = vec![b'p'; PIECE.min(left)];
            writer.write_all(&piece)?;
            left -= piece.len();
            thread::sleep(PAUSE);
        }
    }
    Ok(())
}

/// `Memory` is what a process holds, in KiB.
#[derive(Debug, Clone, Copy, Default)]
struct Memory {
    /// Its own pages, without those of its program file.
    anonymous: u64,
    /// Bytes that its sockets have received and it has not read.
    unread: u64,
}

impl Memory {
    fn total(self) -> u64 {
        self.anonymous + self.unread
    }

    fn of(id: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let anonymous = line.split_whitespace().next()?.parse().ok()?;
        let mut inodes = BTreeSet::new();
        for entry in fs::read_dir(format!("/proc/{id}/fd")).ok()?.flatten() {
            if let Ok(link) = fs::read_link(entry.path()) {
                let link = link.to_string_lossy().into_owned();
                let inode = link.strip_prefix("socket:[").and_then(|l| l.strip_suffix(']'));
                inodes.extend(inode.map(str::to_owned));
            }
        }
        const LISTENING: &str = "0A";
        let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
        let unread = sockets.lines().filter_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_own = inodes.contains(*fields.get(9)?) && fields[3] != LISTENING;
            let (_, queue) = fields[4].split_once(':')?;
            is_own.then(|| u64::from_str_radix(queue, 16).ok())?
        });
        Some(Self {
            anonymous,
            unread: unread.sum::<u64>() / 1024,
        })
    }
}

/// `Run` is what the threads of a run share.
struct Run {
    record: Arc<Record>,
    is_calm: bool,
    is_over: AtomicBool,
    until: Instant,
    next_id: AtomicUsize,
    ordinary: AtomicUsize,
    served: AtomicUsize,
    unanswered: AtomicUsize,
}

impl Run {
    fn next_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", 0xc0ff_ee00_0000_u64 + number as u64)
    }

    fn goes_on(&self) -> bool {
        !self.is_over.load(Ordering::Relaxed) && Instant::now() < self.until
    }
}

/// Asks for long answers. Reads one to its end if the run is calm; otherwise reads the beginning of each and holds its
/// connection for a while, unless the process ends.
fn call_long(run: &Run, to: SocketAddr, starts: &AtomicUsize) {
    while run.goes_on() {
        let present = starts.load(Ordering::Relaxed);
        let id = run.next_id();
        let outcome = (|| {
            let mut stream = TcpStream::connect(to)?;
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            stream.write_all(&node::request("/plans/1", &id, 20_000))?;
            if run.is_calm {
                let answer = http::read(&mut BufReader::new(stream))?;
                let outcome = answer.map_or("no answer".to_owned(), |answer| {
                    format!("status {}, {} bytes", answer.status(), answer.body.len())
                });
                return Ok((outcome, None));
            }
            let mut beginning = [0; 512];
            let count = stream.read(&mut beginning)?;
            let line = String::from_utf8_lossy(&beginning[..count]).into_owned();
            let line = line.lines().next().unwrap_or("no answer").to_owned();
            Ok::<_, io::Error>((format!("{line}, the rest is not read"), Some(stream)))
        })();
        let held = match outcome {
            Ok((outcome, held)) => {
                run.record.write(&format!("client {id}: {outcome}"));
                held
            }
            Err(error) => {
                run.record.write(&format!("client {id}: {error}"));
                None
            }
        };
        if run.is_calm {
            return;
        }
        let hold_until = Instant::now() + if held.is_some() { HOLD } else { RETRY_PAUSE };
        while run.goes_on() && present == starts.load(Ordering::Relaxed) && Instant::now() < hold_until {
            thread::sleep(Duration::from_millis(100));
        }
        drop(held);
    }
}

/// Sends ordinary requests, one after the other.
fn call_short(run: &Run, to: SocketAddr) {
    while run.goes_on() {
        let id = run.next_id();
        let request = node::request("/desk/1", &id, 4_000);
        let has_connection = TcpStream::connect_timeout(&to, Duration::from_secs(1)).is_ok();
        let answer = http::call(to, &request, Duration::from_secs(4));
        let status = answer.map_or(0, |answer| answer.status());
        run.ordinary.fetch_add(1, Ordering::Relaxed);
        run.served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
        let is_lost = has_connection && status == 0;
        run.unanswered.fetch_add(usize::from(is_lost), Ordering::Relaxed);
        run.record.write(&format!("ordinary client {id}: status {status}"));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Watches the memory of a node as the platform does. Returns the number of processes that exceeded it and the
/// largest memory.
fn watch(run: &Run, node: &mut Node, starts: &AtomicUsize) -> io::Result<(usize, Memory)> {
    let limit = u64::from(MEMORY_MIB) * 1024;
    let mut ends = 0;
    let mut largest = Memory::default();
    let mut peak = Memory::default();
    while run.goes_on() && ends < MAX_ENDS {
        let memory = node.id().and_then(Memory::of).unwrap_or_default();
        if memory.total() > peak.total() + 8 * 1024 {
            peak = memory;
            run.record.write(&format!("{}: {} own and {} unread KiB", node.name, memory.anonymous, memory.unread));
        }
        if memory.total() > largest.total() {
            largest = memory;
        }
        if memory.total() > limit || !node.is_running() {
            ends += 1;
            run.record.write(&format!(
                "{}: process {ends} ends with {} KiB of {limit} KiB",
                node.name,
                memory.total()
            ));
            node.kill();
            thread::sleep(RESTART_DELAY);
            node.start()?;
            if !node.wait_ready(Duration::from_secs(20)) {
                return Err(io::Error::other("the node is not ready again"));
            }
            peak = Memory::default();
            starts.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok((ends, largest))
}

fn run(root: &Path, case: &Path) -> io::Result<u8> {
    let is_calm = node::is_calm();
    let record = Arc::new(Record::create(&case.join("record.txt"))?);
    let folder = node::temporary_folder("unread-answers")?;
    let platform = Platform::start()?;
    let routes = vec![
        node::route("desk", "idempotent", "desk", 4_000),
        node::route("plans", "idempotent", "plans", 20_000),
    ];
    platform.put("op", "config", &node::configuration(routes, &["desk", "plans"]));
    let desk = start_short(Arc::clone(&record))?;
    let plans = start_long(Arc::clone(&record))?;
    platform.put("servers", "i-desk", &node::registration("desk", "a", desk, 1));
    platform.put("servers", "i-plans", &node::registration("plans", "a", plans, 1));
    let mut nodes = Vec::new();
    for number in 1..=MACHINES {
        let settings = NodeSettings {
            name: format!("node-a-{number}"),
            zone: "a".to_owned(),
            store: platform.address,
            memory_mib: MEMORY_MIB,
        };
        let mut node = Node::new(root, &folder, &settings)?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(20))) {
        return Err(io::Error::other("a node is not ready"));
    }
    thread::sleep(Duration::from_secs(1));

    let run = Arc::new(Run {
        record: Arc::clone(&record),
        is_calm,
        is_over: AtomicBool::new(false),
        until: Instant::now() + if is_calm { CALM_RUN } else { LONGEST },
        next_id: AtomicUsize::new(0),
        ordinary: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        unanswered: AtomicUsize::new(0),
    });
    let mut watches = Vec::new();
    for mut node in nodes {
        let starts = Arc::new(AtomicUsize::new(0));
        let to = node.callers;
        for _ in 0..CROWD {
            let (run, starts) = (Arc::clone(&run), Arc::clone(&starts));
            let builder = thread::Builder::new().stack_size(128 * 1024);
            builder.spawn(move || call_long(&run, to, &starts))?;
        }
        {
            let run = Arc::clone(&run);
            thread::spawn(move || call_short(&run, to));
        }
        let run = Arc::clone(&run);
        watches.push(thread::spawn(move || watch(&run, &mut node, &starts)));
    }
    let mut is_broken = true;
    for watch in watches {
        let watched = watch.join().map_err(|_| io::Error::other("a watch failed"))?;
        let (ends, largest) = watched?;
        is_broken &= ends >= MAX_ENDS;
        let line = format!(
            "a machine: {ends} ends for want of memory, at most {} own and {} unread KiB",
            largest.anonymous, largest.unread
        );
        record.write(&line);
        println!("{line}");
    }
    run.is_over.store(true, Ordering::Relaxed);
    fs::remove_dir_all(&folder)?;
    let outcome = if is_broken { "broken" } else { "held" };
    let verdict = format!(
        "{outcome}; ordinary calls: {}, served {}, cut off without an answer {}",
        run.ordinary.load(Ordering::Relaxed),
        run.served.load(Ordering::Relaxed),
        run.unanswered.load(Ordering::Relaxed)
    );
    record.write(&verdict);
    println!("{verdict}");
    Ok(u8::from(is_broken))
}
