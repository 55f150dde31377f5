//! The `node` command.

use std::time::Duration;

use anyhow::Context;
use clap::Args;
use verbenahead::{
    node, relay_node,
    settings::{AnySettings, RelaySettings, Settings, SettingsSource},
    telemetry::logs,
};

use super::exit::ExitStatus;

/// `NodeArgs` are the arguments of `node`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead node --settings settings.jsonc
  generate-settings | verbenahead node --settings -
  verbenahead node --settings env:NODE_SETTINGS")]
pub(crate) struct NodeArgs {
    /// Settings: a file, `-` for standard input, or `env:NAME` for an environment variable.
    #[arg(long, value_name = "FILE", env = "VERBENAHEAD_SETTINGS")]
    settings: SettingsSource,
    /// Log filter; overrides the one in the settings.
    #[arg(long, value_name = "FILTER", env = "VERBENAHEAD_LOG")]
    log: Option<String>,
}

/// Runs a node.
pub(crate) fn run(args: &NodeArgs) -> anyhow::Result<ExitStatus> {
    let text = args.settings.load()?;
    let settings = match AnySettings::parse(&args.settings.to_string(), &text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return Ok(ExitStatus::Refused);
        }
    };
    match settings {
        AnySettings::Api(settings) => run_api(args, *settings)?,
        AnySettings::Relay(settings) => run_relay(args, *settings)?,
    }
    Ok(ExitStatus::Success)
}

fn run_api(args: &NodeArgs, settings: Settings) -> anyhow::Result<()> {
    let filter = args.log.as_deref().unwrap_or(&settings.log);
    logs::init(filter).context("cannot initialize logging")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(node::run(settings))
}

/// Runs a relay node on a single thread, which performs best on the fraction of one CPU that such a
/// node has.
fn run_relay(args: &NodeArgs, settings: RelaySettings) -> anyhow::Result<()> {
    let filter = args.log.as_deref().unwrap_or(&settings.log);
    let log = logs::init_bounded(filter).context("cannot initialize logging")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    let result = runtime.block_on(relay_node::run(
        settings,
        args.settings.clone(),
        log.clone(),
    ));
    log.flush(FLUSH_TIMEOUT);
    result
}

/// Timeout for writing the last log lines before the process ends. It counts towards the grace
/// period.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
