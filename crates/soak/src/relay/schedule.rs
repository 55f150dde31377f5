//! Events of a run, drawn from its seed.

use std::{ops::RangeInclusive, time::Duration};

use derive_more::Display;
use rand::{Rng, SeedableRng as _, rngs::StdRng, seq::IndexedRandom as _};
use verbenahead_standins::users::{HandoverBehaviour, StoreFault};

use super::options::RelaySoakOptions;

/// Availability zones of nodes and replicas.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Bounds of the time between two signals or stream faults in a small fleet, in milliseconds.
const DISTURBANCE_GAP_MS: RangeInclusive<u64> = 200..=1_800;

/// Bounds of the time between two departures, in milliseconds.
const LEAVE_GAP_MS: RangeInclusive<u64> = 200..=2_000;

/// Bounds of the time between two faults of the store, in milliseconds.
const STORE_GAP_MS: RangeInclusive<u64> = 500..=12_000;

/// Bounds of the time between two cuts of single nodes from the store, in milliseconds.
const CUT_GAP_MS: RangeInclusive<u64> = 2_000..=8_000;

/// Bounds of the length of such a cut, in milliseconds. A longer one outlasts the lease of the node and that of the
/// node which takes it meanwhile.
const CUT_MS: RangeInclusive<u64> = 500..=7_000;

/// Bounds of the time between two odd rows, in milliseconds.
const ODD_ROW_GAP_MS: RangeInclusive<u64> = 300..=3_000;

/// Bounds of the time between two restores of the store from a copy, in milliseconds.
const RESTORE_GAP_MS: RangeInclusive<u64> = 4_000..=15_000;

/// Bounds of the age of the copy, in milliseconds.
const COPY_AGE_MS: RangeInclusive<u64> = 500..=6_000;

/// Bounds of the time for which the store is away before it comes back from the copy, in milliseconds.
const AWAY_MS: RangeInclusive<u64> = 200..=1_200;

/// Separates the draws of restores from the others.
const SEED_OF_RESTORES: u64 = 0x7265_7374_6f72_6573;

/// Separates the draws of cuts and odd rows from the others, which repeat for the seeds of earlier runs.
const SEED_OF_TABLES: u64 = 0x6f64_6420_726f_7773;

/// Share of the departures of many replicas at once.
const LARGE_SHARE: f64 = 0.3;

/// Bounds of the time between two series of configurations, in milliseconds. Half of the time lies away
/// from them.
const CONFIGURATION_GAP_MS: RangeInclusive<u64> = 4_000..=12_000;

/// Time after the start at which the first event may occur, in milliseconds.
const QUIET_START_MS: u64 = 1_500;

/// Store faults that are drawn.
const STORE_FAULTS: [StoreFault; 5] = [
    StoreFault::Busy,
    StoreFault::TooMany,
    StoreFault::Reset,
    StoreFault::Silent,
    StoreFault::LoseAnswers,
];

/// Share of the departures in which calls of one kind are treated in the regular way.
const REGULAR_SHARE: f64 = 0.5;

/// Number of calls that lose their answer, or get it late, before one is treated in the regular way.
const IRREGULAR_CALLS: RangeInclusive<usize> = 1..=6;

/// Stream faults that are drawn.
const STREAM_FAULTS: [StreamFault; 4] = [
    StreamFault::Broken,
    StreamFault::Silent,
    StreamFault::Full,
    StreamFault::Reset,
];

/// `Departure` is the way a replica leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It reports that it drains, and exits some time after the drain time.
    Drains,
    /// It reports the time that is left, and exits at its end.
    Reclaimed,
    /// Its registration is removed, and it serves on for a while.
    Unregistered,
}

/// `NodeSignal` is what happens to the process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "lowercase")]
pub enum NodeSignal {
    /// SIGTERM, and a new process once it has exited.
    Terminated,
    /// SIGKILL, and a new process.
    Killed,
    /// SIGSTOP, and SIGCONT after a time.
    Frozen,
}

/// `Victims` are the nodes whose processes are killed around a restore of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Victims {
    /// None.
    Nobody,
    /// The node that has just reported usage.
    Holder,
    /// All nodes.
    All,
}

/// `Restore` is a restore of the store from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restore {
    /// Age of the copy when the store goes away, in milliseconds.
    pub age_ms: u64,
    /// Time for which the store is away, in milliseconds.
    pub away_ms: u64,
    /// Nodes whose processes are killed.
    pub victims: Victims,
    /// Time from the copy to the kill, in milliseconds.
    pub kill_ms: u64,
    /// Time until new processes start, in milliseconds.
    pub down_ms: u64,
}

