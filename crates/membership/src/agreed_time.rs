//! The time of day that nodes agree on although clocks of machines jump.
//!
//! A node that has settled goes by its steady clock and follows the median of the machines' clocks
//! only as slowly as oscillators drift, so a jump of any number of clocks does not move it. A node
//! that has just started takes the time of those that have settled.
//!
//! All times are offsets to the steady clock of the node that calculates, in milliseconds.

use std::time::Duration;

/// `AgreedTimeOptions` say how far a clock is trusted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgreedTimeOptions {
    /// Time from the start after which a node has heard the others and goes by its own clock.
    pub settle_after: Duration,
    /// Difference to the others from which on a settled node takes their time, in milliseconds.
    /// Reports are under way for less.
    pub tolerance_ms: i64,
    /// Most by which a settled node follows the machines' clocks, as a part of the time that
    /// passes. Oscillators drift by a fifth of it.
    pub max_slew: f64,
}

impl Default for AgreedTimeOptions {
    fn default() -> Self {
        Self {
            settle_after: Duration::from_secs(3),
            tolerance_ms: 200,
            max_slew: 500e-6,
        }
    }
}

/// `ClockReading` is what a report says of the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Clock of the machine.
    pub machine: i64,
    /// Time that the node goes by, if it has settled.
    pub agreed: Option<i64>,
}

/// `AgreedTime` is the time that a node goes by.
#[derive(Debug, Clone)]
pub struct AgreedTime {
    options: AgreedTimeOptions,
    /// Nothing before the first step.
    offset: Option<f64>,
    stepped_at: Duration,
}

impl AgreedTime {
    /// Builds the time of a node that has just started.
    pub fn new(options: AgreedTimeOptions) -> Self {
        Self {
            options,
            offset: None,
            stepped_at: Duration::ZERO,
        }
    }

    /// Returns the present offset.
    pub fn offset(&self) -> i64 {
        self.offset.unwrap_or_default().round() as i64
    }

    /// Returns whether a node that started `elapsed` ago has settled.
    pub fn is_settled(&self, elapsed: Duration) -> bool {
        self.offset.is_some() && elapsed >= self.options.settle_after
    }

    /// Takes in the clocks as they are `elapsed` after the start of the node.
    pub fn step(&mut self, elapsed: Duration, own_machine: i64, others: &[ClockReading]) {
        let passed = elapsed.saturating_sub(self.stepped_at);
        self.stepped_at = elapsed;
        let machines = others.iter().map(|reading| reading.machine);
        let machines = median(machines.chain([own_machine]).collect()).unwrap_or(own_machine);
        let settled = others.iter().filter_map(|reading| reading.agreed);
        if !self.is_settled(elapsed) {
            self.offset = Some(median(settled.collect()).unwrap_or(machines) as f64);
            return;
        }
        let agreed = median(settled.chain([self.offset()]).collect()).unwrap_or(self.offset());
        if (agreed - self.offset()).abs() > self.options.tolerance_ms {
            self.offset = Some(agreed as f64);
            return;
        }
        let limit = passed.as_secs_f64() * 1_000.0 * self.options.max_slew;
        self.offset = self
            .offset
            .map(|offset| offset + (machines as f64 - offset).clamp(-limit, limit));
    }
}

fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
