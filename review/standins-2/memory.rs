//! Memory: clients that send many requests ahead and read no answers drive a node over the memory of its machine.

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Run, Verdict,
    config::{configuration, head},
    http::call,
    node::Node,
    record::Record,
    replica::Replica,
    store::Platform,
};

/// Memory of the machine, in MiB: that of the smallest ones on the sheet of crwc-permits-grown.
const MEMORY_MIB: u64 = 112;

/// Machines. Each has a crowd of its own.
const MACHINES: usize = 2;

/// Connections that a crowd opens, and the requests that are sent ahead on each.
const CONNECTIONS: usize = 800;
const SENT_AHEAD: usize = 4;

/// Size of an answer.
const ANSWER: usize = 240 * 1024;

const LENGTH: Duration = Duration::from_secs(45);

/// Ends of processes on a machine that break the rule, where two machines have as many.
const TOLERATED_ENDS: u32 = 2;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

pub fn run(run: &Run) -> io::Result<Verdict> {
    let platform = Platform::new(run.record.clone());
    platform.put("op", "config", &configuration(7));
    let mut replicas = Vec::new();
    for index in 0..4 {
        let id = format!("i-{index}");
        let no_resets = Arc::new(|_, _| None);
        replicas.push(Replica::start(&platform, &id, "desk", 200, no_resets, run.record.clone())?);
    }
    let link = platform.open_link()?;
    let mut nodes = Vec::new();
    for index in 1..=MACHINES {
        let name = format!("front-{index}");
        let node = Node::start_with(&run.work, &name, link.address, link.address, MEMORY_MIB)?;
        if !node.wait_ready() {
            return Err(io::Error::other("a node does not get ready"));
        }
        nodes.push(node);
    }
    sleep(Duration::from_secs(1));
    let until = Instant::now() + LENGTH;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for node in &nodes {
        run.record.line(&format!("{} when calm: {} KiB", node.name, memory(node, "VmRSS")?));
        for _ in 0..if run.has_trouble { CONNECTIONS } else { 0 } {
            let (to, is_over) = (node.callers, Arc::clone(&is_over));
            let client = thread::Builder::new().stack_size(128 * 1024);
            threads.push(client.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    // The node may close the connection.
                    if send_ahead(to, &is_over).is_err() {
                        sleep(Duration::from_millis(50));
                    }
                }
            })?);
        }
        let (to, is_over, record) = (node.callers, Arc::clone(&is_over), run.record.clone());
        let name = node.name.clone();
        threads.push(thread::spawn(move || call_steadily(&record, &name, to, &is_over)));
    }
    let mut ends = vec![0; MACHINES];
    let mut starts_at = vec![None; MACHINES];
    while Instant::now() < until && ends.iter().any(|count| *count <= TOLERATED_ENDS) {
        sleep(Duration::from_millis(20));
        for (index, node) in nodes.iter_mut().enumerate() {
            if let Some(at) = starts_at[index] {
                if Instant::now() >= at {
                    node.restart()?;
                    starts_at[index] = None;
                }
                continue;
            }
            let used = memory(node, "VmRSS")?;
            if used > MEMORY_MIB * 1024 {
                ends[index] += 1;
                run.record.line(&format!(
                    "platform: kills {}, which takes {used} KiB of {} KiB (end {})",
                    node.name,
                    MEMORY_MIB * 1024,
                    ends[index]
                ));
                node.kill();
                starts_at[index] = Some(Instant::now() + RESTART_DELAY);
            }
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    run.record.line(&format!("processes ended by the limit of their memory, by machine: {ends:?}"));
    Ok(match ends.iter().all(|count| *count > TOLERATED_ENDS) {
        true => Verdict::Broken(format!("processes exceed the memory of their machines {ends:?} times")),
        false => Verdict::Held,
    })
}

/// Calls a node as an ordinary client does.
fn call_steadily(record: &Record, name: &str, to: SocketAddr, is_over: &AtomicBool) {
    let (mut calls, mut served) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        let head = head("GET", "/look/1", &format!("c-{name}-{calls}"), 2_000, "");
        let answer = call(to, &head, b"", Duration::from_secs(2));
        calls += 1;
        served += u32::from(answer.is_ok_and(|answer| answer.status() == 200));
        sleep(Duration::from_millis(50));
    }
    record.line(&format!("{name}: {served} of {calls} ordinary calls served"));
}

fn send_ahead(to: SocketAddr, is_over: &AtomicBool) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(3))?;
    let request = head("GET", &format!("/look/{ANSWER}"), "crowd", 15_000, "\r\n").repeat(SENT_AHEAD);
    stream.set_write_timeout(Some(Duration::from_secs(3)))?;
    stream.write_all(request.as_bytes())?;
    // Answers stay unread until the node closes the connection.
    let held = Instant::now() + Duration::from_secs(3);
    while Instant::now() < held && !is_over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(200));
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        if matches!(peeked, Ok(0)) {
            break;
        }
    }
    let _ = stream.read(&mut [0]);
    Ok(())
}

fn memory(node: &Node, field: &str) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", node.pid()))?;
    let line = status.lines().find(|line| line.starts_with(field));
    let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    number.ok_or_else(|| io::Error::other("the node has ended"))
}
