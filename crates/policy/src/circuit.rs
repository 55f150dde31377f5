//! A circuit breaker for one upstream.
//!
//! When the attempts at an upstream fail, the circuit opens and the upstream gets no requests for
//! some time. Then a few trial requests test whether it has recovered.

use std::time::Duration;

use rand::Rng;

use crate::time::Timestamp;

/// `CircuitOptions` configures a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CircuitOptions {
    /// Consecutive failures that open the circuit.
    pub max_consecutive_failures: u32,
    /// Part of the recent attempts whose failure opens the circuit, between 0 and 1.
    pub failure_ratio: f64,
    /// Minimum number of recent attempts from which `failure_ratio` applies.
    pub min_attempts: f64,
    /// Time constant of the exponential decay of the counts of recent attempts and failures.
    pub window: Duration,
    /// Time for which the circuit opens at first; it doubles with each failed trial.
    pub first_open_time: Duration,
    /// Longest time for which the circuit opens.
    pub max_open_time: Duration,
    /// Maximum number of concurrent trial requests.
    pub max_trials: u32,
    /// Successful trials that close the circuit.
    pub successes_to_close: u32,
    /// Time after which a trial without an outcome no longer prevents another one.
    pub trial_timeout: Duration,
}

impl Default for CircuitOptions {
    fn default() -> Self {
        Self {
            max_consecutive_failures: 5,
            failure_ratio: 0.5,
            min_attempts: 10.0,
            window: Duration::from_secs(10),
            first_open_time: Duration::from_secs(1),
            max_open_time: Duration::from_secs(30),
            max_trials: 1,
            successes_to_close: 2,
            trial_timeout: Duration::from_secs(10),
        }
    }
}

/// `CircuitState` is the state of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CircuitState {
    /// All requests pass.
    Closed,
    /// No request passes.
    Open {
        /// Time from which on a trial may be sent.
        until: Timestamp,
    },
    /// Only trial requests pass.
    HalfOpen {
        /// Trials in progress.
        running: u32,
        /// Trials that have succeeded.
        succeeded: u32,
        /// Time at which the last trial was sent.
        last_trial_at: Timestamp,
    },
}

/// `CircuitBreaker` tracks the attempts at one upstream.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    options: CircuitOptions,
    state: CircuitState,
    consecutive_failures: u32,
    /// Decayed number of recent failures.
    failures: f64,
    /// Decayed number of recent attempts.
    attempts: f64,
    counted_at: Timestamp,
    /// Times that the circuit has opened since it was last closed.
    openings: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::new(CircuitOptions::default())
    }
}

impl CircuitBreaker {
    /// Builds a closed circuit breaker.
    pub fn new(options: CircuitOptions) -> Self {
        Self {
            options,
            state: CircuitState::Closed,
            consecutive_failures: 0,
            failures: 0.0,
            attempts: 0.0,
            counted_at: Timestamp::default(),
            openings: 0,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Returns whether a request may be sent. This changes no state, so routing can check every
    /// candidate.
    pub fn allows(&self, now: Timestamp) -> bool {
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open { until } => now >= until,
            CircuitState::HalfOpen {
                running,
                last_trial_at,
                ..
            } => {
                let is_overdue = now.since(last_trial_at) >= self.options.trial_timeout;
                running < self.options.max_trials || is_overdue
            }
        }
    }

    /// Records that a request is sent. Unless the circuit is closed, the request is a trial.
    pub fn on_sent(&mut self, now: Timestamp) {
        let (running, succeeded) = match self.state {
            CircuitState::Closed => return,
            CircuitState::Open { .. } => (0, 0),
            CircuitState::HalfOpen {
                running, succeeded, ..
            } => (
                running.min(self.options.max_trials.saturating_sub(1)),
                succeeded,
            ),
        };
        self.state = CircuitState::HalfOpen {
            running: running + 1,
            succeeded,
            last_trial_at: now,
        };
    }

    /// Records a successful attempt.
    pub fn on_success(&mut self, now: Timestamp) {
        self.consecutive_failures = 0;
        self.count(0.0, now);
        let CircuitState::HalfOpen {
            running,
            succeeded,
            last_trial_at,
        } = self.state
        else {
            return;
        };
        if succeeded + 1 >= self.options.successes_to_close {
            self.close();
            return;
        }
        self.state = CircuitState::HalfOpen {
            running: running.saturating_sub(1),
            succeeded: succeeded + 1,
            last_trial_at,
        };
    }

    /// Records a failure of the upstream. An error of the caller does not count as one.
    pub fn on_failure(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.consecutive_failures += 1;
        self.count(1.0, now);
        let should_open = match self.state {
            CircuitState::Closed => self.is_failing(),
            CircuitState::Open { .. } => false,
            CircuitState::HalfOpen { .. } => true,
        };
        if should_open {
            self.open(now, rng);
        }
    }

    /// Records a failure that leaves no doubt that the upstream is down, and opens the circuit.
    pub fn trip(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.consecutive_failures += 1;
        self.count(1.0, now);
        if !matches!(self.state, CircuitState::Open { until } if now < until) {
            self.open(now, rng);
        }
    }

    fn is_failing(&self) -> bool {
        let is_frequent = self.attempts >= self.options.min_attempts
            && self.failures >= self.attempts * self.options.failure_ratio;
        is_frequent || self.consecutive_failures >= self.options.max_consecutive_failures
    }

    fn open(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let doublings = self.openings.min(MAX_DOUBLINGS);
        let period = self.options.first_open_time.saturating_mul(1 << doublings);
        let period = period.min(self.options.max_open_time);
        // Half of the period is random, so that the nodes do not send their trials together.
        let period = period.mul_f64(0.5 + 0.5 * rng.random::<f64>());
        self.openings += 1;
        self.state = CircuitState::Open {
            until: now.plus(period),
        };
    }

    fn close(&mut self) {
        self.state = CircuitState::Closed;
        self.openings = 0;
        self.failures = 0.0;
        self.attempts = 0.0;
    }

    fn count(&mut self, failures: f64, now: Timestamp) {
        let seconds = now.since(self.counted_at).as_secs_f64();
        let decay = (-seconds / self.options.window.as_secs_f64().max(MIN_WINDOW_SECONDS)).exp();
        self.failures = self.failures * decay + failures;
        self.attempts = self.attempts * decay + 1.0;
        self.counted_at = self.counted_at.max(now);
    }
}

/// Maximum number of doublings of the time for which a circuit opens.
const MAX_DOUBLINGS: u32 = 10;

/// Lower bound of the time constant of the counts, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.001;
