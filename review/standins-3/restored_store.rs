//! The store comes back from a copy while the processes of the nodes are killed.
//!
//! `TROUBLE` selects the disruption: 0 none, 1 both, `kill` and `copy` one of them alone, `leader` the copy and the
//! kill of the node that acted last.

mod http;
mod json;
mod node;
mod platform;

use std::{
    collections::BTreeMap,
    env, fs, io,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use json::Json;
use node::{Node, NodeSettings, Record};
use platform::{Copy, Platform, Usage};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Age of the copy when the store goes away. "Some seconds" of the page.
const COPY_AGE: Duration = Duration::from_secs(3);

/// Time from the first report of a whole window to the disruption.
const DELAY: Duration = Duration::from_millis(1_000);

/// Time for which the store is away. "A moment" of the page.
const AWAY: Duration = Duration::from_millis(800);

/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time between two requests of the clients.
const REQUEST_GAP: Duration = Duration::from_millis(25);

/// Time after the disruption, in which the windows before it stay due.
const AFTER: Duration = Duration::from_secs(18);

fn main() -> ExitCode {
    let Some((root, case)) = node::folders() else {
        eprintln!("usage: restored_store REPOSITORY CASE");
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

/// Serves requests with short answers, and records the runs.
fn start_replica(id: &'static str, record: Arc<Record>) -> io::Result<SocketAddr> {
    http::serve(move |request| {
        let (_, path) = request.target();
        if path == "/report" || path == "/health" {
            return Some(http::response(200, &[("Instance-Id", id)], b"{}"));
        }
        let attempt = request.header("attempt-id").to_owned();
        if request.header("expect-instance") != id {
            return Some(http::response(421, &[("Instance-Id", id)], b""));
        }
        record.write(&format!("{id} runs {attempt} of {}", request.header("tenant")));
        thread::sleep(Duration::from_millis(20));
        let seal = format!("seal.{attempt}");
        let headers = [("Attempt-Id", attempt.as_str()), ("Server-Seal", seal.as_str())];
        Some(http::response(200, &headers, b"found"))
    })
}

/// Sends requests to all nodes in turn until the run is over.
fn start_clients(nodes: Vec<SocketAddr>, record: Arc<Record>, is_over: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut number = 0_usize;
        while !is_over.load(Ordering::Relaxed) {
            let to = nodes[number % nodes.len()];
            let record = Arc::clone(&record);
            let id = format!("{:016x}", 0x5eed_0000_0000_u64 + number as u64);
            let call = move || {
                let request = node::request("/look/1", &id, 4_000);
                let answer = http::call(to, &request, Duration::from_secs(4));
                let status = answer.map_or("no answer".to_owned(), |a| a.status().to_string());
                record.write(&format!("client {id}: {status}"));
            };
            let builder = thread::Builder::new().stack_size(128 * 1024);
            if builder.spawn(call).is_err() {
                eprintln!("no thread for a client");
            }
            number += 1;
            thread::sleep(REQUEST_GAP);
        }
    });
}

/// Writes the rows of the operator and the replicas.
fn write_rows(platform: &Platform, replicas: &[(&str, SocketAddr)], sequence: u32) {
    let routes = vec![node::route("look", "idempotent", "desk", 4_000)];
    platform.put("op", "config", &node::configuration(routes, &["desk"]));
    for (id, address) in replicas {
        platform.put("servers", id, &node::registration("desk", "a", *address, sequence));
    }
}

fn is_counted(usage: &Usage) -> bool {
    matches!(&usage.counts, Json::Object(counts) if !counts.is_empty())
}

fn run(root: &Path, case: &Path) -> io::Result<u8> {
    let trouble = env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = Arc::new(Record::create(&case.join("record.txt"))?);
    let folder = node::temporary_folder("restored-store")?;
    let platform = Platform::start()?;
    let mut replicas = Vec::new();
    for id in ["i-1", "i-2"] {
        replicas.push((id, start_replica(id, Arc::clone(&record))?));
    }
    write_rows(&platform, &replicas, 1);
    let mut nodes = Vec::new();
    for zone in ZONES {
        let settings = NodeSettings {
            name: format!("node-{zone}-1"),
            zone: zone.to_owned(),
            store: platform.address,
            memory_mib: 182,
        };
        let mut node = Node::new(root, &folder, &settings)?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(20))) {
        return Err(io::Error::other("a node is not ready"));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = nodes.iter().map(|node| node.callers).collect();
    start_clients(callers, Arc::clone(&record), Arc::clone(&is_over));

    // The replicas write their rows every 1.2 s; the store is copied all the time.
    let copies: Arc<Mutex<Vec<(Instant, Copy)>>> = Arc::default();
    let sequence = Arc::new(AtomicU32::new(1));
    {
        let (platform, copies) = (platform.clone(), Arc::clone(&copies));
        let (is_over, sequence) = (Arc::clone(&is_over), Arc::clone(&sequence));
        let replicas = replicas.clone();
        thread::spawn(move || {
            let mut steps = 0_u32;
            while !is_over.load(Ordering::Relaxed) {
                let mut copies = copies.lock().unwrap_or_else(PoisonError::into_inner);
                copies.push((Instant::now(), platform.copy()));
                drop(copies);
                steps += 1;
                if steps.is_multiple_of(12) && !platform.is_away() {
                    let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
                    for (id, address) in &replicas {
                        let row = node::registration("desk", "a", *address, sequence);
                        platform.put("servers", id, &row);
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }

    // The first counted window is that in which the clients began, the next one is whole.
    let until = Instant::now() + Duration::from_secs(40);
    let last = loop {
        let usage = platform.usage();
        let counted: Vec<&Usage> = usage.iter().filter(|usage| is_counted(usage)).collect();
        if let Some(second) = counted.get(1) {
            break (*second).clone();
        }
        if Instant::now() > until {
            return Err(io::Error::other("no usage is reported"));
        }
        thread::sleep(Duration::from_millis(1));
    };
    let (kills, copies_back) = match trouble.as_str() {
        "0" => (Vec::new(), false),
        "kill" => (vec![0, 1, 2], false),
        "copy" => (Vec::new(), true),
        "leader" => {
            let holder = nodes.iter().position(|node| node.name == last.holder);
            (Vec::from_iter(holder), true)
        }
        _ => (vec![0, 1, 2], true),
    };
    if trouble != "leader" {
        thread::sleep(DELAY);
    }
    let began = Instant::now();
    if copies_back {
        record.write(&format!("the store goes away; its copy is {COPY_AGE:?} old"));
        platform.set_away(true);
    }
    for index in &kills {
        record.write(&format!("{} is killed", nodes[*index].name));
        nodes[*index].kill();
    }
    thread::sleep(RESTART_DELAY);
    for index in &kills {
        record.write(&format!("{} is started", nodes[*index].name));
        nodes[*index].start()?;
    }
    if copies_back {
        thread::sleep(AWAY.saturating_sub(began.elapsed()));
        let copies = copies.lock().unwrap_or_else(PoisonError::into_inner);
        let old = copies.iter().rfind(|(at, _)| *at + COPY_AGE <= began);
        let copy = old.map(|(_, copy)| copy.clone());
        drop(copies);
        platform.restore(copy.ok_or_else(|| io::Error::other("no copy"))?);
        platform.set_away(false);
        record.write("the store is back from its copy");
        let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        write_rows(&platform, &replicas, sequence);
    }
    thread::sleep(AFTER);
    is_over.store(true, Ordering::Relaxed);
    for node in &mut nodes {
        node.kill();
    }
    fs::remove_dir_all(&folder)?;

    let mut windows: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for usage in platform.usage() {
        let counts = usage.counts.to_string();
        record.write_at(
            usage.at,
            &format!(
                "platform accepts usage of window {} from {} with token {}: {counts}",
                usage.window, usage.holder, usage.fence
            ),
        );
        let reported = windows.entry(usage.window).or_default();
        if !reported.contains(&counts) {
            reported.push(counts);
        }
    }
    let broken = windows.iter().find(|(_, counts)| counts.len() > 1);
    let verdict = match broken {
        Some((window, counts)) => {
            format!("broken: window {window} is reported with {}", counts.join(" and "))
        }
        None => format!("held: {} windows are reported, each with one set of counts", windows.len()),
    };
    record.write(&verdict);
    println!("{verdict}");
    Ok(u8::from(broken.is_some()))
}
