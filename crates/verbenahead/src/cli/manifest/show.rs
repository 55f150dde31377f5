//! The `manifest show` command.

use clap::Args;
use verbenahead_core::Generation;
use verbenahead_manifest::{ManifestWire, parse};

use crate::cli::{
    client::{OperatorClient, OperatorResponse},
    errors::Result,
    exit::ExitStatus,
    operator::{OperatorArgs, block_on},
    output::{OutputFormat, write_json, write_out},
};

/// `ShowArgs` are the arguments of `manifest show`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead manifest show --operator 127.0.0.1:8081
  verbenahead manifest show --generation 3 --operator 127.0.0.1:8081 > earlier.jsonc")]
pub(crate) struct ShowArgs {
    /// Generation to show; the head when left out.
    #[arg(long, value_name = "GENERATION")]
    generation: Option<Generation>,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Shows an accepted manifest.
pub(super) fn run(args: &ShowArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let client = args.operator.client()?;
    let answer = block_on(async { Ok(read(&client, args.generation).await?) })?;
    let text = answer.text()?;
    if let Some(generation) = answer.generation() {
        eprintln!("generation {generation}");
    }
    match output {
        OutputFormat::Text => write_out(text)?,
        OutputFormat::Json => {
            let manifest = parse("manifest", text)?;
            let wire = ManifestWire::from(&manifest);
            write_json(&wire)?;
        }
    }
    Ok(ExitStatus::Success)
}

/// Reads an accepted manifest, or the head.
pub(super) async fn read(
    client: &OperatorClient,
    generation: Option<Generation>,
) -> Result<OperatorResponse> {
    match generation {
        Some(generation) => client.get(&format!("/v1/manifest/{generation}")).await,
        None => client.get("/v1/manifest").await,
    }
}
