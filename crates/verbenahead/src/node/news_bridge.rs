//! Forwards news between the peers and the components of a node.

use std::{sync::Arc, time::Duration};

use tokio::sync::{mpsc, watch};
use verbenahead_core::UpstreamId;
use verbenahead_membership::{
    ManifestHead, Member, MembershipHandle, NewsHandle, NewsItem, NewsSnapshot, UnixMillis,
    UpstreamLeaving, UpstreamNews, UpstreamStatus,
};

use crate::{
    burn::BurnRecorder,
    node::{
        active_manifest::{ActiveManifest, ManifestView},
        stop::StopRequest,
        upstream_directory::{LeavingUpstream, UpstreamDirectory},
    },
};

/// `NewsBridge` publishes what this node learns to its peers and applies what peers publish.
pub struct NewsBridge {
    /// News that is exchanged among all nodes.
    pub news: NewsHandle,
    /// Membership and liveness of the nodes.
    pub membership: MembershipHandle,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Manifest in force on this node.
    pub manifest: ManifestView,
    /// Burn counts, whose objectives are set by the manifest.
    pub burn: Arc<BurnRecorder>,
    /// Leaving upstreams that this node has found, which are yet to be published.
    pub leaving: mpsc::Receiver<LeavingUpstream>,
    /// Id of the VM on which the node runs.
    pub own_vm: String,
    /// Sends stop requests to the node.
    pub stops: mpsc::Sender<StopRequest>,
}

impl NewsBridge {
    /// Runs until `stop` closes.
    pub async fn run(mut self, mut stop: watch::Receiver<()>) {
        let mut snapshots = self.news.subscribe();
        let mut manifests = self.manifest.subscribe();
        manifests.mark_changed();
        let mut members = self.membership.subscribe();
        members.mark_changed();
        let mut alive = 0;
        loop {
            tokio::select! {
                Ok(()) = members.changed() => {
                    let count = count_alive(&members.borrow_and_update());
                    if count != alive {
                        alive = count;
                        tracing::info!(alive, "live nodes changed");
                    }
                }
                Ok(()) = snapshots.changed() => {
                    let snapshot = Arc::clone(&snapshots.borrow_and_update());
                    self.apply_snapshot(&snapshot).await;
                }
                Ok(()) = manifests.changed() => {
                    let active = manifests.borrow_and_update().clone();
                    if let Some(active) = active {
                        self.apply_manifest(&active).await;
                    }
                }
                Some(leaving) = self.leaving.recv() => self.publish_leaving(leaving).await,
                _ = stop.changed() => return,
            }
        }
    }

    async fn apply_manifest(&self, active: &ActiveManifest) {
        self.burn.apply(&active.manifest);
        self.publish(NewsItem::ManifestHead(ManifestHead {
            generation: active.generation,
            digest: active.digest,
        }))
        .await;
    }

    async fn publish(&self, item: NewsItem) {
        if let Err(error) = self.news.publish(item).await {
            tracing::warn!(%error, "cannot publish news to the peers");
        }
    }

    async fn publish_leaving(&self, leaving: LeavingUpstream) {
        if leaving.upstream.as_str() == self.own_vm {
            self.stop_node(leaving.remaining).await;
        }
        let deadline = UnixMillis::now().saturating_add(leaving.remaining);
        self.publish(NewsItem::UpstreamLeaving(UpstreamLeaving {
            upstream: leaving.upstream,
            incarnation: leaving.incarnation,
            deadline,
        }))
        .await;
    }

    async fn apply_snapshot(&self, snapshot: &NewsSnapshot) {
        for (upstream, news) in &snapshot.upstreams {
            self.apply_upstream(upstream, news).await;
        }
    }

    async fn apply_upstream(&self, upstream: &UpstreamId, news: &UpstreamNews) {
        let remaining = match news.status {
            UpstreamStatus::Leaving { deadline } => {
                Duration::from_millis(deadline.0.saturating_sub(UnixMillis::now().0))
            }
            UpstreamStatus::Gone { .. } => Duration::ZERO,
        };
        let is_new = self
            .directory
            .mark_leaving(upstream, news.incarnation, remaining);
        if is_new {
            tracing::info!(%upstream, ?remaining, "a peer reported a leaving VM");
            // A deadline in the past belongs to an earlier VM with the same id.
            if upstream.as_str() == self.own_vm && !remaining.is_zero() {
                self.stop_node(remaining).await;
            }
        }
    }

    async fn stop_node(&self, remaining: Duration) {
        let _ = self.stops.send(StopRequest::Reclaim { remaining }).await;
    }
}

fn count_alive(members: &[Member]) -> usize {
    members.iter().filter(|member| member.is_alive()).count()
}
