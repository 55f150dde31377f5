//! Replaces the nodes of an older build one by one, and goes back.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::{Result, bail};
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    faults::{begin_signal_among, end_signal, restart},
    fleet::Fleet,
    records::lock,
    schedule::NodeSignal,
};

/// Pause before a node that is disturbed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Replaces the nodes of all slots by the newer build in the first half of `time`, and by the older one again in
/// reverse order in the second half, so that both builds run side by side for most of it.
///
/// # Errors
///
/// When a node does not end after SIGTERM, or another one does not start.
pub async fn replace_nodes(fleet: Arc<Fleet>, time: Duration) -> Result<()> {
    let count = fleet.nodes.len();
    let forth = (0..count).map(|slot| (slot, false));
    let back = (0..count).rev().map(|slot| (slot, true));
    let began = Instant::now();
    let steps = 2 * count as u32;
    for (step, (slot, is_older)) in (0..steps).zip(forth.chain(back)) {
        sleep_until(began + time * (2 * step + 1) / (2 * steps)).await;
        replace(&fleet, slot, is_older).await?;
    }
    Ok(())
}

async fn replace(fleet: &Fleet, slot: usize, is_older: bool) -> Result<()> {
    while begin_signal_among(fleet, NodeSignal::Terminated, 0, slot..slot + 1).is_none() {
        sleep(RETRY_DELAY).await;
    }
    let Some(node) = lock(&fleet.nodes[slot].node).take() else {
        bail!("soak: no process in slot {slot}");
    };
    fleet.nodes[slot]
        .is_older
        .store(is_older, Ordering::Relaxed);
    restart(fleet, slot, node).await?;
    end_signal(fleet, slot);
    Ok(())
}
