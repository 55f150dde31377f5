//! Evaluation of a canary: whether the answers of the target of a rollout are worse than those of
//! the other versions over the same time and route.
//!
//! Each kind of bad answer is tested with a likelihood ratio between a bad share that the other
//! versions have as well and larger ones. The average of such ratios exceeds a value `a` with a
//! probability of at most `1 / a` for a version that is not worse, however often it is looked at, so
//! the evaluation may run at every step.

use std::{collections::BTreeMap, time::Duration};

use crate::{bad_share::Tally, time::Timestamp};

/// Number of buckets of answer times.
pub const TIME_BUCKETS: usize = 40;

/// Ratio of the upper bounds of two successive buckets.
const BUCKET_RATIO: f64 = 1.3;

/// Upper bound of the first bucket: 2 ms, or 2 in 100 of a predicted time.
const FIRST_BUCKET: f64 = 2.0;

/// Returns the bucket of an answer time. With a predicted time the ratio of the two counts, so that
/// large and small prompts, and those that a new replica has not cached yet, are comparable.
#[must_use]
pub fn time_bucket(time: Duration, predicted: Option<Duration>) -> usize {
    let value = match predicted {
        Some(predicted) => 100.0 * time.as_secs_f64() / predicted.max(MIN_PREDICTED).as_secs_f64(),
        None => time.as_secs_f64() * 1_000.0,
    };
    let bucket = (value / FIRST_BUCKET).max(1.0).log(BUCKET_RATIO).ceil();
    (bucket as usize).min(TIME_BUCKETS - 1)
}

/// Shorter predictions are dominated by what is not predicted, such as the network.
const MIN_PREDICTED: Duration = Duration::from_millis(20);

/// `AnswerCounts` counts the outcomes of attempts at one version on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Successful answers.
    pub answered: u64,
    /// Failures.
    pub failed: u64,
    /// Answers by the bucket of their time.
    pub times: Vec<u64>,
}

impl AnswerCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.failed += other.failed;
        let len = self.times.len().max(other.times.len());
        self.times.resize(len, 0);
        for (sum, count) in self.times.iter_mut().zip(&other.times) {
            *sum += count;
        }
    }

    /// Returns what was counted since `earlier` counts.
    fn since(&self, earlier: &Self) -> Self {
        let before = |bucket: usize| earlier.times.get(bucket).copied().unwrap_or_default();
        let times = self.times.iter().enumerate();
        Self {
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times
                .map(|(bucket, count)| count.saturating_sub(before(bucket)))
                .collect(),
        }
    }

    /// Returns the number of attempts with a known outcome.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.answered + self.failed
    }

    fn slower_than(&self, bucket: usize) -> u64 {
        self.times.iter().skip(bucket + 1).sum()
    }

    fn timed(&self) -> u64 {
        self.times.iter().sum()
    }

    /// Returns the bucket within which this part of the answers came.
    fn quantile(&self, part: f64) -> usize {
        let limit = (part * self.timed() as f64).ceil() as u64;
        let mut sum = 0;
        for (bucket, count) in self.times.iter().enumerate() {
            sum += count;
            if sum >= limit {
                return bucket;
            }
        }
        TIME_BUCKETS - 1
    }
}

/// `RouteEvidence` is what the versions did on one route over the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// Counts of the other versions.
    pub old: AnswerCounts,
    /// Counts of the target.
    pub target: AnswerCounts,
}

impl RouteEvidence {
    fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            target: self.target.since(&earlier.target),
        }
    }
}

/// `EvidenceOptions` sets the thresholds of the evaluation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EvidenceOptions {
    /// Likelihood ratio from which the target is bad at any time. One good version in 5,000 reaches it by
    /// chance on one route; several routes, symptoms and periods are tested.
    pub certain_ratio: f64,
    /// Likelihood ratio from which the target is bad when the traffic must move or not.
    pub likely_ratio: f64,
    /// Part of the answers of the other versions that counts as usual.
    pub usual_part: f64,
    /// Buckets above the usual times from which an answer is slow. Three are a factor of 2.2:
    /// replicas that just started have cold caches and are somewhat slower.
    pub slow_margin: usize,
    /// Fewest answers of the other versions that state usual times.
    pub min_usual: u64,
}

