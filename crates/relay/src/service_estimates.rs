//! Estimates that the replicas of one service share, since a node sends few requests to each of them.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use verbenahead_core::units::{RequestRate, TokenRate, Tokens};
use verbenahead_policy::{PrefillRateEstimator, Timestamp};

/// Time after the last statement of a brittle replica for which others of its service may answer without one
/// before all are taken to be sound.
const MIXED_PERIOD: Duration = Duration::from_secs(1);

/// Time for which replicas are taken to be brittle without any answer. A node may get none for long while
/// there is no room.
const BRITTLE_MEMORY: Duration = Duration::from_secs(60);

/// `SharedBrittleness` holds the last statements of the replicas of a service. Those that this node has not
/// heard of lately are taken to be as the others are.
#[derive(Debug, Default)]
pub struct SharedBrittleness(Mutex<BrittlenessStatements>);

#[derive(Debug, Default)]
struct BrittlenessStatements {
    /// Last statement of rejections, with its time.
    brittle: Option<(RequestRate, Timestamp)>,
    /// Time of the last answer without one.
    sound_at: Option<Timestamp>,
}

impl SharedBrittleness {
    pub(crate) fn record(&self, stated: Option<RequestRate>, now: Timestamp) {
        let mut statements = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match stated {
            Some(rate) => statements.brittle = Some((rate, now)),
            None => statements.sound_at = Some(now),
        }
    }

    /// Returns the rejections that replicas survive, if brittle ones answered after `since` and as lately as
    /// sound ones.
    pub(crate) fn known(&self, now: Timestamp, since: Timestamp) -> Option<RequestRate> {
        let statements = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (rate, at) = statements.brittle?;
        let is_over = statements
            .sound_at
            .is_some_and(|sound_at| sound_at.since(at) > MIXED_PERIOD);
        (!is_over && at >= since && now.since(at) < BRITTLE_MEMORY).then_some(rate)
    }
}

/// `SharedPrefillRate` estimates the prefill rate of the replicas of one service. A node sends few
/// prompts to each replica, so the samples of all replicas are combined.
#[derive(Debug)]
pub struct SharedPrefillRate(Mutex<PrefillRateEstimator>);

impl SharedPrefillRate {
    /// Builds a shared estimate that starts from `estimator`.
    pub fn new(estimator: PrefillRateEstimator) -> Self {
        Self(Mutex::new(estimator))
    }

    /// Returns the estimated rate at which a replica processes prompts.
    pub fn rate(&self) -> TokenRate {
        self.lock().rate()
    }

    pub(crate) fn add_sample(&self, rate: TokenRate, processed: Tokens) {
        self.lock().add_sample(rate, processed);
    }

    fn lock(&self) -> MutexGuard<'_, PrefillRateEstimator> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `SharedCallTime` estimates the usual time of a call without a prompt by a moving average.
#[derive(Debug, Default)]
pub struct SharedCallTime(Mutex<Option<Duration>>);

/// Weight of a call in a [`SharedCallTime`].
const CALL_WEIGHT: f64 = 0.1;

impl SharedCallTime {
    /// Returns the estimated time, if any call was observed.
    pub fn get(&self) -> Option<Duration> {
        *self.lock()
    }

    /// Adds the time that a call took or would have taken at the usual speed of its machine.
    pub(crate) fn add_sample(&self, time: Duration) {
        let mut estimate = self.lock();
        let weight = estimate.map_or(1.0, |_| CALL_WEIGHT);
        let known = estimate.unwrap_or_default();
        *estimate = Some(known.mul_f64(1.0 - weight) + time.mul_f64(weight));
    }

    fn lock(&self) -> MutexGuard<'_, Option<Duration>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
