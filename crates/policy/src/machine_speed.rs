//! Current speed of a machine, as its replica states it.
//!
//! A replica states how long work takes at this moment as a percentage of the usual time. The figure
//! changes many times a second, so it says much about work that begins at once and little about work
//! that begins or ends later.

use std::time::Duration;

/// Time in which what a figure says of the present falls to a third. Figures change several times a
/// second, so after this time about as much speaks for the usual speed as for the stated one.
const MEMORY: Duration = Duration::from_millis(300);

/// Range of percentages that count as stated. A machine that is a hundred times faster or slower than
/// usual is taken for one that states nonsense.
const STATED_RANGE: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;

/// Bounds on the factor that is believed. The lower one is closer to 1, because a figure that is too low
/// attracts the work of all nodes and one that is too high only keeps it away.
const FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.5..=8.0;

/// `TimePercent` is the time that work takes on a machine, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimePercent(u32);

impl TimePercent {
    /// Returns the figure that a replica states, or `None` if it is not one to be used: not a number,
    /// zero, negative or out of all proportion.
    pub fn from_stated(percent: f64) -> Option<Self> {
        let is_stated = STATED_RANGE.contains(&percent);
        is_stated.then_some(Self(percent.round() as u32))
    }

    /// Returns the percentage.
    pub fn get(self) -> u32 {
        self.0
    }

    fn factor(self) -> f64 {
        let factor = f64::from(self.0) / 100.0;
        factor.clamp(*FACTOR_RANGE.start(), *FACTOR_RANGE.end())
    }
}

/// `MachineSpeed` is the expected speed of a machine from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MachineSpeed {
    /// Factor on times at this moment, less one.
    excess: f64,
}

impl MachineSpeed {
    /// Returns the speed of a machine whose replica stated `percent` at an earlier time.
    pub fn new(percent: TimePercent, age: Duration) -> Self {
        let remembered = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        Self {
            excess: (percent.factor() - 1.0) * remembered,
        }
    }

    /// Returns the expected factor on times at this moment.
    pub fn factor(self) -> f64 {
        1.0 + self.excess
    }

    /// Returns the expected time of work that begins now and usually takes `seconds`. The speed returns
    /// to the usual one meanwhile.
    pub fn time_of(self, seconds: f64) -> f64 {
        let memory = MEMORY.as_secs_f64();
        seconds - self.excess * memory * (-seconds / memory).exp_m1()
    }
}

/// `SpeedTrust` tells whether the figures of a replica predict its times better than no figures do.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedTrust {
    /// Moving averages of the error in the logarithm of the time, with the figures and without them.
    error_with: f64,
    error_without: f64,
    samples: u32,
}

/// Weight of a sample in the errors of a [`SpeedTrust`].
const TRUST_WEIGHT: f64 = 0.1;

/// Number of samples before the figures of a replica may be found wrong.
const MIN_TRUST_SAMPLES: u32 = 10;

/// Error beyond that without figures from which figures are not used. Times vary for other reasons too.
const TRUST_MARGIN: f64 = 0.05;

impl SpeedTrust {
    /// Records that work took `ratio` of its usual time on a machine whose figure predicted `factor`.
    pub fn record(&mut self, factor: f64, ratio: f64) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let follow = |error: &mut f64, sample: f64| *error += TRUST_WEIGHT * (sample - *error);
        follow(&mut self.error_with, (ratio / factor).ln().abs());
        follow(&mut self.error_without, ratio.ln().abs());
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns whether the figures may be used.
    pub fn is_trusted(&self) -> bool {
        self.samples < MIN_TRUST_SAMPLES || self.error_with <= self.error_without + TRUST_MARGIN
    }
}
