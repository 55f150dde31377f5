//! Whether a restore of the store may be so young that the operator and the replicas have yet to write their rows
//! again.

use std::time::Duration;

use tokio::time::sleep_until;
use verbenahead_services::EraView;
use verbenahead_state::UsageLog;

/// Time after a restore in which rows are written again that the copy lacks. Replicas register again within about 2 s
/// of the end of an outage.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// `RestoreSettling` tells a process that has just started when it can trust rows of other writers.
#[derive(Debug, Clone)]
pub struct RestoreSettling {
    eras: EraView,
    log: UsageLog,
}

impl RestoreSettling {
    /// Builds the check on the history of the usage log. A new holder of the lease writes it a term after the
    /// restore; a holder that lived through it does so at once, and other nodes can ask that one.
    pub fn new(log: UsageLog) -> Self {
        let eras = log.eras().clone();
        Self { eras, log }
    }

    /// Waits until the restore that began the present era is at least as old as rows take to be written again.
    /// Returns at once if there was none, or if the process has read nothing of the store.
    pub async fn wait(&self) {
        let seen = self.eras.seen();
        let Some(seen) = seen.filter(|seen| seen.era.has_predecessor()) else {
            return;
        };
        let settled_at = seen.since + SETTLING_TIME;
        let is_known = async {
            let is_known = self.log.has_history_of(seen.era).await;
            is_known.unwrap_or_else(|error| {
                tracing::debug!(%error, "age of the last restore not read");
                false
            })
        };
        let wait = async {
            if !is_known.await {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = wait => {}
            () = sleep_until(settled_at) => {}
        }
    }
}
