//! The command line.

mod client;
mod errors;
mod exit;
mod explain;
mod manifest;
mod node;
mod operator;
mod output;
mod report;
mod settings;
mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use exit::ExitStatus;
use output::OutputFormat;

/// Text after the generated help of the program.
const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  findings, or refused: nothing has changed
  2  wrong usage
  3  no node could be reached, or none answered a read: nothing has changed
  4  the outcome is unknown: read the history before trying again
  5  accepted, but not in force on every node within the limit of --wait

Examples:
  verbenahead settings check settings.jsonc
  verbenahead node --settings settings.jsonc
  verbenahead manifest check manifest.jsonc
  verbenahead manifest publish manifest.jsonc --expect 7 --wait --operator 127.0.0.1:8081
  verbenahead status --operator 127.0.0.1:8081";

/// Serving system for language models and plain services on reclaimable VMs.
#[derive(Debug, Parser)]
#[command(version, after_help = AFTER_HELP)]
struct Cli {
    /// Format of the output.
    #[arg(
        long,
        global = true,
        value_enum,
        default_value_t,
        env = "VERBENAHEAD_OUTPUT"
    )]
    output: OutputFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a node until it is asked to stop by SIGTERM or SIGINT.
    Node(node::NodeArgs),
    /// Check settings.
    #[command(subcommand)]
    Settings(settings::SettingsCommand),
    /// Check, compare, show and publish manifests.
    #[command(subcommand)]
    Manifest(manifest::ManifestCommand),
    /// Show one node's view of the deployment.
    Status(status::StatusArgs),
    /// Generate reports.
    #[command(subcommand)]
    Report(report::ReportCommand),
    /// Explain the outcome of a request from the logs of nodes.
    Explain(explain::ExplainArgs),
}

/// Runs the program and returns its exit code.
pub(crate) fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        Command::Node(args) => node::run(&args),
        Command::Settings(command) => settings::run(&command, cli.output),
        Command::Manifest(command) => manifest::run(&command, cli.output),
        Command::Status(args) => status::run(&args, cli.output),
        Command::Report(command) => report::run(&command, cli.output),
        Command::Explain(args) => explain::run(&args, cli.output),
    };
    let status = result.unwrap_or_else(|e| {
        eprintln!("error: {e:#}");
        ExitStatus::from_error(&e)
    });
    status.into()
}
