//! A time of day that nodes agree on even when system clocks jump.
//!
//! A settled node advances by its steady clock and slews towards the median of the system clocks at
//! a rate that only covers the drift of oscillators, so a jump of any number of clocks does not
//! move it. A node that has just started takes the median time of the settled nodes, or the median
//! of the system clocks when no node has settled.
//!
//! All times are offsets to the steady clock of the computing node, in milliseconds. The steady
//! clock is monotonic and counts suspensions of the machine.

use std::time::Duration;

/// `AgreedTimeOptions` sets when a node settles and how fast it follows other clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AgreedTimeOptions {
    /// Time from its start after which a node has heard from the others and is settled.
    pub settle_after: Duration,
    /// Difference to the others above which a settled node takes their time, in milliseconds. Must
    /// exceed the transmission delay of reports.
    pub tolerance_ms: i64,
    /// Maximum slew of a settled node towards the system clocks, as a fraction of the elapsed time.
    /// Oscillators drift by a fifth of it.
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

/// `ClockReading` holds the clocks of a node as its report states them, as offsets in
/// milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// System clock.
    pub system: i64,
    /// Agreed time, if the node has settled.
    pub agreed: Option<i64>,
}

/// `AgreedTime` computes the agreed time of one node.
#[derive(Debug, Clone)]
pub struct AgreedTime {
    options: AgreedTimeOptions,
    /// Offset in milliseconds, or `None` before the first update.
    offset: Option<f64>,
    /// Time of the last update, since the start of the node.
    updated_at: Duration,
}

impl AgreedTime {
    /// Builds the agreed time of a node that has just started.
    pub fn new(options: AgreedTimeOptions) -> Self {
        Self {
            options,
            offset: None,
            updated_at: Duration::ZERO,
        }
    }

    /// Returns the current offset in milliseconds, or 0 before the first update.
    pub fn offset(&self) -> i64 {
        self.offset.unwrap_or_default().round() as i64
    }

    /// Returns whether a node that started `elapsed` ago has settled.
    pub fn is_settled(&self, elapsed: Duration) -> bool {
        self.offset.is_some() && elapsed >= self.options.settle_after
    }

    /// Updates the offset from the clocks as they are `elapsed` after the start of the node.
    /// `own_system` is the offset of this node's system clock in milliseconds.
    pub fn update(&mut self, elapsed: Duration, own_system: i64, others: &[ClockReading]) {
        let since_update = elapsed.saturating_sub(self.updated_at);
        self.updated_at = elapsed;
        let system = others.iter().map(|reading| reading.system);
        let system_median = median(system.chain([own_system]).collect()).unwrap_or(own_system);
        let settled = others.iter().filter_map(|reading| reading.agreed);
        if !self.is_settled(elapsed) {
            self.offset = Some(median(settled.collect()).unwrap_or(system_median) as f64);
            return;
        }
        let agreed = median(settled.chain([self.offset()]).collect()).unwrap_or(self.offset());
        if (agreed - self.offset()).abs() > self.options.tolerance_ms {
            self.offset = Some(agreed as f64);
            return;
        }
        let limit = since_update.as_secs_f64() * 1_000.0 * self.options.max_slew;
        self.offset = self
            .offset
            .map(|offset| offset + (system_median as f64 - offset).clamp(-limit, limit));
    }
}

fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
