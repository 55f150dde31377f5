//! Periodic update of the gauges of a node.

use std::{sync::Arc, time::Duration};

use tokio::sync::watch;
use verbenahead_core::timer::TimerService;
use verbenahead_membership::MembershipHandle;
use verbenahead_relay::MemoryBudget;

use crate::{
    node::{
        active_manifest::ManifestView, platform_health::PlatformHealth,
        upstream_counts::count_upstreams, upstream_directory::UpstreamDirectory,
    },
    telemetry::metrics::Metrics,
};

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(5);

/// `GaugeUpdater` sets the gauges from the state of the node.
pub struct GaugeUpdater {
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Membership of the nodes.
    pub membership: MembershipHandle,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Manifest in force.
    pub manifest: ManifestView,
    /// Reachability of the platform.
    pub health: Arc<PlatformHealth>,
    /// Memory of callers and operators.
    pub clients: MemoryBudget,
}

impl GaugeUpdater {
    /// Runs until `stop` closes.
    pub async fn run(self, mut stop: watch::Receiver<()>) {
        let mut ticks = TimerService.subscribe(Duration::ZERO, UPDATE_INTERVAL);
        loop {
            tokio::select! {
                Some(_) = ticks.recv() => self.update(),
                _ = stop.changed() => return,
            }
        }
    }

    fn update(&self) {
        let metrics = &self.metrics;
        metrics.nodes.reset();
        for member in self.membership.members().iter() {
            let state = member.state.to_string();
            metrics.nodes.with_label_values(&[state.as_str()]).inc();
        }
        metrics.upstreams.reset();
        let mut leaving = 0;
        for entry in count_upstreams(&self.directory.all()) {
            let labels = [entry.service.as_str(), entry.zone.as_str(), &entry.state];
            let gauge = metrics.upstreams.with_label_values(&labels);
            gauge.set(entry.count as i64);
            leaving += if entry.state == "leaving" {
                entry.count as i64
            } else {
                0
            };
        }
        metrics.reclaims.set(leaving);
        metrics.client_memory.set(self.clients.used() as i64);
        metrics.client_memory_limit.set(self.clients.limit() as i64);
        let generation = self.manifest.generation();
        metrics.manifest_generation.set(generation.0 as i64);
        metrics
            .table_reachable
            .set(i64::from(self.health.is_reachable()));
    }
}
