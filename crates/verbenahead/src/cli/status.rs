//! The `status` command.

use clap::Args;
use verbenahead::operators::StatusReport;

use super::{
    exit::ExitStatus,
    operator::{OperatorArgs, block_on},
    output::OutputFormat,
};

/// `StatusArgs` are the arguments of `status`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead status --operator 127.0.0.1:8081 --credential-file room.key
  verbenahead --output json status --operator 10.20.1.11:9081,10.20.2.11:9081")]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Shows one node's view of the deployment.
pub(crate) fn run(args: &StatusArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let client = args.operator.client()?;
    let status: StatusReport = block_on(async {
        let answer = client.get("/v1/status").await?;
        Ok(answer.json()?)
    })?;
    output.print(&status)?;
    Ok(ExitStatus::Success)
}
