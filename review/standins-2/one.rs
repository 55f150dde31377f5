//! ONE: a node that was cut off from the store sends a usage report with the fencing token of a lease that
//! another node has followed.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Run, Verdict,
    config::{configuration, head},
    http::call,
    node::{Node, SIGTERM},
    replica::Replica,
    store::{Link, Platform},
};

/// Length of the cut, which is that of `core_cut` in the site file.
const CUT: Duration = Duration::from_millis(5_450);

/// Calls that arrive this long after a link has healed count (`thaw_slack_ms`).
const THAW_SLACK: Duration = Duration::from_millis(300);

/// `lease_ms` of the site.
const LEASE: Duration = Duration::from_millis(3_000);

/// Length of a usage window, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Time from the cut to the next end of a usage window, in milliseconds: the report of that window is due while
/// the node is cut off, and one of its reads of the store begins in the last second of the cut.
const WINDOW_END_AFTER_CUT: std::ops::Range<u64> = 2_400..2_900;

/// Time from a renewal of the lease to the start of the second node, which then looks at the lease soon after
/// each renewal.
const SECOND_START: Duration = Duration::from_millis(40);

/// Time that is left for the second node to give the lease back before the cut ends.
const RELEASE_TIME: Duration = Duration::from_millis(500);

/// Part of a second, in milliseconds, that is left at a renewal of the lease until a usage window may end.
const PHASE: std::ops::Range<u64> = 500..850;

/// Rounds are played until the rule is broken, and begin within this time.
const ROUNDS_TIME: Duration = Duration::from_secs(75);

pub fn run(run: &Run) -> io::Result<Verdict> {
    let begin = Instant::now();
    let mut round = 0;
    while begin.elapsed() < ROUNDS_TIME {
        round += 1;
        run.record.line(&format!("round {round}"));
        if let Some(reason) = play(run)? {
            return Ok(Verdict::Broken(reason));
        }
    }
    Ok(Verdict::Held)
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        sleep(Duration::from_millis(2));
    }
    false
}

/// Waits for the next renewal of the lease.
fn wait_renewed(platform: &Platform) -> bool {
    let version = || platform.first("lease").map(|(_, ver)| ver);
    let before = version();
    wait_until(Duration::from_secs(4), || version() != before)
}

fn time_to_window_end() -> u64 {
    WINDOW_MS - unix_ms() % WINDOW_MS
}

/// `Deployment` is a platform with one plain replica and the node that holds the lease.
struct Deployment {
    platform: Platform,
    link: Link,
    duties: Link,
    first: Node,
    _desk: Replica,
}

/// Starts a deployment whose first node begins after `delay`.
fn deploy(run: &Run, delay: Duration) -> io::Result<Deployment> {
    let platform = Platform::new(run.record.clone());
    platform.put("op", "config", &configuration(7));
    let no_resets = Arc::new(|_, _| None);
    let desk = Replica::start(&platform, "i-1", "desk", 6, no_resets, run.record.clone())?;
    let (duties, link) = (platform.open_link()?, platform.open_link()?);
    sleep(delay);
    let first = Node::start(&run.work, "front-1", link.address, duties.address)?;
    let has_lease = || platform.first("lease").is_some();
    if !first.wait_ready() || !wait_until(Duration::from_secs(5), has_lease) {
        return Err(io::Error::other("the first node does not get ready"));
    }
    if !wait_renewed(&platform) {
        return Err(io::Error::other("the lease is not renewed"));
    }
    Ok(Deployment {
        platform,
        link,
        duties,
        first,
        _desk: desk,
    })
}

/// Starts a deployment whose renewals fall in the wanted part of a second before the ends of usage windows.
fn deploy_in_phase(run: &Run) -> io::Result<Deployment> {
    let mut delay = Duration::ZERO;
    for _ in 0..4 {
        let started = unix_ms() + delay.as_millis() as u64;
        let deployment = deploy(run, delay)?;
        let left = time_to_window_end() % 1_000;
        if PHASE.contains(&left) {
            return Ok(deployment);
        }
        drop(deployment);
        // A process that starts later by this much renews later by as much.
        let later = started + (1_000 + left - (PHASE.start + PHASE.end) / 2) % 1_000;
        delay = Duration::from_millis((later + 60_000 - unix_ms()) % 1_000);
    }
    Err(io::Error::other("the renewals do not fall as wanted"))
}

