//! The `report` commands.

use std::{fs, path::PathBuf};

use anyhow::Context;
use clap::{Args, Subcommand};
use verbenahead::burn::{BurnReport, render_page};

use super::{
    exit::ExitStatus,
    operator::{OperatorArgs, block_on},
    output::OutputFormat,
};

/// `ReportCommand` is one of the `report` commands.
#[derive(Debug, Subcommand)]
pub(crate) enum ReportCommand {
    /// Report the error budget burn of the service-level objectives over several windows and all
    /// nodes.
    Burn(BurnArgs),
}

/// `BurnArgs` are the arguments of `report burn`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead report burn --operator 127.0.0.1:8081 --credential-file room.key
  verbenahead --output json report burn --operator 127.0.0.1:8081
  verbenahead report burn --operator 127.0.0.1:8081 --html burn.html")]
pub(crate) struct BurnArgs {
    /// Write the report as an HTML page with plots to this file instead of printing it.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Runs a `report` command.
pub(crate) fn run(command: &ReportCommand, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    match command {
        ReportCommand::Burn(args) => run_burn(args, output),
    }
}

fn run_burn(args: &BurnArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let client = args.operator.client()?;
    let report: BurnReport = block_on(async {
        let answer = client.get("/v1/burn").await?;
        Ok(answer.json()?)
    })?;
    match &args.html {
        Some(path) => fs::write(path, render_page(&report))
            .with_context(|| format!("cannot write {}", path.display()))?,
        None => output.print(&report)?,
    }
    Ok(ExitStatus::Success)
}
