//! Choice among a few replicas whose loads their coordinators stated.

use std::time::Duration;

use verbenahead_core::units::Tokens;

use crate::{prefill_model::PrefillModel, replica_book::BookedLoad};

/// `PlacementRequest` describes a request to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRequest {
    /// Size of the prompt.
    pub prompt: Tokens,
    /// Service-level objective for the time to the first event.
    pub objective: Duration,
    /// Longest pause between two events of the streams of the service.
    pub max_pause: Duration,
}

/// `PlacementCandidate` is a replica that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Tokens of the prompt that the replica is expected to process.
    pub uncached: Tokens,
    /// What the coordinator of the replica knows of its load, or the node's own estimate.
    pub load: BookedLoad,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Penalty for a longer way to the replica.
    pub distance: Duration,
}

/// `PlacementOptions` holds the weights of the score of a candidate, which is in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementOptions {
    /// Times of a replica.
    pub model: PrefillModel,
    /// Weight of a miss of the request's own objective.
    pub miss: f64,
    /// Weight of each stream whose pause exceeds the limit.
    pub harm: f64,
    /// Weight of the time of recomputed tokens.
    pub recomputed: f64,
    /// Range of predicted times around a limit within which a miss is uncertain, as a fraction of the limit.
    pub uncertainty: f64,
    /// Time for which a request waits for each one above the slots.
    pub slot_wait: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            model: PrefillModel::default(),
            miss: 1.0,
            harm: 0.25,
            recomputed: 1.0,
            uncertainty: 0.2,
            slot_wait: Duration::from_millis(50),
        }
    }
}

/// `Placement` is the result of a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Expected number of running streams that the prefill pauses for too long.
    pub paused_streams: f64,
    score: f64,
}

/// Chooses the candidate with the lowest score. Returns `None` without candidates.
pub fn place(
    req: &PlacementRequest,
    candidates: &[PlacementCandidate],
    options: &PlacementOptions,
) -> Option<Placement> {
    let least = candidates.iter().map(|c| c.uncached).min()?;
    let scored = candidates
        .iter()
        .enumerate()
        .map(|(index, candidate)| score(req, index, candidate, least, options));
    scored.min_by(|left, right| left.score.total_cmp(&right.score))
}

/// Returns the earliest time to the first event that is predicted for any of the candidates.
pub fn earliest_first_event(
    candidates: &[PlacementCandidate],
    prompt: Tokens,
    options: &PlacementOptions,
) -> Option<Duration> {
    let predicted = candidates
        .iter()
        .map(|candidate| first_event(prompt, candidate, options));
    predicted.min()
}

fn score(
    req: &PlacementRequest,
    index: usize,
    candidate: &PlacementCandidate,
    least: Tokens,
    options: &PlacementOptions,
) -> Placement {
    let model = &options.model;
    let first_event = first_event(req.prompt, candidate, options);
    let miss = excess_risk(first_event, req.objective, options);
    let paused_streams = paused_streams(req, candidate, options);
    let recomputed = candidate.uncached.0 - least.0;
    let recomputed = model.prefill(Tokens(recomputed), req.prompt);
    let score = first_event.as_secs_f64()
        + options.miss * miss
        + options.harm * paused_streams
        + options.recomputed * recomputed.as_secs_f64()
        + candidate.distance.as_secs_f64();
    Placement {
        index,
        first_event,
        paused_streams,
        score,
    }
}

/// Returns the predicted time to the first event at a candidate.
fn first_event(
    prompt: Tokens,
    candidate: &PlacementCandidate,
    options: &PlacementOptions,
) -> Duration {
    let model = &options.model;
    let load = &candidate.load;
    let prefill = load.queued + model.prefill(candidate.uncached, prompt);
    let chunks = prefill.as_secs_f64() / model.chunk_time.as_secs_f64().max(f64::EPSILON);
    let steps = chunks.ceil() as u32 + model.steps_per_event;
    let excess = (load.streams + 1).saturating_sub(candidate.slots.max(1));
    let time = prefill + model.step(load.streams).saturating_mul(steps);
    time.mul_f64(load.time_factor) + options.slot_wait.saturating_mul(excess)
}

/// Returns by how much the prefill of the request raises the expected number of streams whose pause exceeds
/// the limit.
fn paused_streams(
    req: &PlacementRequest,
    candidate: &PlacementCandidate,
    options: &PlacementOptions,
) -> f64 {
    let queued = candidate.load.queued;
    let prefill = options.model.prefill(candidate.uncached, req.prompt);
    let risk = |work| pause_risk(req, &candidate.load, work, options);
    let streams = f64::from(candidate.load.streams);
    streams * (risk(queued + prefill) - risk(queued)).max(0.0)
}

/// Returns the expected number of overlong pauses of one stream while the prompts of `work` are processed.
fn pause_risk(
    req: &PlacementRequest,
    load: &BookedLoad,
    work: Duration,
    options: &PlacementOptions,
) -> f64 {
    let model = &options.model;
    let per_event = model.prefill_per_event(req.prompt);
    let decode = model.step(load.streams) * model.steps_per_event;
    let pause = (work.min(per_event) + decode).mul_f64(load.time_factor);
    let events = work.as_secs_f64() / per_event.as_secs_f64().max(f64::EPSILON);
    excess_risk(pause, req.max_pause, options) * events.max(1.0)
}

/// Returns the probability that a time with the given prediction exceeds a limit.
fn excess_risk(predicted: Duration, limit: Duration, options: &PlacementOptions) -> f64 {
    let limit = limit.as_secs_f64().max(1e-3);
    let distance = (predicted.as_secs_f64() / limit - 1.0) / options.uncertainty.max(1e-3);
    1.0 / (1.0 + (-distance * LOGISTIC_SLOPE).exp())
}

/// Slope of the logistic function with which the risk is 0.08 and 0.92 at the ends of the uncertain range.
const LOGISTIC_SLOPE: f64 = 2.5;
