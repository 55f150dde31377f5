//! Keeps the quarantined parts of prompts in the platform's table, so that they outlive all nodes.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};
use verbenahead_relay::PromptQuarantine;
use verbenahead_services::WriteOutcome;

use crate::relay_node::node_directory::NodeDirectory;

/// Pause before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes the quarantined parts whenever this node has assessed one, and again when the store came back
/// from an older copy. Ends when the process does.
pub async fn run(
    quarantine: Arc<PromptQuarantine>,
    directory: Arc<NodeDirectory>,
    mut restores: watch::Receiver<u64>,
) {
    let mut assessed = quarantine.assessed();
    loop {
        let changed = tokio::select! {
            changed = assessed.changed() => changed,
            changed = restores.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        if *assessed.borrow_and_update() == 0 {
            // Another node has assessed the parts, and writes them.
            continue;
        }
        save(&quarantine, &directory).await;
    }
}

/// Writes the quarantined parts, and repeats it until the store has them.
async fn save(quarantine: &PromptQuarantine, directory: &NodeDirectory) {
    loop {
        let parts = quarantine.reported();
        match directory.save_quarantined(&parts).await {
            WriteOutcome::Done(_) => {
                tracing::info!(parts = parts.len(), "quarantined parts saved");
                return;
            }
            outcome => tracing::info!(parts = parts.len(), ?outcome, "quarantined parts not saved"),
        }
        sleep(RETRY_DELAY).await;
    }
}