impl Default for EvidenceOptions {
    fn default() -> Self {
        Self {
            certain_ratio: 5_000.0,
            likely_ratio: 150.0,
            usual_part: 0.9,
            slow_margin: 3,
            min_usual: 20,
        }
    }
}

/// `Symptom` is a way in which a version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Symptom {
    /// Answers are failures.
    Failures,
    /// Answers are slow.
    Slow,
}

/// `Evaluation` is the strongest sign that the target is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evaluation {
    /// Logarithm of the likelihood ratio.
    pub log_ratio: f64,
    /// What the sign is.
    pub symptom: Symptom,
    /// Route on which it was seen, or `None` for all routes together.
    pub route: Option<u32>,
    /// Bad answers of the target.
    pub bad: u64,
    /// Answers of the target.
    pub answers: u64,
    /// Share of bad answers that a version which is not worse would have.
    pub usual_share: f64,
}

impl Evaluation {
    /// Returns whether the target is bad whenever it is looked at.
    #[must_use]
    pub fn is_certain(&self, options: &EvidenceOptions) -> bool {
        self.log_ratio >= options.certain_ratio.ln()
    }

    /// Returns whether the target is too doubtful to move the traffic to it.
    #[must_use]
    pub fn is_likely(&self, options: &EvidenceOptions) -> bool {
        self.log_ratio >= options.likely_ratio.ln()
    }
}

/// `EvidenceHistory` evaluates all counts, and those of the last [`RECENT_PERIOD`] by themselves. Good
/// answers from before a fault showed would hide it otherwise.
///
/// Failures are compared in periods of [`HISTORY_STEP`]. The share of the target changes, so a second in which
/// all versions fail may hold a large part of its answers and a small part of the others'.
#[derive(Debug, Clone, Default)]
pub struct EvidenceHistory {
    earlier: Vec<(Timestamp, BTreeMap<u32, RouteEvidence>)>,
}

/// Time over which recent answers are evaluated. It holds some tens of answers at the share that the bound
/// allows.
const RECENT_PERIOD: Duration = Duration::from_secs(3);

/// Shortest time between two counts that are remembered.
const HISTORY_STEP: Duration = Duration::from_millis(500);

/// Most counts that are remembered, half a minute at [`HISTORY_STEP`]. Of longer rollouts, the oldest
/// periods are joined.
const MAX_HISTORY: usize = 64;

impl EvidenceHistory {
    /// Evaluates the counts at `now`. Returns the strongest sign, or `None` while the target has answered
    /// nothing.
    pub fn evaluate(
        &mut self,
        routes: &BTreeMap<u32, RouteEvidence>,
        options: &EvidenceOptions,
        now: Timestamp,
    ) -> Option<Evaluation> {
        let recent_from = self
            .earlier
            .iter()
            .rposition(|(at, _)| now.since(*at) >= RECENT_PERIOD)
            .map_or(0, |index| index + 1);
        let first = recent_from.checked_sub(1).map(|at| &self.earlier[at].1);
        let none = RouteEvidence::default();
        let mut found = Vec::new();
        let mut all_failures = Vec::new();
        let mut all_slow = [Tally::default(); 3];
        for (route, evidence) in routes {
            let on_route = Some(*route);
            let failures = self.failures(*route, evidence);
            found.extend(evaluate_failures(&failures, recent_from, on_route));
            add(&mut all_failures, &failures);
            let earlier = first.and_then(|routes| routes.get(route)).unwrap_or(&none);
            let recent = evidence.since(earlier);
            // A wide margin finds answers that are much slower. The narrow one finds more of the rest, but
            // needs many answers.
            let tallies = [
                slow_tally(evidence, options, 0),
                slow_tally(&recent, options, 0),
                slow_tally(evidence, options, 1),
            ];
            for (sum, tally) in all_slow.iter_mut().zip(tallies) {
                if let Some(tally) = tally {
                    sum.add(tally);
                    found.extend(tally.evaluate(&[tally], Symptom::Slow, on_route));
                }
            }
        }
        // A single route is tested as such above.
        if routes.len() > 1 {
            found.extend(evaluate_failures(&all_failures, recent_from, None));
            let slow = all_slow.iter();
            found.extend(slow.filter_map(|sum| sum.evaluate(&[*sum], Symptom::Slow, None)));
        }
        self.remember(routes, now);
        found
            .into_iter()
            .max_by(|left, right| left.log_ratio.total_cmp(&right.log_ratio))
    }

