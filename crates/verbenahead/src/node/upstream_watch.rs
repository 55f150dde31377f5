//! Follows the platform's list of VMs and its reclaim notices.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::sync::{mpsc, watch};
use verbenahead_core::{VmId, timer::TimerService};
use verbenahead_services::{Cloud, ReclaimNotice, VmList};

use crate::node::{
    first_loads::FirstLoads,
    platform_health::PlatformHealth,
    upstream_directory::{LeavingUpstream, UpstreamDirectory},
};

/// `UpstreamWatchOptions` sets how often the platform is asked.
#[derive(Debug, Clone)]
pub struct UpstreamWatchOptions {
    /// Time between two readings of the list of VMs.
    pub list_period: Duration,
    /// Time between two readings of the reclaim notices.
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
    news: mpsc::Sender<LeavingUpstream>,
    first_loads: FirstLoads,
    options: UpstreamWatchOptions,
}

impl UpstreamWatch {
    /// Builds a watch. What is news to the node goes to `news`, also about VMs that are no
    /// upstreams.
    pub fn new(
        directory: Arc<UpstreamDirectory>,
        list: Arc<dyn VmList>,
        cloud: Arc<dyn Cloud>,
        health: Arc<PlatformHealth>,
        news: mpsc::Sender<LeavingUpstream>,
        first_loads: FirstLoads,
        options: UpstreamWatchOptions,
    ) -> Self {
        Self {
            directory,
            list,
            cloud,
            health,
            news,
            first_loads,
            options,
        }
    }

    /// Reads the list once.
    pub async fn read_list(&self) {
        match self.list.vms().await {
            Ok(records) => {
                for leaving in self.directory.apply_list(&records) {
                    let _ = self.news.send(leaving).await;
                }
                self.first_loads.read().await;
            }
            Err(error) => {
                self.health.record_failure();
                tracing::warn!(%error, "the list of VMs was not read");
            }
        }
    }

    /// Runs until `stop` closes.
    pub async fn run(self, mut stop: watch::Receiver<()>) {
        let timers = TimerService;
        let mut list_ticks =
            timers.subscribe(jittered(self.options.list_period), self.options.list_period);
        let mut notice_ticks = timers.subscribe(
            jittered(self.options.notice_period),
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
                    self.take_notice(notice).await;
                }
            }
            Err(error) => {
                self.health.record_failure();
                tracing::warn!(%error, "the reclaim notices were not read");
            }
        }
    }

    async fn take_notice(&self, notice: ReclaimNotice) {
        let Some(upstream) = upstream_of(&notice.vm) else {
            return;
        };
        let is_news = self
            .directory
            .mark_leaving(&upstream, notice.incarnation, notice.remaining);
        if is_news {
            tracing::info!(vm = %notice.vm, remaining = ?notice.remaining, "reclaim announced");
            let _ = self
                .news
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

/// Returns a random part of a period, so that nodes do not ask the platform at the same moment.
fn jittered(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.0..1.0))
}
