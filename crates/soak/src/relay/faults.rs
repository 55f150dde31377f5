//! Applies the events of a schedule to a fleet.

use std::{ops::Range, sync::Arc, time::Duration};

use anyhow::{Result, anyhow, bail};
use rand::{SeedableRng as _, rngs::StdRng};
use tokio::{
    task::spawn_blocking,
    time::{Instant, sleep},
};
use verbenahead_standins::{
    link::LinkMode,
    process::Process,
    users::{HandoverBehaviour, ReplicaBehaviour, UsersReplica},
};

use super::{
    configuration::{ConfigurationDraw, PLAIN_SERVICE},
    fleet::{Fleet, FleetReplica, regular_behaviour},
    node::{GRACE, RelayNode},
    records::{SignalRecord, lock},
    restores::restore_store,
    schedule::{Departure, Event, MoveFaults, NodeSignal, StreamFault},
};

/// Time between the registration of new replicas and the notice of those that they replace.
const OVERLAP: Duration = Duration::from_millis(400);

/// Share of the nodes that are disturbed at the same time at most.
const MAX_DISTURBED_SHARE: f64 = 0.34;

/// Events of a stream before its fault.
const EVENTS_BEFORE_FAULT: u64 = 7;

/// Applies an event until it is over. An event that finds nothing to act on has no effect.
///
/// # Errors
///
/// When a process or stand-in does not start, or a node does not end after SIGTERM.
pub async fn apply(fleet: Arc<Fleet>, event: Event) -> Result<()> {
    match event {
        Event::Configure {
            count,
            gap_ms,
            seed,
        } => {
            let mut rng = StdRng::seed_from_u64(seed);
            for _ in 0..count {
                fleet.publish(ConfigurationDraw::draw(&mut rng));
                sleep(Duration::from_millis(gap_ms)).await;
            }
            Ok(())
        }
        Event::Leave { .. } => leave(&fleet, event).await,
        Event::Store { fault, ms } => {
            fleet.disturb_store(fault, Duration::from_millis(ms)).await;
            Ok(())
        }
        Event::CutOff {
            is_silent,
            ms,
            pick,
        } => {
            let slot = usize::try_from(pick % fleet.nodes.len() as u64)?;
            let mode = match is_silent {
                true => LinkMode::Silent,
                false => LinkMode::Cut,
            };
            fleet.cut_off(slot, mode, Duration::from_millis(ms)).await;
            Ok(())
        }
        Event::Restore(restore) => restore_store(&fleet, restore).await,
        Event::OddRow { ms, pick } => {
            leave_odd_row(&fleet, Duration::from_millis(ms), pick).await;
            Ok(())
        }
        Event::Node { signal, ms, pick } => {
            disturb_node(&fleet, signal, Duration::from_millis(ms), pick).await
        }
        Event::Streams { fault, ms, pick } => {
            disturb_streams(&fleet, fault, Duration::from_millis(ms), pick).await;
            Ok(())
        }
    }
}

/// Tables that nodes read, and keys of odd rows there that belong to nobody.
const ODD_ROWS: [(&str, &str); 6] = [
    ("servers", "i-odd"),
    ("op", "odd"),
    ("nodes", "odd"),
    ("usage", "counts/!odd"),
    ("streams", "open/odd"),
    ("rollouts", "odd"),
];

/// Values of odd rows. The last one is no base64, the others are encoded.
const ODD_VALUES: [&str; 5] = [
    r#"{"slots":1e999,"born":-1}"#,
    r#"{"address":"127.0.0.1:70000"}"#,
    "null",
    "",
    "odd!",
];

/// Depth of a nested value.
const NESTING: usize = 10_000;

async fn leave_odd_row(fleet: &Fleet, time: Duration, pick: u64) {
    let pick = usize::try_from(pick % 1_000).unwrap_or_default();
    let (table, key) = ODD_ROWS[pick % ODD_ROWS.len()];
    let key = format!("{key}-{pick}");
    match ODD_VALUES.get(pick % (ODD_VALUES.len() + 1)) {
        Some(&"odd!") => fleet.platform.put_raw(table, &key, "odd!".to_owned()),
        Some(text) => fleet.platform.put_bytes(table, &key, text.as_bytes()),
        None => {
            let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
            fleet.platform.put_bytes(table, &key, nested.as_bytes());
        }
    }
    sleep(time).await;
    fleet.platform.remove(table, &key);
}

