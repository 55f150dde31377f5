//! One node of the system.

use crate::settings::Settings;

/// Runs a node until it has been asked to stop and has drained.
///
/// # Errors
///
/// When the node cannot start.
#[expect(
    clippy::unused_async,
    reason = "the wiring that awaits is not here yet"
)]
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    anyhow::bail!("node: `{}` cannot serve yet", settings.node)
}
