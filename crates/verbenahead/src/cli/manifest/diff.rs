//! The `manifest diff` command.

use clap::Args;
use derive_more::Display;
use serde::Serialize;
use verbenahead::settings::SettingsSource;
use verbenahead_core::Generation;
use verbenahead_manifest::{Change, diff, parse};

use crate::cli::{
    exit::ExitStatus,
    operator::{OperatorArgs, block_on},
    output::OutputFormat,
};

use super::show;

/// `DiffArgs` are the arguments of `manifest diff`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead manifest diff new.jsonc --against old.jsonc
  verbenahead manifest diff new.jsonc --operator 127.0.0.1:8081
  verbenahead manifest diff new.jsonc --generation 3 --operator 127.0.0.1:8081")]
pub(crate) struct DiffArgs {
    /// New manifest: a file, `-` for standard input, or `env:NAME` for an environment variable.
    #[arg(value_name = "FILE")]
    file: SettingsSource,
    /// Old manifest to compare with, instead of an accepted one.
    #[arg(long, value_name = "FILE")]
    against: Option<SettingsSource>,
    /// Accepted generation to compare with; the head when left out.
    #[arg(long, value_name = "GENERATION", conflicts_with = "against")]
    generation: Option<Generation>,
    #[command(flatten)]
    operator: Option<OperatorArgs>,
}

/// `ManifestDiff` lists what a manifest would change.
#[derive(Debug, Serialize, Display)]
#[display("{}", format_changes(changes))]
pub(super) struct ManifestDiff {
    /// The changes.
    pub(super) changes: Vec<Change>,
}

fn format_changes(changes: &[Change]) -> String {
    if changes.is_empty() {
        return "no difference".to_owned();
    }
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Shows what a manifest would change.
pub(super) fn run(args: &DiffArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let (old_name, old_text) = read_old_manifest(args)?;
    let old = match parse(&old_name, &old_text) {
        Ok(old) => old,
        Err(findings) => return output.print_findings(&findings),
    };
    let new = match parse(&args.file.to_string(), &args.file.load()?) {
        Ok(new) => new,
        Err(findings) => return output.print_findings(&findings),
    };
    output.print(&ManifestDiff {
        changes: diff(&old, &new),
    })?;
    Ok(ExitStatus::Success)
}

/// Returns the name and the text of the manifest to compare with.
fn read_old_manifest(args: &DiffArgs) -> anyhow::Result<(String, String)> {
    match (&args.against, &args.operator) {
        (Some(file), _) => Ok((file.to_string(), file.load()?)),
        (None, Some(operator)) => {
            let client = operator.client()?;
            let answer = block_on(async { Ok(show::read(&client, args.generation).await?) })?;
            let text = answer.text()?.to_owned();
            Ok(("accepted manifest".to_owned(), text))
        }
        (None, None) => anyhow::bail!("one of --against and --operator is needed"),
    }
}