async fn leave(fleet: &Arc<Fleet>, event: Event) -> Result<()> {
    let Event::Leave {
        departure,
        zone,
        count,
        replaces,
        exit_ms,
        moves,
        pick,
    } = event
    else {
        return Ok(());
    };
    let leaving = draw_leaving(fleet, departure, zone, count, pick);
    if replaces || fleet.ready_replicas().len() < fleet.size * 2 / 3 {
        for replica in &leaving {
            fleet.start_replica(replica.service, replica.zone).await?;
        }
        sleep(OVERLAP).await;
    }
    for replica in &leaving {
        set_moves(&replica.standin, moves);
        let leaves_ms = (departure == Departure::Reclaimed).then_some(exit_ms);
        match departure {
            Departure::Unregistered => fleet.unregister(replica),
            Departure::Drains | Departure::Reclaimed => {
                fleet.register(replica, "draining", leaves_ms);
            }
        }
        lock(&replica.state).notice_known_at = Some(Instant::now());
    }
    sleep(Duration::from_millis(exit_ms)).await;
    for replica in &leaving {
        replica.standin.crash();
        lock(&replica.state).gone_at = replica.standin.crashed_at();
        fleet.unregister(replica);
    }
    Ok(())
}

fn set_moves(replica: &UsersReplica, moves: MoveFaults) {
    replica.set_copies(moves.copies);
    match moves.stops {
        HandoverBehaviour::LosesAnswer | HandoverBehaviour::Late(_) => {
            for _ in 0..moves.count {
                replica.then_handover(moves.stops);
            }
        }
        _ => replica.set_handovers(moves.stops),
    }
}

/// Gives replicas their notice and returns them. One replica of each service remains.
fn draw_leaving(
    fleet: &Fleet,
    departure: Departure,
    zone: Option<&str>,
    count: usize,
    pick: u64,
) -> Vec<Arc<FleetReplica>> {
    let ready = fleet.ready_replicas();
    let mut candidates = ready.clone();
    candidates.retain(|replica| zone.is_none_or(|zone| replica.zone == zone));
    let count = match zone {
        Some(_) => candidates.len(),
        None => count.min(candidates.len()),
    };
    let first = usize::try_from(pick % 1_000).unwrap_or_default();
    let first = first % candidates.len().max(1);
    candidates.rotate_left(first);
    candidates.truncate(count);
    let mut remaining = ready;
    candidates.retain(|leaving| {
        let of_service = remaining.iter().filter(|r| r.service == leaving.service);
        if of_service.count() < 2 {
            return false;
        }
        remaining.retain(|r| r.id != leaving.id);
        true
    });
    for replica in &candidates {
        lock(&replica.state).notice = Some((departure, Instant::now()));
    }
    candidates
}

async fn disturb_node(fleet: &Fleet, signal: NodeSignal, time: Duration, pick: u64) -> Result<()> {
    let Some(slot) = begin_signal(fleet, signal, pick) else {
        return Ok(());
    };
    match signal {
        NodeSignal::Frozen => {
            let mut node = take_node(fleet, slot)?;
            let mut node = spawn_blocking(move || node.process.freeze().map(|()| node)).await??;
            sleep(time).await;
            node.process.unfreeze()?;
            *lock(&fleet.nodes[slot].node) = Some(node);
        }
        NodeSignal::Killed => kill(fleet, slot, time).await?,
        NodeSignal::Terminated => restart(fleet, slot, take_node(fleet, slot)?).await?,
    }
    end_signal(fleet, slot);
    Ok(())
}

/// Kills the node of a slot, and starts another one there after `time`.
///
/// # Errors
///
/// When there is no node, or the other one does not start.
pub(super) async fn kill(fleet: &Fleet, slot: usize, time: Duration) -> Result<()> {
    let mut node = take_node(fleet, slot)?;
    *lock(&fleet.nodes[slot].address) = None;
    node.process.kill()?;
    check_log(&fleet.nodes[slot].name, &node.process)?;
    sleep(time).await;
    fleet.start_node(slot).await
}

fn take_node(fleet: &Fleet, slot: usize) -> Result<RelayNode> {
    let node = lock(&fleet.nodes[slot].node).take();
    node.ok_or_else(|| anyhow!("soak: no process in slot {slot}"))
}

