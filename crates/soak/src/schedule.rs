//! The schedule of faults, drawn only from a seed.

use std::{ops::RangeInclusive, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use serde::Serialize;

/// Availability zones of the node slots. Two nodes share the first zone, so that the loss of any
/// zone leaves two nodes.
pub const NODE_ZONES: [&str; 4] = ["a", "b", "c", "a"];

/// Availability zones of the engine slots.
pub const ENGINE_ZONES: [&str; 3] = ["a", "b", "c"];

/// Availability zones of the booking slots.
pub const BOOKING_ZONES: [&str; 2] = ["a", "b"];

/// Bounds of the quiet time before a fault, in milliseconds.
const QUIET_MS: RangeInclusive<u64> = 1000..=2500;

/// Bounds of the time that a fault lasts, in milliseconds.
const FAULT_MS: RangeInclusive<u64> = 500..=5000;

/// Bounds of the time from a reclaim notice to the end of the VMs, in milliseconds.
const NOTICE_MS: RangeInclusive<u64> = 1200..=3000;

/// Probability that a round has two concurrent faults.
const TWO_FAULTS_RATIO: f64 = 0.4;

/// `Fault` is a fault to inject. Each variant states how it is undone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// SIGKILL to a node. Undone by a new node.
    KillNode {
        /// Slot of the node.
        slot: usize,
    },
    /// SIGSTOP to a node. Undone by SIGCONT.
    FreezeNode {
        /// Slot of the node.
        slot: usize,
    },
    /// SIGTERM to a node, which must exit with zero. Undone by a new node.
    StopNode {
        /// Slot of the node.
        slot: usize,
    },
    /// SIGKILL to an engine without notice. Undone by a new engine.
    KillEngine {
        /// Slot of the engine.
        slot: usize,
    },
    /// A reclaim notice for an engine, and its end. Undone by a new engine.
    ReclaimEngine {
        /// Slot of the engine.
        slot: usize,
        /// Time that the notice leaves, in milliseconds.
        notice_ms: u64,
    },
    /// A reclaim notice for an availability zone, and the end of its nodes and upstreams. Undone
    /// by new ones.
    ReclaimZone {
        /// The zone.
        zone: &'static str,
        /// Time that the notice leaves, in milliseconds.
        notice_ms: u64,
    },
    /// The platform answers each call with an error.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow {
        /// Time before a call takes effect, in milliseconds.
        delay_ms: u64,
    },
    /// Writes to the platform take effect but are not answered.
    PlatformAnswersLost {
        /// Number of the writes.
        count: u32,
    },
    /// A booking replica is slow.
    BookingSlow {
        /// Slot of the replica.
        slot: usize,
        /// Time before a call runs, in milliseconds.
        delay_ms: u64,
    },
    /// A booking replica runs calls and closes the connection without an answer.
    BookingCloses {
        /// Slot of the replica.
        slot: usize,
    },
}

/// `Family` groups faults of which at most one is active at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Family {
    Node,
    Engine,
    Zone,
    Platform,
    Booking,
}

const FAMILIES: [Family; 5] = [
    Family::Node,
    Family::Engine,
    Family::Zone,
    Family::Platform,
    Family::Booking,
];

/// `Round` is a quiet time, then one or two concurrent faults, which are undone before the round
/// ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Round {
    /// Time without a fault before the round, in milliseconds.
    pub quiet_ms: u64,
    /// The faults with the time that each lasts, in milliseconds.
    pub faults: Vec<(Fault, u64)>,
}

impl Round {
    /// Draws a round.
    ///
    /// Two concurrent faults are of different families. The loss of a zone ends nodes, an engine and
    /// booking replicas, so it is combined only with a fault of the platform. Thus at least two
    /// nodes, an engine and a booking replica are healthy at all times.
    pub fn draw(rng: &mut impl Rng) -> Self {
        let quiet_ms = rng.random_range(QUIET_MS);
        let first = *FAMILIES.choose(rng).unwrap_or(&Family::Node);
        let mut families = vec![first];
        if rng.random_bool(TWO_FAULTS_RATIO) {
            let others: Vec<_> = FAMILIES
                .iter()
                .filter(|other| can_overlap(first, **other))
                .collect();
            families.extend(others.choose(rng).map(|family| **family));
        }
        let faults = families
            .into_iter()
            .map(|family| (draw_fault(family, rng), rng.random_range(FAULT_MS)))
            .collect();
        Self { quiet_ms, faults }
    }

    /// Returns the quiet time.
    pub fn quiet(&self) -> Duration {
        Duration::from_millis(self.quiet_ms)
    }
}

fn can_overlap(first: Family, second: Family) -> bool {
    if first == Family::Zone {
        return second == Family::Platform;
    }
    if second == Family::Zone {
        return first == Family::Platform;
    }
    first != second
}

fn draw_fault(family: Family, rng: &mut impl Rng) -> Fault {
    match family {
        Family::Node => draw_node_fault(rng),
        Family::Engine => draw_engine_fault(rng),
        Family::Zone => Fault::ReclaimZone {
            zone: ENGINE_ZONES[rng.random_range(0..ENGINE_ZONES.len())],
            notice_ms: rng.random_range(NOTICE_MS),
        },
        Family::Platform => draw_platform_fault(rng),
        Family::Booking => draw_booking_fault(rng),
    }
}

fn draw_node_fault(rng: &mut impl Rng) -> Fault {
    let slot = rng.random_range(0..NODE_ZONES.len());
    match rng.random_range(0..3) {
        0 => Fault::KillNode { slot },
        1 => Fault::FreezeNode { slot },
        _ => Fault::StopNode { slot },
    }
}

fn draw_engine_fault(rng: &mut impl Rng) -> Fault {
    let slot = rng.random_range(0..ENGINE_ZONES.len());
    if rng.random_bool(0.5) {
        return Fault::KillEngine { slot };
    }
    let notice_ms = rng.random_range(NOTICE_MS);
    Fault::ReclaimEngine { slot, notice_ms }
}

fn draw_platform_fault(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..3) {
        0 => Fault::PlatformDown,
        1 => Fault::PlatformSlow {
            delay_ms: rng.random_range(50..=800),
        },
        _ => Fault::PlatformAnswersLost {
            count: rng.random_range(1..=6),
        },
    }
}

fn draw_booking_fault(rng: &mut impl Rng) -> Fault {
    let slot = rng.random_range(0..BOOKING_ZONES.len());
    if rng.random_bool(0.5) {
        return Fault::BookingCloses { slot };
    }
    let delay_ms = rng.random_range(100..=2500);
    Fault::BookingSlow { slot, delay_ms }
}