    fn remember(&mut self, routes: &BTreeMap<u32, RouteEvidence>, now: Timestamp) {
        let is_due = |last: &(Timestamp, _)| now.since(last.0) >= HISTORY_STEP;
        if self.earlier.last().is_none_or(is_due) {
            self.earlier.push((now, routes.clone()));
        }
        if self.earlier.len() > MAX_HISTORY {
            let mut index = 0;
            self.earlier.retain(|_| {
                index += 1;
                index > MAX_HISTORY / 2 || index % 2 == 0
            });
        }
    }

    /// Returns the failures on a route in each period, the current one last.
    fn failures(&self, route: u32, evidence: &RouteEvidence) -> Vec<Tally> {
        let none = RouteEvidence::default();
        let earlier = self.earlier.iter();
        let earlier = earlier.map(|(_, routes)| routes.get(&route).unwrap_or(&none));
        let mut before = Tally::default();
        let periods = earlier.chain([evidence]).map(|evidence| {
            let sum = failure_tally(evidence);
            let period = sum.since(before);
            before = sum;
            period
        });
        periods.collect()
    }
}

/// Adds the tallies of a route to those of all routes, period by period.
fn add(sums: &mut Vec<Tally>, tallies: &[Tally]) {
    sums.resize(tallies.len(), Tally::default());
    for (sum, tally) in sums.iter_mut().zip(tallies) {
        sum.add(*tally);
    }
}

/// Evaluates the failures of all periods, and those of the recent ones by themselves.
fn evaluate_failures(
    periods: &[Tally],
    recent_from: usize,
    route: Option<u32>,
) -> Option<Evaluation> {
    let mut sum = Tally::default();
    periods.iter().for_each(|period| sum.add(*period));
    let whole = sum.evaluate(periods, Symptom::Failures, route);
    let recent = sum.evaluate(periods.get(recent_from..)?, Symptom::Failures, route);
    [whole, recent]
        .into_iter()
        .flatten()
        .max_by(|left, right| left.log_ratio.total_cmp(&right.log_ratio))
}

fn failure_tally(evidence: &RouteEvidence) -> Tally {
    Tally {
        old_bad: evidence.old.failed,
        old_answers: evidence.old.ended(),
        bad: evidence.target.failed,
        answers: evidence.target.ended(),
    }
}

/// Returns the tally of slow answers with the margin less `narrower` buckets, if the other versions state
/// usual times. A target that is slower by one bucket is not worse: the caches of its replicas are cold.
fn slow_tally(
    evidence: &RouteEvidence,
    options: &EvidenceOptions,
    narrower: usize,
) -> Option<Tally> {
    let RouteEvidence { old, target } = evidence;
    if old.timed() < options.min_usual {
        return None;
    }
    let limit = old.quantile(options.usual_part) + options.slow_margin.saturating_sub(narrower);
    Some(Tally {
        old_bad: old.slower_than(limit.saturating_sub(1)),
        old_answers: old.timed(),
        bad: target.slower_than(limit),
        answers: target.timed(),
    })
}
