//! Stops the VMs of one service gracefully.
//!
//! A stop is first announced in the same way as a reclaim, so that no node sends new requests to the
//! VM and running ones have time to end or move. The node that holds the lease when the announced
//! time is over stops the VM.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use verbenahead_core::UpstreamId;
use verbenahead_manifest::EngineFencing;
use verbenahead_relay::upstream::UpstreamStatus;
use verbenahead_services::{Cloud, VmRecord, VmState};
use verbenahead_state::lease::LeaseEpoch;

use crate::node::upstream_directory::{LeavingUpstream, UpstreamDirectory};

/// `VmStopper` announces the stops of VMs and carries them out.
pub struct VmStopper {
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Starts and stops VMs.
    pub cloud: Arc<dyn Cloud>,
    /// Sends leaving upstreams, which are published to peers.
    pub leaving: mpsc::Sender<LeavingUpstream>,
    /// Time between the announcement of a stop and the stop.
    pub notice: Duration,
}

impl VmStopper {
    /// Returns whether a VM counts as part of the fleet, that is, neither the list nor an announcement
    /// or reclaim notice says that it is leaving.
    pub fn is_in_fleet(&self, vm: &VmRecord) -> bool {
        let is_leaving = self.status(vm).is_some_and(|s| s != UpstreamStatus::Live);
        vm.state != VmState::Leaving && !is_leaving
    }

    /// Announces the stop of a VM, unless it is known to be leaving.
    pub async fn announce(&self, vm: &VmRecord) {
        let Ok(upstream) = UpstreamId::try_new(vm.vm.as_str()) else {
            return;
        };
        let remaining = self.notice;
        let is_new = self
            .directory
            .mark_leaving(&upstream, vm.incarnation, remaining);
        if !is_new {
            return;
        }
        tracing::info!(vm = %vm.vm, ?remaining, "stop announced");
        let leaving = LeavingUpstream {
            upstream,
            incarnation: vm.incarnation,
            remaining,
        };
        let _ = self.leaving.send(leaving).await;
    }

    /// Stops the live VMs whose announced time is over. VMs that the platform reclaims are left to
    /// the platform.
    pub async fn stop_due(&self, lease: &LeaseEpoch, listed: &[VmRecord]) {
        let now = Instant::now();
        for vm in listed {
            let is_due = match self.status(vm) {
                Some(UpstreamStatus::Leaving { until }) => until <= now,
                _ => false,
            };
            if is_due && vm.state == VmState::Live {
                self.stop(lease, vm).await;
            }
        }
    }

    async fn stop(&self, lease: &LeaseEpoch, vm: &VmRecord) {
        let Ok(permit) = lease.permit(EngineFencing::Ignored) else {
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
