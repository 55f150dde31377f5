//! Counts of the attempts during a rollout, by route and version.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_membership::{NameKey, RolloutCounts, RolloutOutcomes};
use verbenahead_policy::{TIME_BUCKETS, time_bucket};

use crate::rollouts::Rollouts;

/// Time for which the longest attempt is remembered.
const LONGEST_MEMORY: Duration = Duration::from_secs(5);

/// Time without an answer from which an attempt counts by its age.
const LONG_WAIT: Duration = Duration::from_millis(700);

/// `SampleKey` is what an attempt is counted under.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SampleKey {
    pub(crate) service: NameKey,
    pub(crate) target: NameKey,
    pub(crate) route: NameKey,
    pub(crate) is_target: bool,
    /// Whether the target got requests as the attempt began. Only then are versions compared.
    pub(crate) is_compared: bool,
}

/// `SampleOutcome` is the outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SampleOutcome {
    /// The replica answered.
    Answered,
    /// The replica answered with a server error.
    Failed,
    /// The answer did not come, or broke off.
    Lost,
}

/// `RolloutTally` counts the attempts at a service during a rollout.
#[derive(Debug, Clone, Default)]
pub(crate) struct RolloutTally {
    attempts: u64,
    target_attempts: u64,
    open_old: u32,
    /// Longest attempts of two successive periods, and the begin of the later one.
    longest: [Duration; 2],
    longest_since: Option<Instant>,
    outcomes: BTreeMap<(NameKey, bool), RolloutOutcomes>,
    /// Attempts that wait for their first event or answer, by number.
    waiting: BTreeMap<u64, WaitingAttempt>,
    next_number: u64,
}

#[derive(Debug, Clone, Copy)]
struct WaitingAttempt {
    key: SampleKey,
    begun_at: Instant,
    predicted: Option<Duration>,
}

impl RolloutTally {
    /// Returns the counts without what identifies the rollout.
    pub(crate) fn counts(&mut self) -> RolloutCounts {
        self.record_length(Duration::ZERO);
        // Slow answers show before they have come. Their attempts count by their age so far.
        let mut shown = self.clone();
        for attempt in self.waiting.values() {
            let age = attempt.begun_at.elapsed();
            if age >= LONG_WAIT {
                shown.record_time(&attempt.key, time_bucket(age, attempt.predicted));
            }
        }
        RolloutCounts {
            attempts: self.attempts,
            target_attempts: self.target_attempts,
            open_old: self.open_old,
            longest: self.longest[0].max(self.longest[1]),
            outcomes: shown.outcomes.into_values().collect(),
            ..RolloutCounts::default()
        }
    }

    /// Returns the attempts at other versions and at the target.
    pub(crate) fn attempts(&self) -> [u64; 2] {
        [self.attempts - self.target_attempts, self.target_attempts]
    }

    /// Returns the failed and lost attempts at other versions and at the target.
    pub(crate) fn failures(&self) -> [u64; 2] {
        [false, true].map(|is_target| {
            let outcomes = self.outcomes.values();
            let of_version = outcomes.filter(|outcomes| outcomes.is_target == is_target);
            of_version
                .map(|outcomes| outcomes.failed + outcomes.lost)
                .sum()
        })
    }

    /// Counts an attempt and returns its number.
    fn begin(&mut self, key: &SampleKey, predicted: Option<Duration>) -> u64 {
        self.next_number += 1;
        let attempt = WaitingAttempt {
            key: *key,
            begun_at: Instant::now(),
            predicted,
        };
        if key.is_compared {
            self.waiting.insert(self.next_number, attempt);
        }
        self.attempts += 1;
        match key.is_target {
            true => self.target_attempts += 1,
            false => self.open_old += 1,
        }
        self.next_number
    }

    fn end(&mut self, key: &SampleKey, length: Duration) {
        if !key.is_target {
            self.open_old = self.open_old.saturating_sub(1);
            self.record_length(length);
        }
    }

    fn record_length(&mut self, length: Duration) {
        let since = *self.longest_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= LONGEST_MEMORY {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.longest_since = Some(Instant::now());
        }
        self.longest[0] = self.longest[0].max(length);
    }

    fn outcomes(&mut self, key: &SampleKey) -> Option<&mut RolloutOutcomes> {
        let new = || RolloutOutcomes {
            route: key.route,
            is_target: key.is_target,
            ..RolloutOutcomes::default()
        };
        let outcomes = self.outcomes.entry((key.route, key.is_target));
        key.is_compared.then(|| outcomes.or_insert_with(new))
    }

    fn record(&mut self, key: &SampleKey, outcome: SampleOutcome) {
        let Some(outcomes) = self.outcomes(key) else {
            return;
        };
        match outcome {
            SampleOutcome::Answered => outcomes.answered += 1,
            SampleOutcome::Failed => outcomes.failed += 1,
            SampleOutcome::Lost => outcomes.lost += 1,
        }
    }

    fn record_time(&mut self, key: &SampleKey, bucket: usize) {
        if let Some(outcomes) = self.outcomes(key) {
            let len = outcomes.times.len().max(bucket + 1).min(TIME_BUCKETS);
            outcomes.times.resize(len, 0);
            outcomes.times[bucket.min(TIME_BUCKETS - 1)] += 1;
        }
    }
}

/// `RolloutSample` counts one attempt during a rollout until it is dropped.
#[derive(Debug)]
pub(crate) struct RolloutSample {
    rollouts: Arc<Rollouts>,
    key: SampleKey,
    /// Number of the attempt in the tally.
    number: u64,
    begun_at: Instant,
    /// Predicted time to the first token.
    predicted: Option<Duration>,
    has_outcome: bool,
    has_time: bool,
}

impl RolloutSample {
    /// Counts an attempt that begins.
    pub(crate) fn begin(
        rollouts: &Arc<Rollouts>,
        key: SampleKey,
        predicted: Option<Duration>,
    ) -> Self {
        let mut number = 0;
        rollouts.with_tally(&key, |tally| number = tally.begin(&key, predicted));
        Self {
            rollouts: Arc::clone(rollouts),
            number,
            key,
            begun_at: Instant::now(),
            predicted,
            has_outcome: false,
            has_time: false,
        }
    }

    /// Records the time of the first event or of the answer, once.
    pub(crate) fn record_time(&mut self) {
        if std::mem::replace(&mut self.has_time, true) {
            return;
        }
        let bucket = time_bucket(self.begun_at.elapsed(), self.predicted);
        let (key, number) = (self.key, self.number);
        self.rollouts.with_tally(&key, |tally| {
            tally.waiting.remove(&number);
            tally.record_time(&key, bucket);
        });
    }

    /// Records the outcome, once.
    pub(crate) fn record(&mut self, outcome: SampleOutcome) {
        if std::mem::replace(&mut self.has_outcome, true) {
            return;
        }
        let key = self.key;
        self.rollouts
            .with_tally(&key, |tally| tally.record(&key, outcome));
    }

    /// Records that the attempt did not run. Its time says nothing.
    pub(crate) fn discard(&mut self) {
        self.has_outcome = true;
        self.has_time = true;
        let number = self.number;
        self.rollouts.with_tally(&self.key, |tally| {
            tally.waiting.remove(&number);
        });
    }
}

impl Drop for RolloutSample {
    fn drop(&mut self) {
        // A caller that leaves before the first event has waited at least this long.
        self.record_time();
        let key = self.key;
        let length = self.begun_at.elapsed();
        self.rollouts
            .with_tally(&key, |tally| tally.end(&key, length));
    }
}