/// `StreamFault` is a fault of all streams that a replica starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// The replica breaks the stream off in the middle of an event.
    Broken,
    /// The replica sends nothing after some events.
    Silent,
    /// The replica turns requests away for want of room.
    Full,
    /// The replica closes the connections of requests that it does not run.
    Reset,
}

/// `MoveFaults` tells how a replica treats calls that move runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MoveFaults {
    /// Calls that copy a run.
    pub copies: HandoverBehaviour,
    /// Calls that stop a run.
    pub stops: HandoverBehaviour,
    /// Number of calls that `stops` applies to, if answers are lost or late.
    pub count: usize,
}

/// `Event` is something that happens in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// Configurations in quick succession.
    Configure {
        /// Number of configurations.
        count: u64,
        /// Time between two of them, in milliseconds.
        gap_ms: u64,
        /// Seed of their contents.
        seed: u64,
    },
    /// Replicas leave.
    Leave {
        /// The way they leave.
        departure: Departure,
        /// Zone whose replicas all leave. `None` stands for some of all zones.
        zone: Option<&'static str>,
        /// Number of replicas, unless all of a zone leave.
        count: usize,
        /// Whether as many replicas have joined before.
        replaces: bool,
        /// Time from the notice to the exit, in milliseconds.
        exit_ms: u64,
        /// How they treat calls that move runs.
        moves: MoveFaults,
        /// Selects the replicas.
        pick: u64,
    },
    /// A fault of the store.
    Store {
        /// The fault.
        fault: StoreFault,
        /// Its length in milliseconds.
        ms: u64,
    },
    /// One node is cut off from the store.
    CutOff {
        /// Whether its connections go silent. Otherwise they are reset.
        is_silent: bool,
        /// Length of the cut in milliseconds.
        ms: u64,
        /// Selects the node.
        pick: u64,
    },
    /// The store comes back from a copy.
    Restore(Restore),
    /// Another writer leaves an odd row in a table that nodes read.
    OddRow {
        /// Time until it is removed, in milliseconds.
        ms: u64,
        /// Selects the table and the value.
        pick: u64,
    },
    /// A signal to a node.
    Node {
        /// The signal.
        signal: NodeSignal,
        /// Time until the node continues or is replaced, in milliseconds.
        ms: u64,
        /// Selects the node.
        pick: u64,
    },
    /// A fault of the streams that one replica starts.
    Streams {
        /// The fault.
        fault: StreamFault,
        /// Its length in milliseconds.
        ms: u64,
        /// Selects the replica.
        pick: u64,
    },
}

