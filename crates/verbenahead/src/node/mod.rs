//! The node: serving of requests, knowledge of upstreams, and the life cycle.

pub mod active_manifest;
pub mod answer;
pub mod drain;
pub mod generation;
pub mod http_server;
pub mod journal_writer;
pub mod journals;
pub mod platform_health;
pub mod selection;
pub mod serving;
pub mod upstream_directory;
pub mod upstream_entry;
pub mod upstream_watch;

use crate::settings::Settings;

/// Runs a node until it has been asked to stop and has drained.
///
/// # Errors
///
/// When the node cannot start.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    anyhow::bail!("node: `{}` cannot serve yet", settings.node)
}
