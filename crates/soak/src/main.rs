//! Command line of the fault-injection run. Prints the report as one JSON line at the end.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::Result;
use clap::Parser;
use verbenahead_soak::{
    SoakOptions,
    relay::{self, RelaySoakOptions},
    run,
    run::SoakOutcome,
};

const SECONDS_PER_MINUTE: u64 = 60;

/// Hits a small deployment with random faults and checks that nothing is lost.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// Seed of faults and callers.
    #[arg(long)]
    seed: u64,
    /// Length of the run in minutes.
    #[arg(long, default_value_t = 2, conflicts_with = "seconds")]
    minutes: u64,
    /// Length of the run in seconds, for short runs.
    #[arg(long)]
    seconds: Option<u64>,
    /// Runs relaying nodes in place of nodes of their own.
    #[arg(long)]
    relay: bool,
    /// Number of relaying nodes.
    #[arg(long, default_value_t = RelaySoakOptions::default().nodes, requires = "relay")]
    nodes: usize,
    /// Number of replicas of relaying nodes. Four for three nodes by default.
    #[arg(long, requires = "relay")]
    replicas: Option<usize>,
    /// Program of the relaying nodes, in place of the one that was built.
    #[arg(long, requires = "relay")]
    program: Option<PathBuf>,
    /// Program of an older build, which all nodes run at first. They are replaced one by one, and back.
    #[arg(long, requires = "relay")]
    older: Option<PathBuf>,
    /// Lets replicas treat all calls that move runs in the regular way.
    #[arg(long, requires = "relay")]
    regular_moves: bool,
}

impl Cli {
    fn seconds(&self) -> u64 {
        self.seconds.unwrap_or(self.minutes * SECONDS_PER_MINUTE)
    }

    fn length(&self) -> String {
        match self.seconds {
            Some(seconds) => format!("--seconds {seconds}"),
            None => format!("--minutes {}", self.minutes),
        }
    }
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let cli = Cli::parse();
    if cli.relay {
        return run_relay(&cli).await;
    }
    let options = SoakOptions {
        seed: cli.seed,
        time: Duration::from_secs(cli.seconds()),
        is_verbose: true,
        ..SoakOptions::default()
    };
    let outcome = run(options).await?;
    let code = print_failure(&cli, &outcome);
    println!("{}", serde_json::to_string(&outcome.report)?);
    Ok(code)
}

async fn run_relay(cli: &Cli) -> Result<ExitCode> {
    let options = RelaySoakOptions {
        seed: cli.seed,
        time: Duration::from_secs(cli.seconds()),
        nodes: cli.nodes,
        replicas: cli.replicas.unwrap_or(cli.nodes * 4 / 3),
        program: cli.program.clone(),
        older: cli.older.clone(),
        has_regular_moves: cli.regular_moves,
        is_verbose: true,
        ..RelaySoakOptions::default()
    };
    let outcome = relay::run(options).await?;
    println!("{}", serde_json::to_string_pretty(&outcome.report)?);
    if outcome.violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "repeat with: scripts/soak --relay --seed {} {} --nodes {}",
        cli.seed,
        cli.length(),
        cli.nodes
    );
    Ok(ExitCode::FAILURE)
}

fn print_failure(cli: &Cli, outcome: &SoakOutcome) -> ExitCode {
    let Some(broken) = &outcome.broken else {
        return ExitCode::SUCCESS;
    };
    for (name, log) in &outcome.log_tails {
        println!("--- end of the log of {name}\n{log}");
    }
    println!("{broken}");
    println!(
        "repeat with: scripts/soak --seed {} {}",
        cli.seed,
        cli.length()
    );
    ExitCode::FAILURE
}
