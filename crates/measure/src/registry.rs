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
    /// Returns whether a profile is to be measured.
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

/// `Measure` is one named measurement.
struct Measure {
    name: &'static str,
    run: fn(&MeasureOptions) -> anyhow::Result<()>,
}

const fn measure(name: &'static str, run: fn(&MeasureOptions) -> anyhow::Result<()>) -> Measure {
    Measure { name, run }
}

/// All measurements, in the order of their names.
const MEASURES: &[Measure] = &[
    measure("burn", crate::burn::run),
    measure("cost_at_latency", crate::cost_at_latency::run),
    measure("decision_time", crate::decision_time::run),
    measure("fairness", crate::fairness::run),
    measure("goodput", crate::goodput::run),
    measure("leaving", crate::leaving::run),
    measure("ledger", crate::ledger::run),
    measure("manifest_spread", crate::manifest_spread::run),
    measure("membership_cost", crate::membership_cost::run),
    measure("overhead", crate::overhead::run),
    measure("recomputed_tokens", crate::recomputed_tokens::run),
    measure("slopes", crate::slopes::run),
];

/// Runs the named measurement, or all of them.
///
/// # Errors
///
/// When there is no such measurement, or when it fails.
pub fn run(name: Option<&str>, options: &MeasureOptions) -> anyhow::Result<()> {
    let is_wanted = |measure: &&Measure| name.is_none_or(|name| name == measure.name);
    let mut wanted = MEASURES.iter().filter(is_wanted).peekable();
    if wanted.peek().is_none() {
        let names: Vec<_> = MEASURES.iter().map(|measure| measure.name).collect();
        bail!(
            "measure: no such measurement; there are: {}",
            names.join(", ")
        );
    }
    wanted.try_for_each(|measure| (measure.run)(options))
}
