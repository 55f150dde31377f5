//! A crowd of clients that send their requests slowly, and clients that try to connect meanwhile.

use std::{
    env::temp_dir,
    fs,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    http::Connection,
    store::Store,
    world::{Calls, DESK, HOST, MODEL, Machine, Node, OTHER_KEY, Record, configuration, lookup, start_replica},
};

/// Machines of the site `crwc-permits`.
const MACHINE: Machine = Machine { memory_mb: 182, descriptors: 2_870 };

/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

const LOAD_TIME: Duration = Duration::from_secs(25);

/// Ordinary clients that try at the same time. The rule asks for seven.
const ORDINARY: usize = 10;

/// Time after which a client abandons a request that the node has not read.
const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// Returns whether a node that said it is ready took no new connection for `STABLE_WINDOW`, or `None` if the case could
/// not run.
pub fn run(program: &Path, folder: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::open(folder);
    let temp = temp_dir().join(format!("review-door-{}", std::process::id()));
    fs::create_dir_all(&temp).ok()?;
    let store = Store::start();
    store.put("op", "config", &configuration(7));
    let mut replicas: Vec<_> = (1..=4).map(|n| start_replica(&store, &format!("i-d{n}"), DESK)).collect();
    replicas.extend((1..=9).map(|n| start_replica(&store, &format!("i-m{n}"), MODEL)));
    let mut nodes: Vec<_> = (1..=2).map(|n| Node::start(program, &temp, store.address, n, MACHINE)).collect();
    if !nodes.iter_mut().all(|node| node.wait_ready(Duration::from_secs(10))) {
        return None;
    }
    sleep(Duration::from_secs(2));
    let calls = Arc::new(Calls::default());
    let stop = Arc::new(AtomicBool::new(false));
    let to = nodes[0].callers;
    // Time of the last new connection that was taken, as its client sees it.
    let last_taken = Arc::new(Mutex::new(Instant::now()));
    // Begin of the last try of each ordinary client.
    let tries: Arc<Mutex<Vec<Option<Instant>>>> = Arc::new(Mutex::new(vec![None; ORDINARY]));
    let ordinary: Vec<_> = (0..ORDINARY)
        .map(|n| {
            let (calls, stop, record) = (Arc::clone(&calls), Arc::clone(&stop), Arc::clone(&record));
            let (last_taken, tries) = (Arc::clone(&last_taken), Arc::clone(&tries));
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let (id, req) = lookup(&calls);
                    calls.sent.fetch_add(1, Ordering::Relaxed);
                    tries.lock().unwrap()[n] = Some(Instant::now());
                    let outcome = call(to, &req, &last_taken);
                    if outcome == Some(200) {
                        calls.served.fetch_add(1, Ordering::Relaxed);
                    }
                    record.line(&format!("caller {id} answered {outcome:?}"));
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let crowd = has_trouble.then(|| {
        let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
        thread::spawn(move || send_slowly(to, &stop, &record))
    });
    let until = Instant::now() + LOAD_TIME;
    let mut longest = Duration::ZERO;
    // Begin of the span in which the node has said that it is ready.
    let mut since = Instant::now();
    let mut has_ended = false;
    while Instant::now() < until && !has_ended {
        let is_ready = nodes[0].is_ready();
        let now = Instant::now();
        if !is_ready {
            since = now;
        }
        let begin = since.max(*last_taken.lock().unwrap());
        let trying = tries.lock().unwrap().iter().filter(|at| at.is_some_and(|at| at >= begin)).count();
        let span = now.saturating_duration_since(begin);
        if trying >= 7 {
            longest = longest.max(span);
        }
        let (_, connections) = nodes[0].unread();
        record.line(&format!(
            "node ready {is_ready}, connections taken {connections}, none of the ordinary clients' for {} ms, {trying} have tried",
            span.as_millis()
        ));
        if let Some(end) = nodes[0].end() {
            record.line(&format!("node ended: {end}"));
            has_ended = true;
        }
        sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    ordinary.into_iter().chain(crowd).for_each(|task| drop(task.join()));
    let runs: usize = replicas.iter().map(|replica| replica.runs.lock().unwrap().len()).sum();
    let (sent, served) = (calls.sent.load(Ordering::Relaxed), calls.served.load(Ordering::Relaxed));
    record.line(&format!("ordinary calls sent {sent} served {served}, runs at replicas {runs}"));
    record.line(&format!("longest span without a new connection {} ms", longest.as_millis()));
    println!("longest span without a new connection {} ms; ordinary calls served {served} of {sent}", longest.as_millis());
    drop(nodes);
    let _ = fs::remove_dir_all(&temp);
    Some(has_ended || longest >= STABLE_WINDOW)
}

/// Sends a request on a new connection. A request without any answer is abandoned after a second.
fn call(to: SocketAddr, req: &str, last_taken: &Mutex<Instant>) -> Option<u16> {
    let mut connection = Connection::connect(to, UNREAD_LIMIT).ok()?;
    connection.send(req.as_bytes()).ok()?;
    let response = connection.response().ok()?;
    *last_taken.lock().unwrap() = Instant::now();
    Some(response.status())
}

/// Clients of the crowd.
const CROWD: usize = 1_300;

/// Length of a body, 0.8 % of the limit of the configuration.
const BODY: usize = 32_000;

/// What a client sends at a time.
const PIECE: usize = 3_000;

/// Time between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(450);

struct Sender {
    stream: TcpStream,
    sent: usize,
    next_at: Instant,
}

/// Sends proper requests slowly, each on a connection of its own.
fn send_slowly(to: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut senders: Vec<Option<Sender>> = (0..CROWD).map(|_| None).collect();
    let (mut sent, mut opened, mut ended) = (0u64, 0u64, 0u64);
    let mut reported = Instant::now();
    let piece = vec![b'x'; PIECE];
    while !stop.load(Ordering::Relaxed) {
        for place in &mut senders {
            let Some(sender) = place else {
                *place = open(to, opened);
                opened += u64::from(place.is_some());
                continue;
            };
            if Instant::now() < sender.next_at {
                continue;
            }
            // The answer is read slowly too.
            let is_over = match sender.stream.read(&mut [0; 64]) {
                Err(error) => error.kind() != ErrorKind::WouldBlock,
                Ok(count) => count == 0,
            };
            if is_over {
                ended += 1;
                *place = None;
            } else {
                let length = PIECE.min(BODY - sender.sent);
                if let Ok(count) = sender.stream.write(&piece[..length]) {
                    sender.sent += count;
                    sent += count as u64;
                }
                sender.next_at = Instant::now() + PIECE_PAUSE;
            }
        }
        if reported.elapsed() > Duration::from_secs(1) {
            reported = Instant::now();
            record.line(&format!("crowd opened {opened} connections, sent {sent} bytes, ended {ended}"));
        }
        sleep(Duration::from_millis(5));
    }
}

fn open(to: SocketAddr, number: u64) -> Option<Sender> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(20)).ok()?;
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: 51c0{number:012x}\r\nmodel: m\r\ntoken-count: 20,60\r\n\
         prompt-prefix: {number:x}:20\r\ndeadline-ms: 15000\r\nauthorization: Bearer {OTHER_KEY}\r\n\
         content-length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(Sender { stream, sent: 0, next_at: Instant::now() })
}
