//! Runs measurements with their baselines and prints the results as JSON lines.

use clap::Parser;

use verbenahead_measure::registry::{self, MeasureOptions};

/// Measures verbenahead against baselines.
#[derive(Debug, Parser)]
struct Cli {
    /// Name of the measurement; all of them when left out.
    name: Option<String>,
    #[command(flatten)]
    options: MeasureOptions,
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    registry::run(cli.name.as_deref(), &cli.options)
}
