//! The `manifest` commands.

mod check;
mod diff;
mod history;
mod publish;
mod show;
mod wait;

use clap::Subcommand;

use super::{exit::ExitStatus, output::OutputFormat};

/// `ManifestCommand` is one of the `manifest` commands.
#[derive(Debug, Subcommand)]
pub(crate) enum ManifestCommand {
    /// Report every finding in a manifest with its line, column and path.
    Check(check::CheckArgs),
    /// Show what a manifest would change.
    Diff(diff::DiffArgs),
    /// Show an accepted manifest as it was published.
    Show(show::ShowArgs),
    /// List the accepted manifests, newest first.
    History(history::HistoryArgs),
    /// Publish a manifest, which changes the running deployment.
    Publish(publish::PublishArgs),
}

/// Runs a `manifest` command.
pub(crate) fn run(command: &ManifestCommand, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    match command {
        ManifestCommand::Check(args) => check::run(args, output),
        ManifestCommand::Diff(args) => diff::run(args, output),
        ManifestCommand::Show(args) => show::run(args, output),
        ManifestCommand::History(args) => history::run(args, output),
        ManifestCommand::Publish(args) => publish::run(args, output),
    }
}