/// Plays one round. Returns how the rule was broken, if it was.
fn play(run: &Run) -> io::Result<Option<String>> {
    let deployment = deploy_in_phase(run)?;
    let platform = &deployment.platform;
    wait_renewed(platform);
    sleep(SECOND_START);
    let link = platform.open_link()?;
    let second = Node::start(
        &run.work,
        "front-2",
        link.address,
        deployment.duties.address,
    )?;
    if !second.wait_ready() {
        return Err(io::Error::other("the second node does not get ready"));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients([&deployment.first, &second].map(|node| node.callers), &stop);
    sleep(Duration::from_secs(2));
    let reason = disturb(run, &deployment, &second);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    reason
}

fn start_clients(
    to: [std::net::SocketAddr; 2],
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let client = |(index, to): (usize, std::net::SocketAddr)| {
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let head = head("GET", "/look/1", &format!("c{index}-{number}"), 2_000, "");
                // A node that stops refuses connections.
                let _ = call(to, &head, b"", Duration::from_secs(2));
                sleep(Duration::from_millis(100));
            }
        })
    };
    to.into_iter().enumerate().map(client).collect()
}

fn disturb(run: &Run, deployment: &Deployment, second: &Node) -> io::Result<Option<String>> {
    let Deployment {
        platform,
        link,
        first,
        ..
    } = deployment;
    let holder = platform.first("lease").map(|(lease, _)| lease);
    let holder = holder.ok_or_else(|| io::Error::other("no lease"))?;
    if holder.get("node").text() != first.name {
        return Err(io::Error::other("the first node does not hold the lease"));
    }
    let fence = holder.get("fencing").number();
    let is_in_time = wait_until(Duration::from_secs(12), || {
        wait_renewed(platform);
        WINDOW_END_AFTER_CUT.contains(&time_to_window_end())
    });
    if !is_in_time {
        return Err(io::Error::other("no renewal at the wanted time"));
    }
    sleep(Duration::from_millis(30));
    let cut_at = Instant::now();
    if run.has_trouble {
        link.set_cut(true);
        run.record
            .line(&format!("cut: {} from the store", first.name));
    }
    let acts = || {
        let calls = platform.calls();
        calls
            .iter()
            .any(|call| call.at > cut_at && call.fence > fence)
    };
    let has_acted = wait_until(CUT - RELEASE_TIME, acts);
    run.record.line(&format!(
        "SIGTERM to {}, which has acted: {has_acted}",
        second.name
    ));
    second.signal(SIGTERM);
    sleep((cut_at + CUT).saturating_duration_since(Instant::now()));
    let healed_at = Instant::now();
    if run.has_trouble {
        link.set_cut(false);
        let length = healed_at.duration_since(cut_at).as_millis();
        run.record
            .line(&format!("healed after {length} ms: new connections pass"));
    }
    sleep(Duration::from_secs(4));
    let lease = platform.first("lease").map(|(lease, _)| lease.to_string());
    run.record
        .line(&format!("lease at the end: {}", lease.unwrap_or_default()));
    Ok(judge(run, platform, healed_at))
}

/// Judges the calls that the platform accepted. Calls just after the link has healed do not count.
fn judge(run: &Run, platform: &Platform, healed_at: Instant) -> Option<String> {
    let is_excused = |at: Instant| at >= healed_at && at < healed_at + THAW_SLACK;
    let mut calls = platform.calls();
    calls.retain(|call| call.path == "/usage" && !is_excused(call.at));
    let mut highest = 0;
    let mut broken = None;
    for (index, call) in calls.iter().enumerate() {
        if call.fence < highest {
            let reason = format!(
                "a usage report of {} with the fencing token {} after one with {highest}, {} ms after the link \
                 had healed",
                call.holder,
                call.fence,
                call.at.saturating_duration_since(healed_at).as_millis(),
            );
            run.record.line_at(call.at, &format!("broken: {reason}"));
            broken.get_or_insert(reason);
        }
        highest = highest.max(call.fence);
        let earlier = calls[..index]
            .iter()
            .filter(|one| one.holder == call.holder && call.at.duration_since(one.at) < LEASE);
        for one in earlier {
            let between = calls.iter().find(|other| {
                other.holder != call.holder && other.at > one.at && other.at < call.at
            });
            if let Some(other) = between {
                let reason = format!(
                    "{}, {} and {} act within lease_ms",
                    one.holder, other.holder, call.holder
                );
                run.record.line_at(call.at, &format!("broken: {reason}"));
                broken.get_or_insert(reason);
            }
        }
    }
    broken
}
