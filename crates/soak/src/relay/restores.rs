//! Restores of the store from an older copy, while nodes are killed.

use std::{sync::Arc, time::Duration};

use anyhow::Result;
use futures_util::future::try_join_all;
use tokio::time::{sleep, timeout};
use verbenahead_standins::users::StoreFault;

use super::{
    faults::{begin_signals, end_signal, kill},
    fleet::Fleet,
    schedule::{NodeSignal, Restore, Victims},
};

/// Longest wait for a usage report, at whose acceptance the holder is killed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two looks for a usage report.
const REPORT_INTERVAL: Duration = Duration::from_millis(2);

/// Copies the store, lets it go away some time later, and lets it come back from the copy. Nodes are killed
/// meanwhile.
///
/// # Errors
///
/// When a node does not start again.
pub async fn restore_store(fleet: &Arc<Fleet>, restore: Restore) -> Result<()> {
    let copy = fleet.platform.copy();
    let store = async {
        sleep(Duration::from_millis(restore.age_ms)).await;
        let away = async {
            sleep(Duration::from_millis(restore.away_ms)).await;
            fleet.restore(copy);
        };
        fleet.disturb_store_until(StoreFault::Reset, away).await;
    };
    let (_, killed) = tokio::join!(store, kill_victims(fleet, restore));
    killed
}

async fn kill_victims(fleet: &Fleet, restore: Restore) -> Result<()> {
    sleep(Duration::from_millis(restore.kill_ms)).await;
    let slots: Vec<usize> = match restore.victims {
        Victims::Nobody => Vec::new(),
        Victims::Holder => {
            let reporter = timeout(REPORT_TIMEOUT, next_reporter(fleet)).await;
            reporter.ok().flatten().into_iter().collect()
        }
        Victims::All => (0..fleet.nodes.len()).collect(),
    };
    let slots = begin_signals(fleet, NodeSignal::Killed, slots.into_iter());
    let down = Duration::from_millis(restore.down_ms);
    let kills = slots.into_iter().map(async |slot| {
        kill(fleet, slot, down).await?;
        end_signal(fleet, slot);
        anyhow::Ok(())
    });
    try_join_all(kills).await?;
    Ok(())
}

/// Waits for the next usage report, and returns the slot of its sender.
async fn next_reporter(fleet: &Fleet) -> Option<usize> {
    let count = fleet.platform.usage().len();
    loop {
        if let Some(report) = fleet.platform.usage().get(count) {
            return fleet
                .nodes
                .iter()
                .position(|node| node.name == report.holder);
        }
        sleep(REPORT_INTERVAL).await;
    }
}