/// Draws the events of a run, each with the time since the start of the run.
pub fn draw(options: &RelaySoakOptions) -> Vec<(Duration, Event)> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let time = options.time;
    // A larger fleet sees more at the same time.
    let pace = 1 + options.nodes as u64 / 40;
    let mut events = Vec::new();
    let mut at = QUIET_START_MS;
    while Duration::from_millis(at) < time {
        events.push((Duration::from_millis(at), draw_disturbance(&mut rng)));
        at += rng.random_range(DISTURBANCE_GAP_MS) / pace;
    }
    let mut at = QUIET_START_MS;
    while Duration::from_millis(at) < time {
        let event = draw_leave(&mut rng, options);
        events.push((Duration::from_millis(at), event));
        at += rng.random_range(LEAVE_GAP_MS);
    }
    let mut at = rng.random_range(QUIET_START_MS..=*STORE_GAP_MS.end());
    while Duration::from_millis(at) < time {
        events.push((Duration::from_millis(at), draw_store_fault(&mut rng)));
        at += rng.random_range(STORE_GAP_MS);
    }
    let mut at = rng.random_range(QUIET_START_MS..=*CONFIGURATION_GAP_MS.end());
    while Duration::from_millis(at) < time {
        events.push((Duration::from_millis(at), draw_configurations(&mut rng)));
        at += rng.random_range(CONFIGURATION_GAP_MS);
    }
    events.extend(draw_for_tables(options));
    // An older build may report a window again after a restore.
    if options.older.is_none() {
        events.extend(draw_restores(options));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Draws the cuts of nodes from the store, and the odd rows in it.
fn draw_for_tables(options: &RelaySoakOptions) -> Vec<(Duration, Event)> {
    let mut rng = StdRng::seed_from_u64(options.seed ^ SEED_OF_TABLES);
    let mut events = Vec::new();
    let mut at = QUIET_START_MS;
    while Duration::from_millis(at) < options.time {
        let cut = Event::CutOff {
            is_silent: rng.random_bool(0.7),
            ms: rng.random_range(CUT_MS),
            pick: rng.random(),
        };
        events.push((Duration::from_millis(at), cut));
        at += rng.random_range(CUT_GAP_MS);
    }
    let mut at = QUIET_START_MS;
    while Duration::from_millis(at) < options.time {
        let odd = Event::OddRow {
            ms: rng.random_range(100..=6_000),
            pick: rng.random(),
        };
        events.push((Duration::from_millis(at), odd));
        at += rng.random_range(ODD_ROW_GAP_MS);
    }
    events
}

fn draw_restores(options: &RelaySoakOptions) -> Vec<(Duration, Event)> {
    let mut rng = StdRng::seed_from_u64(options.seed ^ SEED_OF_RESTORES);
    let mut events = Vec::new();
    let mut at = rng.random_range(QUIET_START_MS..=*RESTORE_GAP_MS.end());
    while Duration::from_millis(at) < options.time {
        let age_ms = rng.random_range(COPY_AGE_MS);
        let away_ms = rng.random_range(AWAY_MS);
        let restore = Restore {
            age_ms,
            away_ms,
            victims: match rng.random_range(0..4) {
                0 => Victims::Nobody,
                1 => Victims::Holder,
                _ => Victims::All,
            },
            kill_ms: rng.random_range(age_ms / 2..=age_ms + away_ms),
            down_ms: rng.random_range(200..=1_000),
        };
        events.push((Duration::from_millis(at), Event::Restore(restore)));
        at += age_ms + away_ms + rng.random_range(RESTORE_GAP_MS);
    }
    events
}

fn draw_configurations(rng: &mut impl Rng) -> Event {
    Event::Configure {
        count: rng.random_range(1..=4),
        gap_ms: rng.random_range(50..=400),
        seed: rng.random(),
    }
}

fn draw_store_fault(rng: &mut impl Rng) -> Event {
    Event::Store {
        fault: *STORE_FAULTS.choose(rng).unwrap_or(&StoreFault::Busy),
        ms: rng.random_range(200..=2_500),
    }
}

fn draw_disturbance(rng: &mut impl Rng) -> Event {
    let pick = rng.random();
    match rng.random_range(0..10) {
        0..7 => Event::Node {
            signal: match rng.random_range(0..4) {
                0..2 => NodeSignal::Terminated,
                2 => NodeSignal::Killed,
                _ => NodeSignal::Frozen,
            },
            ms: rng.random_range(200..=2_500),
            pick,
        },
        _ => Event::Streams {
            fault: *STREAM_FAULTS.choose(rng).unwrap_or(&StreamFault::Full),
            ms: rng.random_range(200..=800),
            pick,
        },
    }
}

fn draw_leave(rng: &mut impl Rng, options: &RelaySoakOptions) -> Event {
    let pick = rng.random();
    let mut moves = MoveFaults {
        copies: draw_handover(rng),
        stops: draw_handover(rng),
        count: rng.random_range(IRREGULAR_CALLS),
    };
    if options.has_regular_moves {
        moves = MoveFaults::default();
    }
    let (departure, zone, replaces) = match rng.random_range(0..10) {
        0..4 => (Departure::Drains, None, true),
        4..6 => (Departure::Reclaimed, ZONES.choose(rng).copied(), true),
        6..9 => (Departure::Unregistered, None, true),
        _ => (Departure::Drains, None, false),
    };
    let exit_ms = match departure {
        Departure::Drains | Departure::Unregistered => rng.random_range(2_000..=5_000),
        Departure::Reclaimed => rng.random_range(1_500..=5_000),
    };
    Event::Leave {
        departure,
        zone,
        count: match rng.random_bool(LARGE_SHARE) {
            true => rng.random_range(1..=options.replicas.div_ceil(4)),
            false => rng.random_range(1..=options.replicas.div_ceil(12)),
        },
        replaces,
        exit_ms,
        moves,
        pick,
    }
}

fn draw_handover(rng: &mut impl Rng) -> HandoverBehaviour {
    if rng.random_bool(REGULAR_SHARE) {
        return HandoverBehaviour::Moves;
    }
    match rng.random_range(0..4) {
        0 => HandoverBehaviour::NoRoom,
        1 => HandoverBehaviour::Refuses,
        2 => HandoverBehaviour::LosesAnswer,
        _ => HandoverBehaviour::Late(Duration::from_millis(rng.random_range(200..=2_500))),
    }
}
