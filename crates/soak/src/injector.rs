//! Applies faults to a deployment and undoes them.

use std::{sync::Arc, time::Duration};

use anyhow::{Result, anyhow};
use futures_util::future::try_join_all;
use serde_json::{Value, json};
use tokio::{task::spawn_blocking, time::sleep};
use verbenahead_standins::{booking::Runs, client::JsonClient};

use crate::{
    deployment::Deployment,
    invariant::{BrokenInvariant, FirstFailure},
    report::Counters,
    schedule::{BOOKING_ZONES, ENGINE_ZONES, Fault, NODE_ZONES, Round},
};

/// Longest time from SIGTERM to the end of a node: twice its drain limit of 10 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Status with which a booking replica refuses calls before it is killed.
const REFUSAL_STATUS: u16 = 503;

/// Time for calls to end that a booking replica accepted before it began to refuse.
const REFUSAL_GRACE: Duration = Duration::from_millis(300);

/// `Injector` applies faults.
#[derive(Debug, Clone)]
pub struct Injector {
    deployment: Arc<Deployment>,
    counters: Arc<Counters>,
    first_failure: Arc<FirstFailure>,
}

impl Injector {
    /// Builds an injector.
    pub fn new(
        deployment: Arc<Deployment>,
        counters: Arc<Counters>,
        first_failure: Arc<FirstFailure>,
    ) -> Self {
        Self {
            deployment,
            counters,
            first_failure,
        }
    }

    /// Applies the faults of a round concurrently, and returns when all are undone.
    ///
    /// # Errors
    ///
    /// When a stand-in does not answer, or a process cannot be started or killed.
    pub async fn apply_round(&self, round: &Round) -> Result<()> {
        sleep(round.quiet()).await;
        let faults = round.faults.iter().map(|(fault, time_ms)| {
            self.counters.faults.increment();
            self.inject(*fault, Duration::from_millis(*time_ms))
        });
        try_join_all(faults).await?;
        Ok(())
    }

    async fn inject(&self, fault: Fault, time: Duration) -> Result<()> {
        match fault {
            Fault::KillNode { slot } => self.kill_node(slot, time).await,
            Fault::FreezeNode { slot } => self.freeze_node(slot, time).await,
            Fault::StopNode { slot } => self.stop_node(slot).await,
            Fault::KillEngine { slot } => self.kill_engine(slot, time).await,
            Fault::ReclaimEngine { slot, notice_ms } => {
                let vm = self.deployment.engine(slot).vm.clone();
                self.request_reclaim(json!({ "vm": vm, "remaining_ms": notice_ms }))
                    .await?;
                sleep(Duration::from_millis(notice_ms)).await;
                self.kill_engine(slot, time).await
            }
            Fault::ReclaimZone { zone, notice_ms } => {
                self.request_reclaim(json!({ "zone": zone, "remaining_ms": notice_ms }))
                    .await?;
                sleep(Duration::from_millis(notice_ms)).await;
                self.kill_zone(zone, time).await
            }
            Fault::PlatformDown => {
                self.apply_platform_fault(json!({ "is_down": true }), time)
                    .await
            }
            Fault::PlatformSlow { delay_ms } => {
                self.apply_platform_fault(json!({ "delay_ms": delay_ms }), time)
                    .await
            }
            Fault::PlatformAnswersLost { count } => {
                self.apply_platform_fault(json!({ "lost_answers": count }), time)
                    .await
            }
            Fault::BookingSlow { slot, delay_ms } => {
                self.apply_booking_fault(slot, json!({ "delay_ms": delay_ms }), time)
                    .await
            }
            Fault::BookingCloses { slot } => {
                self.apply_booking_fault(slot, json!({ "run_then_close": true }), time)
                    .await
            }
        }
    }

    async fn kill_node(&self, slot: usize, time: Duration) -> Result<()> {
        {
            let mut node = self.deployment.node(slot);
            self.deployment.directory.remove(&node.entry.name);
            node.process.kill()?;
        }
        sleep(time).await;
        self.deployment.replace_node(slot).await
    }

