//! The `settings` commands.

use clap::{Args, Subcommand};
use derive_more::Display;
use serde::Serialize;
use verbenahead::settings::{AnySettings, SettingsSource};

use super::{exit::ExitStatus, output::OutputFormat};

/// `SettingsCommand` is one of the `settings` commands.
#[derive(Debug, Subcommand)]
pub(crate) enum SettingsCommand {
    /// Report every finding in settings with its line, column and path.
    Check(CheckArgs),
}

/// `CheckArgs` are the arguments of `settings check`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead settings check settings.jsonc
  verbenahead settings check --secrets settings.jsonc
  generate-settings | verbenahead --output json settings check -")]
pub(crate) struct CheckArgs {
    /// Settings: a file, `-` for standard input, or `env:NAME` for an environment variable.
    #[arg(value_name = "FILE")]
    file: SettingsSource,
    /// Also check that each secret can be read on this machine.
    #[arg(long)]
    secrets: bool,
}

#[derive(Debug, Serialize, Display)]
#[display("settings of {node} in {availability_zone}: no findings")]
struct CheckResult<'a> {
    node: &'a str,
    availability_zone: &'a str,
}

/// Runs a `settings` command.
pub(crate) fn run(command: &SettingsCommand, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    match command {
        SettingsCommand::Check(args) => check(args, output),
    }
}

fn check(args: &CheckArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let text = args.file.load()?;
    let settings = match AnySettings::parse(&args.file.to_string(), &text) {
        Ok(settings) => settings,
        Err(findings) => return output.print_findings(&findings),
    };
    if args.secrets {
        let unreadable = settings.unreadable_secrets();
        unreadable.iter().for_each(|e| eprintln!("{e}"));
        if !unreadable.is_empty() {
            return Ok(ExitStatus::Refused);
        }
    }
    output.print(&CheckResult {
        node: settings.node().as_str(),
        availability_zone: settings.zone().as_str(),
    })?;
    Ok(ExitStatus::Success)
}
