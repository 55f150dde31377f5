//! Chooses a replica of a plain service by the expected time of a call.
//!
//! A node sends few of the calls of a deployment, so its own open calls say little about the load of a
//! replica. The replicas report their load in each answer. A report is out of date after the time of a few
//! calls; from then on the load is expected to be the mean of the earlier reports, which includes the
//! arrivals of other nodes.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::AvailabilityZone;

use crate::{machine_speed::MachineSpeed, plain_route::PlainCandidate, route::CandidateState};

/// `PlainLoad` is the expected load of a replica of a plain service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainLoad {
    /// Calls that run or wait.
    pub calls: f64,
    /// Calls that run at the same time.
    pub slots: u32,
    /// Speed of the machine.
    pub speed: MachineSpeed,
    /// Usual time of a call, if this node has observed any of the service.
    pub call_time: Option<Duration>,
}

/// Time of a call before any was observed.
pub const DEFAULT_CALL_TIME: Duration = Duration::from_millis(50);

/// Time that a call to another zone is expected to take longer.
const ZONE_SECONDS: f64 = 0.003;

/// Exponent of the expected time in the weight of a replica. Nodes with the same late knowledge must not
/// all choose the same replica, so one that is expected to be a little faster gets a little more.
const WEIGHT_EXPONENT: i32 = 4;

impl PlainLoad {
    /// Returns the expected time of a call: the wait for the calls before it, and its own run.
    pub fn call_seconds(&self) -> f64 {
        let call_time = self.call_time.unwrap_or(DEFAULT_CALL_TIME).as_secs_f64();
        let slots = f64::from(self.slots.max(1));
        self.speed.time_of(call_time * (1.0 + self.calls / slots))
    }
}

/// Returns the calls that are expected at a replica that reported `reported` calls at an earlier time and
/// `mean` calls on average, if a call takes `call_time`.
pub fn expected_calls(reported: f64, mean: f64, age: Duration, call_time: Duration) -> f64 {
    let call_seconds = call_time.as_secs_f64().max(MIN_CALL_SECONDS);
    let remaining = (-age.as_secs_f64() / call_seconds).exp();
    mean + (reported - mean) * remaining
}

/// Lower bound on the time of a call.
const MIN_CALL_SECONDS: f64 = 0.001;

/// Draws a ready candidate at random, weighted by its slots and by the expected time of a call there.
/// Candidates of unknown load are taken to be as the others are on average. Returns `None` when no candidate is ready.
pub(crate) fn route_by_wait(
    zone: &AvailabilityZone,
    candidates: &[PlainCandidate],
    rng: &mut impl Rng,
) -> Option<usize> {
    let ready = || {
        candidates
            .iter()
            .filter(|c| c.state == CandidateState::Ready)
    };
    let loads = || ready().filter_map(|candidate| candidate.load);
    let known = loads().count().max(1) as f64;
    let mean_seconds = loads().map(|load| load.call_seconds()).sum::<f64>() / known;
    let mean_slots = loads().map(|load| f64::from(load.slots)).sum::<f64>() / known;
    let weight = |candidate: &PlainCandidate| {
        if candidate.state != CandidateState::Ready {
            return 0.0;
        }
        let zone_seconds = match candidate.zone == *zone {
            true => 0.0,
            false => ZONE_SECONDS,
        };
        let (seconds, slots) = match candidate.load {
            Some(load) => (load.call_seconds(), f64::from(load.slots.max(1))),
            None => (mean_seconds, mean_slots.max(1.0)),
        };
        slots
            / (seconds + zone_seconds)
                .max(MIN_CALL_SECONDS)
                .powi(WEIGHT_EXPONENT)
    };
    let total: f64 = candidates.iter().map(&weight).sum();
    if !(total > 0.0 && total.is_finite()) {
        return candidates
            .iter()
            .position(|c| c.state == CandidateState::Ready);
    }
    let mut left = rng.random_range(0.0..total);
    let mut last = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = weight(candidate);
        if weight > 0.0 {
            last = Some(index);
            if left < weight {
                break;
            }
            left -= weight;
        }
    }
    last
}