/// Ends the node of a slot with SIGTERM and starts another one there.
///
/// # Errors
///
/// When the node does not end in time, or the other one does not start.
pub(super) async fn restart(fleet: &Fleet, slot: usize, mut node: RelayNode) -> Result<()> {
    let name = &fleet.nodes[slot].name;
    *lock(&fleet.nodes[slot].address) = None;
    node.process.terminate()?;
    let limit = GRACE + Duration::from_secs(2);
    let (node, status) =
        spawn_blocking(move || node.process.wait(limit).map(|status| (node, status))).await??;
    check_log(name, &node.process)?;
    if !status.is_some_and(|status| status.success()) {
        bail!("soak: {name} ended with {status:?} after SIGTERM");
    }
    fleet.start_node(slot).await
}

/// Checks that a node has not panicked.
///
/// # Errors
///
/// The log when it has.
pub fn check_log(name: &str, process: &Process) -> Result<()> {
    let log = process.log();
    if log.contains("panicked at") {
        bail!("soak: {name} panicked: {log}");
    }
    Ok(())
}

/// Chooses a node that is not disturbed and records the signal to it.
fn begin_signal(fleet: &Fleet, signal: NodeSignal, pick: u64) -> Option<usize> {
    begin_signal_among(fleet, signal, pick, 0..fleet.nodes.len())
}

/// Records a signal to each of `slots` whose node is not disturbed, however many they are. Returns those slots.
pub(super) fn begin_signals(
    fleet: &Fleet,
    signal: NodeSignal,
    slots: impl Iterator<Item = usize>,
) -> Vec<usize> {
    let mut signals = fleet.records.signals();
    let (from, until) = (Instant::now(), None);
    let mut begun = Vec::new();
    for node in slots {
        let mut of_node = signals.iter().filter(|record| record.node == node);
        if of_node.all(|record| record.until.is_some()) {
            begun.push(node);
        }
    }
    signals.extend(begun.iter().map(|node| SignalRecord {
        node: *node,
        signal,
        from,
        until,
    }));
    begun
}

/// Chooses one of `slots` whose node is not disturbed, and records the signal to it.
pub(super) fn begin_signal_among(
    fleet: &Fleet,
    signal: NodeSignal,
    pick: u64,
    slots: Range<usize>,
) -> Option<usize> {
    let mut signals = fleet.records.signals();
    let disturbed: Vec<usize> = signals
        .iter()
        .filter(|record| record.until.is_none())
        .map(|record| record.node)
        .collect();
    if disturbed.len() as f64 + 1.0 > fleet.nodes.len() as f64 * MAX_DISTURBED_SHARE {
        return None;
    }
    let calm: Vec<usize> = slots.filter(|slot| !disturbed.contains(slot)).collect();
    let index = usize::try_from(pick.checked_rem(calm.len() as u64)?).ok()?;
    let node = calm[index];
    signals.push(SignalRecord {
        node,
        signal,
        from: Instant::now(),
        until: None,
    });
    Some(node)
}

pub(super) fn end_signal(fleet: &Fleet, slot: usize) {
    let mut signals = fleet.records.signals();
    let open = signals.iter_mut().rev().find(|record| record.node == slot);
    if let Some(record) = open {
        record.until = Some(Instant::now());
    }
}

async fn disturb_streams(fleet: &Fleet, fault: StreamFault, time: Duration, pick: u64) {
    let mut replicas = fleet.ready_replicas();
    replicas.retain(|replica| replica.service != PLAIN_SERVICE);
    let index = usize::try_from(pick % 1_000).unwrap_or_default() % replicas.len().max(1);
    let Some(replica) = replicas.get(index) else {
        return;
    };
    replica.standin.set_behaviour(match fault {
        StreamFault::Broken => ReplicaBehaviour::BreakStream(EVENTS_BEFORE_FAULT),
        StreamFault::Silent => ReplicaBehaviour::SilentStream(EVENTS_BEFORE_FAULT),
        StreamFault::Full => ReplicaBehaviour::Full,
        StreamFault::Reset => ReplicaBehaviour::Reset,
    });
    sleep(time).await;
    let regular = regular_behaviour(replica.service, pick);
    replica.standin.set_behaviour(regular);
}
