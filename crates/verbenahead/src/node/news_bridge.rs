//! Carries news between the peers and the parts of a node.

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

/// `NewsBridge` tells the peers what this node learnt first, and the node what peers told.
pub struct NewsBridge {
    /// News that all nodes share.
    pub news: NewsHandle,
    /// Liveness of the other nodes.
    pub membership: MembershipHandle,
    /// Upstreams that this node knows.
    pub directory: Arc<UpstreamDirectory>,
    /// Manifest in force at this node.
    pub manifest: ManifestView,
    /// Counts of the burn, whose objectives follow the manifest.
    pub burn: Arc<BurnRecorder>,
    /// What this node learnt first.
    pub learnt: mpsc::Receiver<LeavingUpstream>,
    /// Id of the node's own VM.
    pub own_vm: String,
    /// Requests to stop the node.
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
                    self.take_snapshot(&snapshot).await;
                }
                Ok(()) = manifests.changed() => {
                    let active = manifests.borrow_and_update().clone();
                    if let Some(active) = active {
                        self.take_manifest(&active).await;
                    }
                }
                Some(leaving) = self.learnt.recv() => self.tell(leaving).await,
                _ = stop.changed() => return,
            }
        }
    }

    async fn take_manifest(&self, active: &ActiveManifest) {
        self.burn.apply(&active.manifest);
        self.publish(NewsItem::ManifestHead(ManifestHead {
            generation: active.generation,
            digest: active.digest,
        }))
        .await;
    }

    async fn publish(&self, item: NewsItem) {
        if let Err(error) = self.news.publish(item).await {
            tracing::warn!(%error, "news was not told to the peers");
        }
    }

    async fn tell(&self, leaving: LeavingUpstream) {
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

    async fn take_snapshot(&self, snapshot: &NewsSnapshot) {
        for (upstream, news) in &snapshot.upstreams {
            self.take_upstream(upstream, news).await;
        }
    }

    async fn take_upstream(&self, upstream: &UpstreamId, news: &UpstreamNews) {
        let remaining = match news.status {
            UpstreamStatus::Leaving { deadline } => {
                Duration::from_millis(deadline.0.saturating_sub(UnixMillis::now().0))
            }
            UpstreamStatus::Gone { .. } => Duration::ZERO,
        };
        let is_news = self
            .directory
            .mark_leaving(upstream, news.incarnation, remaining);
        if is_news {
            tracing::info!(%upstream, ?remaining, "a peer told of a leaving VM");
            // News of a deadline that has passed is about an earlier VM with the same id.
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
