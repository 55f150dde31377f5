//! The `manifest publish` command.

use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::{Instant, sleep};
use verbenahead::{operators::ManifestHead, settings::SettingsSource};
use verbenahead_core::{Digest, Generation, findings::Findings};
use verbenahead_manifest::{Change, parse};

use crate::cli::{
    client::OperatorClient,
    errors::Error,
    exit::ExitStatus,
    operator::{OperatorArgs, block_on},
    output::{OutputFormat, write_json},
};

use super::{
    diff::ManifestDiff,
    history,
    wait::{InForceReport, wait_until_in_force},
};

/// Longest time spent on reading back an unknown outcome.
const READ_BACK_LIMIT: Duration = Duration::from_secs(10);

const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of accepted manifests that are searched for the published one.
const READ_BACK_MANIFESTS: usize = 100;

/// `PublishArgs` are the arguments of `manifest publish`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead manifest publish manifest.jsonc --expect 0 --operator 127.0.0.1:8081
  verbenahead manifest publish manifest.jsonc --expect 7 --wait --operator 127.0.0.1:8081
  verbenahead manifest show --generation 6 --operator 127.0.0.1:8081 |
    verbenahead manifest publish - --expect 7 --operator 127.0.0.1:8081")]
pub(crate) struct PublishArgs {
    /// Manifest: a file, `-` for standard input, or `env:NAME` for an environment variable.
    #[arg(value_name = "FILE")]
    file: SettingsSource,
    /// Generation that the manifest replaces; 0 for the first one.
    #[arg(long, value_name = "GENERATION")]
    expect: Generation,
    /// Wait until every known node has the manifest in force, or name the nodes that do not.
    #[arg(long)]
    wait: bool,
    /// Longest time to wait, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30, requires = "wait")]
    wait_limit: u64,
    #[command(flatten)]
    operator: OperatorArgs,
}

/// `PublishResult` is the result of a publication, after any reading back and waiting.
#[derive(Debug, Serialize, Display)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum PublishResult {
    #[display("accepted: {head}{}", in_force.as_ref().map(|s| format!("; {s}")).unwrap_or_default())]
    Accepted {
        head: ManifestHead,
        #[serde(skip_serializing_if = "Option::is_none")]
        in_force: Option<InForceReport>,
    },
    /// Another manifest was accepted as that generation.
    #[display("refused: another manifest is accepted as {head}")]
    Overtaken { head: ManifestHead },
    #[display("unknown: {reason}; generation {generation} may still be accepted")]
    Unknown {
        generation: Generation,
        reason: String,
    },
}

impl PublishResult {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Accepted { in_force, .. } => match in_force {
                Some(in_force) if !in_force.is_complete => ExitStatus::NotInForce,
                _ => ExitStatus::Success,
            },
            Self::Overtaken { .. } => ExitStatus::Refused,
            Self::Unknown { .. } => ExitStatus::OutcomeUnknown,
        }
    }
}

/// Publishes a manifest.
pub(super) fn run(args: &PublishArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let text = args.file.load()?;
    if let Err(findings) = parse(&args.file.to_string(), &text) {
        return output.print_findings(&findings);
    }
    let client = args.operator.client()?;
    let result = block_on(async { Ok(publish(&client, args, text).await) })?;
    match result {
        Ok(result) => {
            output.print(&result)?;
            Ok(result.exit_status())
        }
        Err(Error::Problem(problem)) => print_refusal(&problem, output),
        Err(e) => Err(e.into()),
    }
}

async fn publish(
    client: &OperatorClient,
    args: &PublishArgs,
    text: String,
) -> Result<PublishResult, Error> {
    let digest = Digest::of(&text);
    let response = client.publish(args.expect, Bytes::from(text)).await;
    let response = response.and_then(|response| response.json());
    let result = match response {
        Ok(head) => accepted(head),
        Err(e) if e.is_unknown_outcome() => {
            eprintln!("the outcome is unknown, reading it back: {e}");
            read_back(client, args.expect.next(), digest, &e).await
        }
        Err(e) => return Err(e),
    };
    match result {
        PublishResult::Accepted { head, .. } if args.wait => {
            let limit = Duration::from_secs(args.wait_limit);
            let in_force = wait_until_in_force(client, head.generation, limit).await;
            Ok(PublishResult::Accepted {
                head,
                in_force: Some(in_force),
            })
        }
        result => Ok(result),
    }
}

fn accepted(head: ManifestHead) -> PublishResult {
    PublishResult::Accepted {
        head,
        in_force: None,
    }
}

/// Reads the history until it shows whether the publication was accepted as the generation, or the
/// time limit passes. `e` is the error that left the outcome unknown.
async fn read_back(
    client: &OperatorClient,
    generation: Generation,
    digest: Digest,
    e: &Error,
) -> PublishResult {
    let deadline = Instant::now() + READ_BACK_LIMIT;
    loop {
        if let Ok(history) = history::read(client, READ_BACK_MANIFESTS).await {
            let mut manifests = history.manifests.into_iter();
            let found = manifests.find(|head| head.generation == generation);
            match found {
                Some(head) if head.digest == digest => return accepted(head),
                Some(head) => return PublishResult::Overtaken { head },
                None => {}
            }
        }
        if Instant::now() + READ_BACK_INTERVAL > deadline {
            return PublishResult::Unknown {
                generation,
                reason: e.to_string(),
            };
        }
        sleep(READ_BACK_INTERVAL).await;
    }
}

/// Prints why a publication was refused.
fn print_refusal(problem: &Value, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    if output == OutputFormat::Json {
        write_json(problem)?;
        return Ok(ExitStatus::Refused);
    }
    eprintln!("refused: {}", Error::Problem(problem.clone()));
    if let Ok(findings) = Findings::deserialize(&problem["findings"]) {
        eprintln!("{findings}");
    }
    if let Ok(changes) = Vec::<Change>::deserialize(&problem["difference"]) {
        eprintln!(
            "changes of this manifest against the head:\n{}",
            ManifestDiff { changes }
        );
    }
    Ok(ExitStatus::Refused)
}
