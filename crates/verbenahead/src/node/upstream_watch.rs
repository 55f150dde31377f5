//! Polls the platform's list of VMs and its reclaim notices.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::sync::{mpsc, watch};
use verbenahead_core::{VmId, timer::TimerService};
use verbenahead_services::{Cloud, ReclaimNotice, VmList};

use crate::node::{
    initial_load_reader::InitialLoadReader,
    platform_health::PlatformHealth,
    upstream_directory::{LeavingUpstream, UpstreamDirectory},
};

/// `UpstreamWatchOptions` sets how often the platform is polled.
#[derive(Debug, Clone)]
pub struct UpstreamWatchOptions {
    /// Time between two reads of the list of VMs.
    pub list_period: Duration,
    /// Time between two reads of the reclaim notices.
    pub notice_period: Duration,
}

impl Default for UpstreamWatchOptions {
    fn default() -> Self {
        Self {
            list_period: Duration::from_secs(5),
            notice_period: Duration::from_secs(1),
        }
    }
}

/// `UpstreamWatch` keeps a directory of upstreams up to date.
pub struct UpstreamWatch {
    directory: Arc<UpstreamDirectory>,
    list: Arc<dyn VmList>,
    cloud: Arc<dyn Cloud>,
    health: Arc<PlatformHealth>,
    leaving_tx: mpsc::Sender<LeavingUpstream>,
    initial_load_reader: InitialLoadReader,
    options: UpstreamWatchOptions,
}

impl UpstreamWatch {
    /// Builds a watch. Newly leaving VMs are sent to `leaving_tx`, also those that are not known as
    /// upstreams.
    pub fn new(
        directory: Arc<UpstreamDirectory>,
        list: Arc<dyn VmList>,
        cloud: Arc<dyn Cloud>,
        health: Arc<PlatformHealth>,
        leaving_tx: mpsc::Sender<LeavingUpstream>,
        initial_load_reader: InitialLoadReader,
        options: UpstreamWatchOptions,
    ) -> Self {
        Self {
            directory,
            list,
            cloud,
            health,
            leaving_tx,
            initial_load_reader,
            options,
        }
    }

    /// Reads the list of VMs once, then the load of engines that have not reported any.
    pub async fn read_list(&self) {
        match self.list.vms().await {
            Ok(records) => {
                for leaving in self.directory.apply_list(&records) {
                    let _ = self.leaving_tx.send(leaving).await;
                }
                self.initial_load_reader.read().await;
            }
            Err(error) => {
                self.health.record_failure();
                tracing::warn!(%error, "cannot read the list of VMs");
            }
        }
    }

    /// Runs until `stop` closes.
    pub async fn run(self, mut stop: watch::Receiver<()>) {
        let timers = TimerService;
        let mut list_ticks = timers.subscribe(
            random_phase(self.options.list_period),
            self.options.list_period,
        );
        let mut notice_ticks = timers.subscribe(
            random_phase(self.options.notice_period),
            self.options.notice_period,
        );
        loop {
            tokio::select! {
                Some(_) = list_ticks.recv() => self.read_list().await,
                Some(_) = notice_ticks.recv() => self.read_notices().await,
                _ = stop.changed() => return,
            }
        }
    }

    async fn read_notices(&self) {
        match self.cloud.notices().await {
            Ok(notices) => {
                for notice in notices {
                    self.handle_notice(notice).await;
                }
            }
            Err(error) => {
                self.health.record_failure();
                tracing::warn!(%error, "cannot read the reclaim notices");
            }
        }
    }

    async fn handle_notice(&self, notice: ReclaimNotice) {
        let Some(upstream) = upstream_of(&notice.vm) else {
            return;
        };
        let is_new = self
            .directory
            .mark_leaving(&upstream, notice.incarnation, notice.remaining);
        if is_new {
            tracing::info!(vm = %notice.vm, remaining = ?notice.remaining, "received a reclaim notice");
            let _ = self
                .leaving_tx
                .send(LeavingUpstream {
                    upstream,
                    incarnation: notice.incarnation,
                    remaining: notice.remaining,
                })
                .await;
        }
    }
}

fn upstream_of(vm: &VmId) -> Option<verbenahead_core::UpstreamId> {
    verbenahead_core::UpstreamId::try_new(vm.as_str()).ok()
}

/// Returns a random part of a period, so that nodes do not poll the platform at the same time.
fn random_phase(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.0..1.0))
}
