//! The `manifest history` command.

use clap::Args;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use verbenahead::operators::ManifestHead;

use crate::cli::{
    client::OperatorClient,
    errors::Result,
    exit::ExitStatus,
    operator::{OperatorArgs, block_on},
    output::OutputFormat,
};

/// Number of manifests listed by default.
const DEFAULT_LIMIT: usize = 20;

/// `HistoryArgs` are the arguments of `manifest history`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead manifest history --operator 127.0.0.1:8081
  verbenahead --output json manifest history --limit 5 --operator 127.0.0.1:8081")]
pub(crate) struct HistoryArgs {
    /// Largest number of manifests to list.
    #[arg(long, default_value_t = DEFAULT_LIMIT)]
    limit: usize,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// `History` lists accepted manifests, the newest first.
#[derive(Debug, Serialize, Deserialize, Display)]
#[display("{}", format_manifests(manifests))]
pub(super) struct History {
    /// The accepted manifests.
    pub(super) manifests: Vec<ManifestHead>,
}

fn format_manifests(manifests: &[ManifestHead]) -> String {
    if manifests.is_empty() {
        return "no manifest is published".to_owned();
    }
    let lines: Vec<_> = manifests.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Lists the accepted manifests.
pub(super) fn run(args: &HistoryArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let client = args.operator.client()?;
    let history = block_on(async { Ok(read(&client, args.limit).await?) })?;
    output.print(&history)?;
    Ok(ExitStatus::Success)
}

/// Reads the newest accepted manifests.
pub(super) async fn read(client: &OperatorClient, limit: usize) -> Result<History> {
    let path = format!("/v1/manifest/history?limit={limit}");
    client.get(&path).await?.json()
}
