//! A circuit breaker for one upstream.
//!
//! An upstream whose attempts fail gets no new work for a while. Then a few trial requests find
//! out whether it works again.

use std::time::Duration;

use rand::Rng;

use crate::time::Timestamp;

/// `CircuitOptions` tune a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CircuitOptions {
    /// Failures in a row that open the circuit.
    pub failures_in_row: u32,
    /// Part of the recent attempts whose failure opens the circuit, between 0 and 1.
    pub failure_ratio: f64,
    /// Fewest recent attempts from which a part is computed.
    pub min_attempts: f64,
    /// Time over which attempts are forgotten.
    pub window: Duration,
    /// Time for which the circuit opens at first; it doubles with each failed trial.
    pub first_open: Duration,
    /// Longest time for which the circuit opens.
    pub max_open: Duration,
    /// Trial requests that may run at the same time.
    pub trials: u32,
    /// Trials that must succeed before the circuit closes.
    pub successes_to_close: u32,
    /// Time after which a trial without an outcome counts as failed.
    pub trial_timeout: Duration,
}

impl Default for CircuitOptions {
    fn default() -> Self {
        Self {
            failures_in_row: 5,
            failure_ratio: 0.5,
            min_attempts: 10.0,
            window: Duration::from_secs(10),
            first_open: Duration::from_secs(1),
            max_open: Duration::from_secs(30),
            trials: 1,
            successes_to_close: 2,
            trial_timeout: Duration::from_secs(10),
        }
    }
}

/// `CircuitState` is the state of a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CircuitState {
    /// Requests pass.
    Closed,
    /// No request passes before this time.
    Open {
        /// Time of the first trial.
        until: Timestamp,
    },
    /// A few trial requests pass.
    HalfOpen {
        /// Trials that run.
        running: u32,
        /// Trials that have succeeded.
        succeeded: u32,
        /// When the last trial began.
        tried_at: Timestamp,
    },
}

/// `CircuitBreaker` follows the attempts at one upstream.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    options: CircuitOptions,
    state: CircuitState,
    in_row: u32,
    failures: f64,
    attempts: f64,
    counted_at: Timestamp,
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
            in_row: 0,
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

    /// Returns whether a request may be sent. Nothing changes, so it can be asked for every
    /// candidate of a decision.
    pub fn allows(&self, now: Timestamp) -> bool {
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open { until } => now >= until,
            CircuitState::HalfOpen {
                running, tried_at, ..
            } => {
                let is_overdue = now.since(tried_at) >= self.options.trial_timeout;
                running < self.options.trials || is_overdue
            }
        }
    }

    /// Records that a request is sent. After the circuit was open, it is a trial.
    pub fn on_sent(&mut self, now: Timestamp) {
        let (running, succeeded) = match self.state {
            CircuitState::Closed => return,
            CircuitState::Open { .. } => (0, 0),
            CircuitState::HalfOpen {
                running, succeeded, ..
            } => (
                running.min(self.options.trials.saturating_sub(1)),
                succeeded,
            ),
        };
        self.state = CircuitState::HalfOpen {
            running: running + 1,
            succeeded,
            tried_at: now,
        };
    }

    /// Records a success.
    pub fn on_success(&mut self, now: Timestamp) {
        self.in_row = 0;
        self.count(0.0, now);
        let CircuitState::HalfOpen {
            running,
            succeeded,
            tried_at,
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
            tried_at,
        };
    }

    /// Records a failure of the upstream. A caller's mistake is none.
    pub fn on_failure(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.in_row += 1;
        self.count(1.0, now);
        let is_broken = match self.state {
            CircuitState::Closed => self.is_failing(),
            CircuitState::Open { .. } => false,
            CircuitState::HalfOpen { .. } => true,
        };
        if is_broken {
            self.open(now, rng);
        }
    }

    fn is_failing(&self) -> bool {
        let is_frequent = self.attempts >= self.options.min_attempts
            && self.failures >= self.attempts * self.options.failure_ratio;
        is_frequent || self.in_row >= self.options.failures_in_row
    }

    fn open(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let doublings = self.openings.min(MAX_DOUBLINGS);
        let period = self.options.first_open.saturating_mul(1 << doublings);
        let period = period.min(self.options.max_open);
        // Half of the period is drawn, so that the nodes do not send their trials together.
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
        let kept = (-seconds / self.options.window.as_secs_f64().max(MIN_WINDOW_SECONDS)).exp();
        self.failures = self.failures * kept + failures;
        self.attempts = self.attempts * kept + 1.0;
        self.counted_at = self.counted_at.max(now);
    }
}

/// Most doublings of the time for which a circuit opens.
const MAX_DOUBLINGS: u32 = 10;

/// Shortest time over which attempts are forgotten, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.001;