    async fn freeze_node(&self, slot: usize, time: Duration) -> Result<()> {
        let directory = &self.deployment.directory;
        {
            let mut node = self.deployment.node(slot);
            directory.set_healthy(&node.entry.name, false);
            node.process.freeze()?;
        }
        sleep(time).await;
        self.deployment.node(slot).process.unfreeze()
    }

    async fn stop_node(&self, slot: usize) -> Result<()> {
        let name = {
            let mut node = self.deployment.node(slot);
            self.deployment.directory.remove(&node.entry.name);
            node.process.terminate()?;
            node.entry.name.clone()
        };
        let deployment = Arc::clone(&self.deployment);
        let status =
            spawn_blocking(move || deployment.node(slot).process.wait(STOP_TIMEOUT)).await??;
        if !status.is_some_and(|status| status.success()) {
            let detail = format!("{name} ended with {status:?}; none means later than 20 s");
            let broken =
                BrokenInvariant::new("a node that gets SIGTERM exits with zero in time", detail);
            self.first_failure.report(broken.with_nodes([name]));
            return Ok(());
        }
        self.deployment.replace_node(slot).await
    }

    /// Kills an engine. The platform then removes the ended VM from its list.
    async fn kill_engine(&self, slot: usize, time: Duration) -> Result<()> {
        let vm = {
            let mut engine = self.deployment.engine(slot);
            engine.process.kill()?;
            engine.vm.clone()
        };
        self.request_reclaim(json!({ "vm": vm, "remaining_ms": 0 }))
            .await?;
        sleep(time).await;
        self.deployment.replace_engine(slot).await
    }

    async fn kill_zone(&self, zone: &'static str, time: Duration) -> Result<()> {
        let bookings = slots_in_zone(&BOOKING_ZONES, zone);
        for slot in &bookings {
            self.kill_booking(*slot).await?;
        }
        let nodes = slots_in_zone(&NODE_ZONES, zone)
            .into_iter()
            .map(|slot| self.kill_node(slot, time));
        let engines = slots_in_zone(&ENGINE_ZONES, zone)
            .into_iter()
            .map(|slot| self.kill_engine(slot, time));
        tokio::try_join!(try_join_all(nodes), try_join_all(engines))?;
        for slot in bookings {
            self.deployment.replace_booking(slot).await?;
        }
        Ok(())
    }

    /// Kills a booking replica and keeps its count of runs. It refuses calls first, so that nothing
    /// runs after the count was read.
    async fn kill_booking(&self, slot: usize) -> Result<()> {
        let client = self.booking_client(slot);
        let refusing = json!({ "refuse_status": REFUSAL_STATUS });
        client.put("/control/behaviour", &refusing).await?;
        sleep(REFUSAL_GRACE).await;
        let runs: Runs = client.get("/control/runs").await?;
        self.deployment.add_past_runs(runs);
        self.deployment.booking(slot).process.kill()?;
        Ok(())
    }

    async fn apply_platform_fault(&self, faults: Value, time: Duration) -> Result<()> {
        let client = JsonClient::new(self.deployment.platform);
        client.put("/control/faults", &faults).await?;
        sleep(time).await;
        client.put("/control/faults", &json!({})).await
    }

    async fn apply_booking_fault(
        &self,
        slot: usize,
        behaviour: Value,
        time: Duration,
    ) -> Result<()> {
        let client = self.booking_client(slot);
        client.put("/control/behaviour", &behaviour).await?;
        sleep(time).await;
        client.put("/control/behaviour", &json!({})).await
    }

    async fn request_reclaim(&self, reclaim: Value) -> Result<()> {
        let client = JsonClient::new(self.deployment.platform);
        let done: Value = client.post("/control/reclaim", &reclaim).await?;
        done.get("vms")
            .map(drop)
            .ok_or_else(|| anyhow!("soak: the platform did not say what it takes back"))
    }

    fn booking_client(&self, slot: usize) -> JsonClient {
        JsonClient::new(self.deployment.booking(slot).address)
    }
}

fn slots_in_zone(zones: &[&str], zone: &str) -> Vec<usize> {
    (0..zones.len())
        .filter(|slot| zones[*slot] == zone)
        .collect()
}
