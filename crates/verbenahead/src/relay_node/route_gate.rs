//! Holds back the first routes of a process that has just started while the store may have lost later ones.

use std::{sync::Arc, time::Duration};

use tokio::{
    pin,
    sync::watch,
    time::{Instant, sleep},
};
use verbenahead_core::Generation;
use verbenahead_manifest::RouteTable;
use verbenahead_membership::SharedRoster;

use crate::relay_node::restore_settling::RestoreSettling;

/// Time between two looks at what other nodes report.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// `RouteGate` puts the routes in force that the store holds. A process that has routes in force never goes back to
/// older ones; one that has just started knows of later ones only from other nodes, or when the operator writes them
/// again.
pub struct RouteGate {
    /// Routes as the store holds them.
    pub stored: watch::Receiver<Option<Arc<RouteTable>>>,
    /// Routes in force.
    pub in_force: watch::Sender<Option<Arc<RouteTable>>>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Age of the last restore of the store.
    pub settling: RestoreSettling,
    /// Longest time for which routes are held back.
    pub limit: Duration,
}

impl RouteGate {
    /// Passes routes on until the sender of the stored ones is dropped.
    pub async fn run(mut self) {
        if self.hold_first().await.is_err() {
            return;
        }
        loop {
            self.put_in_force();
            if self.stored.changed().await.is_err() {
                return;
            }
        }
    }

    fn put_in_force(&mut self) {
        let routes = self.stored.borrow_and_update().clone();
        let before = self.in_force.send_replace(routes.clone());
        let generation = |routes: Arc<RouteTable>| routes.generation().0;
        tracing::info!(
            before = before.map(generation),
            routes = routes.as_ref().map(|routes| routes.routes().count()),
            generation = routes.map(generation),
            "routes in force"
        );
    }

    /// Waits until the stored routes may be put in force.
    async fn hold_first(&mut self) -> Result<(), watch::error::RecvError> {
        self.stored.wait_for(Option::is_some).await?;
        let since = Instant::now();
        let settling = self.settling.clone();
        let settled = settling.wait();
        pin!(settled);
        let mut is_settled = false;
        loop {
            let stored = self.stored_generation();
            let known = self.known_generation();
            let is_confirmed = known.is_some() || is_settled;
            if is_confirmed && known <= stored {
                return Ok(());
            }
            if since.elapsed() >= self.limit {
                tracing::warn!(
                    stored = stored.map(|generation| generation.0),
                    known = known.map(|generation| generation.0),
                    "routes put in force although other nodes know later ones, which the store lacks",
                );
                return Ok(());
            }
            tokio::select! {
                () = &mut settled, if !is_settled => is_settled = true,
                changed = self.stored.changed() => changed?,
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    fn stored_generation(&self) -> Option<Generation> {
        let stored = self.stored.borrow();
        stored.as_ref().map(|routes| routes.generation())
    }

    /// Returns the highest generation that a live node has in force.
    fn known_generation(&self) -> Option<Generation> {
        let roster = self.roster.lock();
        let generations = roster.live().map(|report| report.generation);
        generations.filter(|g| *g > Generation::default()).max()
    }
}
