//! Keeps what is quarantined in the platform's table, so that it outlives all nodes.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::sleep};
use verbenahead_relay::ContentQuarantine;
use verbenahead_services::WriteOutcome;

use crate::relay_node::node_directory::NodeDirectory;

/// Pause before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Writes what is quarantined whenever this node has assessed content, and again when the store came back
/// from an older copy. Ends when the process does.
pub async fn run(
    quarantine: Arc<ContentQuarantine>,
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
            // Another node has assessed the content, and writes it.
            continue;
        }
        save(&quarantine, &directory).await;
    }
}

/// Writes what is quarantined, and repeats it until the store has it.
async fn save(quarantine: &ContentQuarantine, directory: &NodeDirectory) {
    loop {
        let content = quarantine.reported();
        let entries = content.len();
        match directory.save_quarantined(&content).await {
            WriteOutcome::Done(_) => {
                tracing::info!(entries, "quarantined content saved");
                return;
            }
            outcome => tracing::info!(entries, ?outcome, "quarantined content not saved"),
        }
        sleep(RETRY_DELAY).await;
    }
}
