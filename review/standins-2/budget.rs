//! BUDGET: streams that replicas cut off go on at one replica after another, whatever the `max_attempts` of
//! their route.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
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
    http::{Message, call},
    node::Node,
    record::Record,
    replica::{EVENTS, Replica, Resets, Started},
    store::Platform,
};

/// Replicas of the model service, which all fail: `srv_grey` with `all` and a share of 1.0.
const REPLICAS: usize = 9;

/// Of 20 runs, this many are cut off by a reset (0.45).
const CUT_OFF: u64 = 9;

/// Length of a disturbance, of the calm before each one, and the number of disturbances.
const LENGTH: Duration = Duration::from_secs(4);
const CALM: Duration = Duration::from_secs(4);
const DISTURBANCES: u32 = 5;

/// Requests of the kind `inspector-notes` in a second.
const RATE: f64 = 17.8;

/// `max_attempts` of the route.
const MAX_ATTEMPTS: usize = 2;

/// Requests that may run on more replicas.
const TOLERATED: usize = 3;

pub fn run(run: &Run) -> io::Result<Verdict> {
    let platform = Platform::new(run.record.clone());
    platform.put("op", "config", &configuration(7));
    let mut replicas = Vec::new();
    let is_faulty = Arc::new(AtomicBool::new(false));
    for index in 0..REPLICAS as u64 {
        // The runs that are cut off are spread over the time, and end after a few events of theirs.
        let is_faulty = Arc::clone(&is_faulty);
        let resets: Resets = Arc::new(move |number, after| {
            let is_cut_off = is_faulty.load(Ordering::Relaxed)
                && scatter(number * REPLICAS as u64 + index) % 20 < CUT_OFF;
            is_cut_off.then_some(after + 4 + number % 6)
        });
        let id = format!("m-{index}");
        replicas.push(Replica::start(
            &platform,
            &id,
            "models",
            64,
            resets,
            run.record.clone(),
        )?);
    }
    let link = platform.open_link()?;
    let mut nodes = Vec::new();
    for index in 1..=3 {
        let name = format!("front-{index}");
        let node = Node::start(&run.work, &name, link.address, link.address)?;
        if !node.wait_ready() {
            return Err(io::Error::other("a node does not get ready"));
        }
        nodes.push(node);
    }
    sleep(Duration::from_secs(1));
    let count = (((CALM + LENGTH) * DISTURBANCES).as_secs_f64() * RATE) as usize;
    let mut clients = Vec::new();
    let begin = Instant::now();
    for number in 0..count {
        let in_turn = begin.elapsed().as_secs_f64() % (CALM + LENGTH).as_secs_f64();
        let is_now = run.has_trouble && in_turn >= CALM.as_secs_f64();
        if is_faulty.swap(is_now, Ordering::Relaxed) != is_now {
            run.record
                .line(&format!("replicas cut streams off: {is_now}"));
        }
        let to = nodes[number % nodes.len()].callers;
        let record = run.record.clone();
        clients.push(thread::spawn(move || ask(&record, to, number)));
        sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    let answers: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let is_whole = |answer: &&io::Result<Message>| {
        let Ok(answer) = answer else { return false };
        answer.status() == 200
            && answer.is_whole
            && answer.text().contains(&format!("id: {EVENTS}\n"))
    };
    let whole = answers.iter().filter(is_whole).count();
    run.record
        .line(&format!("{whole} of {count} streams came whole"));
    if whole * 4 < count {
        return Err(io::Error::other("too few streams are served"));
    }
    Ok(judge(run, &replicas))
}

/// Scatters a number over all others (splitmix64).
fn scatter(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}

fn ask(record: &Record, to: SocketAddr, number: usize) -> io::Result<Message> {
    let id = format!("notes-{number}");
    let (shared, own) = (0x1000 + number % 40, 0x10_0000 + number);
    let fields = format!(
        "Model: m\r\nToken-Count: 828,300\r\nPrompt-Prefix: aa:119,{shared:x}:79,{own:x}:630\r\n"
    );
    let head = head("POST", "/notes/1", &id, 12_000, &fields);
    let answer = call(to, &head, &[b'x'; 830], Duration::from_secs(14));
    record.line(&match &answer {
        Ok(answer) => format!(
            "client: {id} gets {} with {} bytes, whole: {}",
            answer.status(),
            answer.body.len(),
            answer.is_whole
        ),
        Err(error) => format!("client: {id} gets no answer: {error}"),
    });
    answer
}

/// Counts the replicas at which each request ran. All of them stay in service.
fn judge(run: &Run, replicas: &[Replica]) -> Verdict {
    let mut by_request = BTreeMap::<String, BTreeSet<&str>>::new();
    let mut runs: Vec<(&str, Started)> = Vec::new();
    for replica in replicas {
        runs.extend(
            replica
                .runs()
                .into_iter()
                .map(|run| (replica.id.as_str(), run)),
        );
    }
    runs.sort_by_key(|(_, run)| run.at);
    for (replica, run) in &runs {
        by_request
            .entry(run.id.clone())
            .or_default()
            .insert(replica);
    }
    let mut counts = BTreeMap::<usize, usize>::new();
    for (id, at) in &by_request {
        *counts.entry(at.len()).or_default() += 1;
        if at.len() > MAX_ATTEMPTS {
            run.record
                .line(&format!("{id} ran on {} replicas: {at:?}", at.len()));
        }
    }
    run.record.line(&format!(
        "requests by the number of replicas that ran them: {counts:?}"
    ));
    let over = by_request
        .values()
        .filter(|at| at.len() > MAX_ATTEMPTS)
        .count();
    match over > TOLERATED {
        true => Verdict::Broken(format!(
            "{over} requests ran, in one client attempt, on more than {MAX_ATTEMPTS} replicas; more than \
             {TOLERATED} break the rule"
        )),
        false => Verdict::Held,
    }
}
