//! The `manifest check` command.

use clap::Args;
use derive_more::Display;
use serde::Serialize;
use verbenahead::settings::SettingsSource;
use verbenahead_core::Digest;
use verbenahead_manifest::parse;

use crate::cli::{exit::ExitStatus, output::OutputFormat};

/// `CheckArgs` are the arguments of `manifest check`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead manifest check manifest.jsonc
  generate-manifest | verbenahead --output json manifest check -")]
pub(crate) struct CheckArgs {
    /// Manifest: a file, `-` for standard input, or `env:NAME` for an environment variable.
    #[arg(value_name = "FILE")]
    file: SettingsSource,
}

#[derive(Debug, Serialize, Display)]
#[display("{deployment}: {workspaces} workspaces, {services} services, {digest}: no findings")]
struct CheckResult<'a> {
    deployment: &'a str,
    workspaces: usize,
    services: usize,
    digest: Digest,
}

/// Checks a manifest without calling a node.
pub(super) fn run(args: &CheckArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let text = args.file.load()?;
    match parse(&args.file.to_string(), &text) {
        Ok(manifest) => {
            output.print(&CheckResult {
                deployment: &manifest.deployment,
                workspaces: manifest.workspaces.len(),
                services: manifest.services.len(),
                digest: Digest::of(&text),
            })?;
            Ok(ExitStatus::Success)
        }
        Err(findings) => output.print_findings(&findings),
    }
}
