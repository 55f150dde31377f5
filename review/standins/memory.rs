//! A crowd of clients that send requests ahead and read no answers.

use std::{
    env::temp_dir,
    fs,
    io::{ErrorKind, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    store::Store,
    world::{Calls, DESK, HOST, MODEL, Machine, Node, OTHER_KEY, Record, call_steadily, configuration, start_replica},
};

/// Machines of the site `crwc-permits`.
const MACHINE: Machine = Machine { memory_mb: 182, descriptors: 2_870 };

/// Bytes of the limit. The page says MB; a mebibyte is the kinder reading.
const LIMIT: u64 = MACHINE.memory_mb * 1024 * 1024;

const LOAD_TIME: Duration = Duration::from_secs(35);

struct Sender {
    stream: TcpStream,
    /// Rest of the request that is being sent.
    unsent: Vec<u8>,
}

/// Returns whether the memory of the node went over its limit, or `None` if the case could not run.
pub fn run(program: &Path, folder: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::open(folder);
    let temp = temp_dir().join(format!("review-memory-{}", std::process::id()));
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
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let (calls, stop, record) = (Arc::clone(&calls), Arc::clone(&stop), Arc::clone(&record));
            thread::spawn(move || call_steadily(to, &calls, Duration::from_millis(100), &stop, &record))
        })
        .collect();
    let crowd = has_trouble.then(|| {
        let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
        thread::spawn(move || send_ahead(to, &stop, &record))
    });
    let until = Instant::now() + LOAD_TIME;
    let (mut highest, mut highest_resident) = (0, 0);
    while Instant::now() < until {
        sleep(Duration::from_millis(250));
        let (unread, connections) = nodes[0].unread();
        let resident = nodes[0].resident();
        highest = highest.max(resident + unread);
        highest_resident = highest_resident.max(resident);
        record.line(&format!("node resident {resident} unread {unread} sum {} connections {connections}", resident + unread));
        if let Some(end) = nodes[0].end() {
            record.line(&format!("node ended: {end}"));
            highest = u64::MAX;
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().chain(crowd).for_each(|task| drop(task.join()));
    let runs: usize = replicas.iter().map(|replica| replica.runs.lock().unwrap().len()).sum();
    let (sent, served) = (calls.sent.load(Ordering::Relaxed), calls.served.load(Ordering::Relaxed));
    record.line(&format!("ordinary calls sent {sent} served {served}, runs at replicas {runs}"));
    record.line(&format!("highest resident {highest_resident}, highest sum {highest}, limit {LIMIT}"));
    println!(
        "highest resident {} MiB, with unread bytes {} MiB, limit {} MiB; ordinary calls served {served} of {sent}",
        highest_resident >> 20,
        highest >> 20,
        LIMIT >> 20
    );
    drop(nodes);
    let _ = fs::remove_dir_all(&temp);
    Some(highest > LIMIT)
}

/// Clients of the crowd.
const CROWD: usize = 1_090;

/// Most bytes that the whole crowd sends in a second, half of the link of a machine.
const BYTES_PER_SECOND: f64 = 43_000_000.0;

/// Sends proper requests one after the other on each connection, and reads no answers.
fn send_ahead(to: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut senders: Vec<Option<Sender>> = (0..CROWD).map(|_| None).collect();
    let (mut sent, mut opened, mut requests) = (0u64, 0u64, 0u64);
    let started = Instant::now();
    let mut reported = started;
    while !stop.load(Ordering::Relaxed) {
        for place in &mut senders {
            while sent as f64 > started.elapsed().as_secs_f64() * BYTES_PER_SECOND {
                sleep(Duration::from_millis(2));
            }
            let Some(sender) = place else {
                if let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_millis(20)) {
                    if stream.set_nonblocking(true).is_ok() {
                        opened += 1;
                        *place = Some(Sender { stream, unsent: Vec::new() });
                    }
                }
                continue;
            };
            if sender.unsent.is_empty() {
                requests += 1;
                sender.unsent = request(requests);
            }
            match sender.stream.write(&sender.unsent) {
                Ok(count) => {
                    sent += count as u64;
                    sender.unsent.drain(..count);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => *place = None,
            }
        }
        if reported.elapsed() > Duration::from_secs(1) {
            reported = Instant::now();
            record.line(&format!("crowd opened {opened} connections, sent {sent} bytes of {requests} requests"));
        }
        sleep(Duration::from_millis(5));
    }
}

/// A draft of another tenant than that of the ordinary callers. The head is below `max_header_bytes`, and the body below
/// a sixtieth of `max_body_bytes`.
fn request(number: u64) -> Vec<u8> {
    let body = 4_000 + (number.wrapping_mul(2_654_435_761) % 61_000) as usize;
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: 51c0{number:012x}\r\nmodel: m\r\ntoken-count: 20,60\r\n\
         prompt-prefix: {number:x}:20\r\ndeadline-ms: 15000\r\nauthorization: Bearer {OTHER_KEY}\r\n\
         x-note: {}\r\ncontent-length: {body}\r\n\r\n",
        "n".repeat(15_600)
    );
    [head.into_bytes(), vec![b'x'; body]].concat()
}
