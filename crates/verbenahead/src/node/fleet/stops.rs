//! Planned stops of the VMs of one service.
//!
//! A stop is announced as a reclaim is, so that all nodes send no new work there and what runs has
//! time to end or move. The VM is stopped once the announced time is over, by whoever holds the
//! lease then.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use verbenahead_core::UpstreamId;
use verbenahead_manifest::EngineFencing;
use verbenahead_relay::upstream::UpstreamStatus;
use verbenahead_services::{Cloud, VmRecord, VmState};
use verbenahead_state::lease::LeaseKeeper;

use crate::node::upstream_directory::{LeavingUpstream, UpstreamDirectory};

/// `Stops` announces stops and carries them out.
pub struct Stops {
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// The platform's API over VMs.
    pub cloud: Arc<dyn Cloud>,
    /// What peers are told.
    pub news: mpsc::Sender<LeavingUpstream>,
    /// Time from the announcement of a stop to the stop.
    pub notice: Duration,
}

impl Stops {
    /// Returns whether a VM counts as part of the fleet: it does not leave, as far as the list and
    /// the notices tell.
    pub fn is_staying(&self, vm: &VmRecord) -> bool {
        let is_leaving = self.status(vm).is_some_and(|s| s != UpstreamStatus::Live);
        vm.state != VmState::Leaving && !is_leaving
    }

    /// Announces the stop of a VM.
    pub async fn announce(&self, vm: &VmRecord) {
        let Ok(upstream) = UpstreamId::try_new(vm.vm.as_str()) else {
            return;
        };
        let remaining = self.notice;
        let is_news = self
            .directory
            .mark_leaving(&upstream, vm.incarnation, remaining);
        if !is_news {
            return;
        }
        tracing::info!(vm = %vm.vm, ?remaining, "stop announced");
        let leaving = LeavingUpstream {
            upstream,
            incarnation: vm.incarnation,
            remaining,
        };
        let _ = self.news.send(leaving).await;
    }

    /// Stops the VMs whose announced time is over. Those that the platform takes back are left to
    /// it.
    pub async fn carry_out(&self, keeper: &LeaseKeeper, listed: &[VmRecord]) {
        let now = Instant::now();
        for vm in listed {
            let is_over = match self.status(vm) {
                Some(UpstreamStatus::Leaving { until }) => until <= now,
                _ => false,
            };
            if is_over && vm.state == VmState::Live {
                self.stop(keeper, vm).await;
            }
        }
    }

    async fn stop(&self, keeper: &LeaseKeeper, vm: &VmRecord) {
        let Ok(permit) = keeper.permit(EngineFencing::Ignored) else {
            return;
        };
        let outcome = permit.send(|_| self.cloud.stop(&vm.vm, vm.incarnation));
        let outcome = outcome.await;
        tracing::info!(vm = %vm.vm, ?outcome, "VM stopped");
    }

    fn status(&self, vm: &VmRecord) -> Option<UpstreamStatus> {
        let upstream = UpstreamId::try_new(vm.vm.as_str()).ok()?;
        let entry = self.directory.get(&upstream)?;
        (entry.address.incarnation == vm.incarnation).then(|| entry.status())
    }
}
