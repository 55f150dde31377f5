//! LOST: a node stops runs at a replica that leaves, and lets them go when their target has no room.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Run, Verdict,
    config::{configuration, head},
    http::{Message, call},
    node::{Node, SIGTERM},
    record::Record,
    replica::{DRAFT, Replica},
    store::Platform,
};

/// Replicas of the model service, and those among them that leave (`scale_in`, a share of 0.15).
const REPLICAS: usize = 9;
const LEAVING: usize = 1;

/// Streams, and the time between two of them.
const STREAMS: usize = 40;
const GAP: Duration = Duration::from_millis(20);

pub fn run(run: &Run) -> io::Result<Verdict> {
    let platform = Platform::new(run.record.clone());
    platform.put("op", "config", &configuration(7));
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let id = format!("m-{index}");
        let no_resets = Arc::new(|_, _| None);
        replicas.push(Replica::start(&platform, &id, "models", 64, no_resets, run.record.clone())?);
    }
    let link = platform.open_link()?;
    let node = Node::start(&run.work, "front-1", link.address, link.address)?;
    if !node.wait_ready() {
        return Err(io::Error::other("the node does not get ready"));
    }
    sleep(Duration::from_secs(1));
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, to, ends) = (run.record.clone(), node.callers, Arc::clone(&ends));
        clients.push(thread::spawn(move || {
            let answer = ask(&record, to, number);
            let mut ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
            ends.push((number, Instant::now(), answer));
        }));
        sleep(GAP);
    }
    sleep(Duration::from_millis(500));
    // Planned work: the node stops, and a replica leaves.
    let stopped_at = Instant::now();
    run.record.line("SIGTERM to front-1");
    node.signal(SIGTERM);
    if run.has_trouble {
        for replica in &replicas[..LEAVING] {
            run.record.line(&format!("replica {}: draining", replica.id));
            replica.register("draining", 2);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(judge(run, &ends, stopped_at))
}

fn ask(record: &Record, to: SocketAddr, number: usize) -> io::Result<Message> {
    let id = format!("draft-{number}");
    let own = 0x10_0000 + number;
    let fields = format!("Model: m\r\nToken-Count: 1460,384\r\nPrompt-Prefix: aa:512,{own:x}:948\r\n");
    let head = head("POST", "/draft/1", &id, 15_000, &fields);
    let answer = call(to, &head, &[b'x'; 1460], Duration::from_secs(16));
    record.line(&match &answer {
        Ok(answer) => format!(
            "client: {id} gets {} with {} events, whole: {}",
            answer.status(),
            events(answer),
            answer.is_whole
        ),
        Err(error) => format!("client: {id} gets no answer: {error}"),
    });
    answer
}

fn events(answer: &Message) -> usize {
    answer.text().matches("id: ").count()
}

/// Counts the streams that ended without their last event. All replicas go on serving, and would have made it well
/// before the deadline and the last sixth of the grace period.
fn judge(run: &Run, ends: &[(usize, Instant, io::Result<Message>)], stopped_at: Instant) -> Verdict {
    let mut lost = 0;
    for (number, at, answer) in ends {
        let is_complete = answer.as_ref().is_ok_and(|answer| {
            answer.status() == 200 && answer.is_whole && events(answer) as u64 == DRAFT.0
        });
        if !is_complete {
            lost += 1;
            let after = at.saturating_duration_since(stopped_at).as_millis();
            run.record.line(&format!("lost: draft-{number}, {after} ms after SIGTERM"));
        }
    }
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{lost} of {} streams ended without a complete answer", ends.len())),
    }
}
