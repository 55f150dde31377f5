//! Estimate of how much of a service's capacity is taken.
//!
//! A node has a recent report of few replicas, but these sample the load of the service. Each replica counts
//! once, by its last report, however often it was chosen.

use std::{collections::VecDeque, time::Duration};

use crate::time::Timestamp;

/// `ServicePressureOptions` sets which reports an estimate uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePressureOptions {
    /// Time in which the weight of a report falls to a third.
    pub memory: Duration,
    /// Age beyond which a report is ignored.
    pub max_age: Duration,
    /// Replicas of which a report is needed.
    pub min_samples: usize,
    /// Fraction of the replicas of which reports suffice, if these are fewer.
    pub min_share: f64,
    /// Largest weighted mean age of the reports, so that old ones alone are no knowledge.
    pub max_mean_age: Duration,
    /// Time over which the trend is taken.
    pub trend_period: Duration,
}

impl Default for ServicePressureOptions {
    fn default() -> Self {
        Self {
            // Queues of prompts last about half a second.
            memory: Duration::from_millis(1_000),
            max_age: Duration::from_millis(2_500),
            // The mean of 8 queues that vary by their mean has a deviation of about a third.
            min_samples: 8,
            min_share: 0.75,
            max_mean_age: Duration::from_millis(1_500),
            trend_period: Duration::from_millis(1_000),
        }
    }
}

/// `PressureSample` is the last reported load of one replica that serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PressureSample {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Age of the report.
    pub age: Duration,
}

/// `PressureEstimate` is the estimated load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PressureEstimate {
    /// Fraction of the slots that are taken, with the load of lost replicas spread over the others. It may
    /// exceed 1.
    pub taken: f64,
    /// Running requests per replica.
    pub running: f64,
    /// Waiting requests per replica.
    pub waiting: f64,
    /// Change of the waiting requests per replica in a second, if known.
    pub trend: Option<f64>,
    /// Number of replicas with a report.
    pub samples: usize,
    /// Weighted mean age of the reports.
    pub mean_age: Duration,
}

impl PressureEstimate {
    /// Returns the mean time that a request waits, if each occupies a slot for `service_time`.
    pub fn queue_time(&self, service_time: Duration) -> Duration {
        let seconds = self.waiting * service_time.as_secs_f64() / self.running.max(1.0);
        Duration::from_secs_f64(seconds.clamp(0.0, MAX_QUEUE_TIME.as_secs_f64()))
    }

    /// Returns the time after which nothing waits if the trend goes on, or `None` if the queues do not
    /// become shorter.
    pub fn drained_after(&self) -> Option<Duration> {
        let fall = -self.trend?;
        (fall > 0.0).then(|| {
            let seconds = self.waiting / fall;
            Duration::from_secs_f64(seconds.min(MAX_QUEUE_TIME.as_secs_f64()))
        })
    }
}

/// Upper bound on estimated times.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(60);

/// `ServicePressure` estimates the load of one service from the reports of its replicas.
#[derive(Debug, Clone, Default)]
pub struct ServicePressure {
    options: ServicePressureOptions,
    /// Changes of the number of replicas that serve.
    live: VecDeque<(Timestamp, usize)>,
    /// Earlier estimates of the waiting requests.
    waiting: VecDeque<(Timestamp, f64)>,
}

/// Largest number of remembered changes and estimates.
const MAX_HISTORY: usize = 64;

/// Largest factor for lost replicas. A node that sees few of the replicas knows nothing of the others.
const MAX_LOSS_FACTOR: f64 = 2.0;

impl ServicePressure {
    /// Builds an estimate without knowledge.
    pub fn new(options: ServicePressureOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the load of the service whose `live` replicas reported `samples`, one of each, or `None`
    /// with too little knowledge.
    pub fn estimate(
        &mut self,
        samples: &[PressureSample],
        live: usize,
        now: Timestamp,
    ) -> Option<PressureEstimate> {
        self.record_live(live, now);
        let (mut count, mut weights, mut ages) = (0, 0.0, 0.0);
        let (mut running, mut waiting, mut slots, mut taken) = (0.0, 0.0, 0.0, 0.0);
        let is_usable =
            |sample: &&PressureSample| sample.age <= self.options.max_age && sample.slots > 0;
        let usable: Vec<&PressureSample> = samples.iter().filter(is_usable).collect();
        let longest = longest_queue(&usable);
        for (index, sample) in usable.iter().enumerate() {
            let age = sample.age.as_secs_f64();
            let weight = (-age / self.options.memory.as_secs_f64().max(1e-3)).exp();
            count += 1;
            if longest == Some(index) {
                continue;
            }
            weights += weight;
            ages += weight * age;
            running += weight * f64::from(sample.running.min(sample.slots));
            waiting += weight * f64::from(sample.waiting);
            slots += weight * f64::from(sample.slots);
            let lost = self.loss_factor(live, now.minus(sample.age));
            taken += weight * lost * f64::from(sample.running.saturating_add(sample.waiting));
        }
        let of_live = (live as f64 * self.options.min_share).ceil() as usize;
        let wanted = self.options.min_samples.min(of_live).max(1);
        if count < wanted
            || slots <= 0.0
            || ages > weights * self.options.max_mean_age.as_secs_f64()
        {
            return None;
        }
        let waiting = waiting / weights;
        let trend = self.trend(waiting, now);
        Some(PressureEstimate {
            taken: taken / slots,
            running: running / weights,
            waiting,
            trend,
            samples: count,
            mean_age: Duration::from_secs_f64(ages / weights),
        })
    }

    fn record_live(&mut self, live: usize, now: Timestamp) {
        if self.live.back().is_none_or(|(_, known)| *known != live) {
            self.live.push_back((now, live));
        }
        let period = self.options.max_age;
        // The last change before the period tells the number at its beginning.
        while self.live.len() > MAX_HISTORY
            || (self.live.len() > 1 && now.since(self.live[1].0) > period)
        {
            self.live.pop_front();
        }
    }

    /// Returns by how much the load per replica rose since `at` because replicas were lost.
    fn loss_factor(&self, live: usize, at: Timestamp) -> f64 {
        let before = self.live.iter().rev().find(|(since, _)| *since <= at);
        let before = before.or(self.live.front()).map_or(live, |(_, n)| *n);
        (before as f64 / live.max(1) as f64).clamp(1.0, MAX_LOSS_FACTOR)
    }

    /// Records an estimate and returns the change per second.
    fn trend(&mut self, waiting: f64, now: Timestamp) -> Option<f64> {
        let period = self.options.trend_period;
        while self.waiting.len() >= MAX_HISTORY
            || (self.waiting.len() > 1 && now.since(self.waiting[1].0) >= period)
        {
            self.waiting.pop_front();
        }
        let earlier = self.waiting.front().copied();
        self.waiting.push_back((now, waiting));
        let (at, before) = earlier?;
        let seconds = now.since(at).as_secs_f64();
        let is_usable = now.since(at) >= period / 2 && now.since(at) <= period * 2;
        is_usable.then(|| (waiting - before) / seconds)
    }
}

/// Number of reports from which the one with the longest queue is left out.
const MIN_TRIMMED: usize = 4;

/// Returns the index of the report with the longest queue, which is left out: a replica that states a wrong
/// figure must not make a service appear to lack places.
fn longest_queue(samples: &[&PressureSample]) -> Option<usize> {
    let indexes = 0..samples.len();
    let longest = indexes.max_by_key(|index| samples[*index].waiting);
    longest.filter(|_| samples.len() >= MIN_TRIMMED)
}
