//! The registry of measurements.

use std::ops::Range;

use anyhow::bail;
use clap::Args;

/// `MeasureOptions` are the options that all measurements share.
#[derive(Debug, Clone, Args)]
pub struct MeasureOptions {
    /// Profiles to measure; all of them when left out.
    #[arg(long)]
    pub profile: Option<String>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, counted up from the first.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
}

impl MeasureOptions {
    /// Returns whether the options select a profile.
    pub fn wants(&self, profile: &str) -> bool {
        self.profile
            .as_deref()
            .is_none_or(|wanted| wanted == profile)
    }

    /// Returns the seeds to measure with.
    pub fn seed_range(&self) -> Range<u64> {
        self.seed..self.seed + self.seeds
    }
}

/// `Measurement` is one named measurement.
struct Measurement {
    name: &'static str,
    run: fn(&MeasureOptions) -> anyhow::Result<()>,
}

const fn measurement(
    name: &'static str,
    run: fn(&MeasureOptions) -> anyhow::Result<()>,
) -> Measurement {
    Measurement { name, run }
}

/// All measurements, in the order of their names.
const MEASUREMENTS: &[Measurement] = &[
    measurement("burn", crate::burn::run),
    measurement("cost_at_latency", crate::cost_at_latency::run),
    measurement("decision_time", crate::decision_time::run),
    measurement("fairness", crate::fairness::run),
    measurement("goodput", crate::goodput::run),
    measurement("leaving", crate::leaving::run),
    measurement("ledger", crate::ledger::run),
    measurement("manifest_spread", crate::manifest_spread::run),
    measurement("membership_cost", crate::membership_cost::run),
    measurement("overhead", crate::overhead::run),
    measurement("recomputed_tokens", crate::recomputed_tokens::run),
    measurement("slopes", crate::slopes::run),
];

/// Runs the named measurement, or all of them.
///
/// # Errors
///
/// When no measurement has this name, or when a measurement fails.
pub fn run(name: Option<&str>, options: &MeasureOptions) -> anyhow::Result<()> {
    let is_selected = |measurement: &&Measurement| name.is_none_or(|name| name == measurement.name);
    let mut selected = MEASUREMENTS.iter().filter(is_selected).peekable();
    if selected.peek().is_none() {
        let names: Vec<_> = MEASUREMENTS
            .iter()
            .map(|measurement| measurement.name)
            .collect();
        bail!(
            "measure: no such measurement; there are: {}",
            names.join(", ")
        );
    }
    selected.try_for_each(|measurement| (measurement.run)(options))
}
