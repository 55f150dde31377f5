//! Implements the operator API on top of a node.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::time::Instant;
use verbenahead_core::{Generation, VmId, time::UnixMillis};
use verbenahead_membership::{
    ManifestHead as ManifestHeadNews, MemberState, NewsHandle, NewsItem, NodeIdentity,
};
use verbenahead_relay::upstream::{UpstreamEntry, UpstreamStatus};

use crate::{
    burn::{BurnReport, BurnReporter, NodeBurnCounts},
    node::{
        manifest_head_cache::ManifestHeadCache,
        peer_report_reader::{PeerAnswer, PeerReportReader},
        peer_reports::{BURN_REPORT, BurnCountsReport, NodeStatusReport, PeerReportSource},
        platform_health::PlatformHealth,
        readiness::ReadinessState,
        upstream_counts::count_upstreams,
        upstream_directory::UpstreamDirectory,
    },
    operators::{
        ManifestAccess, ManifestHead, NodeState, NodeView, OperatorBackend, Publication,
        PublicationOutcome, Readiness, ReclaimView, Result, StatusReport, StoredManifest,
        TableView,
    },
};

/// `NodeBackend` serves the operator API of a node.
pub struct NodeBackend {
    /// Identity of the node.
    pub identity: NodeIdentity,
    /// Publication and reading of manifests.
    pub manifests: ManifestAccess,
    /// Reports of this node.
    pub reports: PeerReportSource,
    /// Reads the reports of the other nodes.
    pub peer_reports: PeerReportReader,
    /// News that is exchanged among all nodes.
    pub news: NewsHandle,
    /// Known upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Whether the platform responds.
    pub health: Arc<PlatformHealth>,
    /// Builds burn reports.
    pub burn: BurnReporter,
    /// Head row of the manifest in force.
    pub head: ManifestHeadCache,
}

impl NodeBackend {
    fn own_view(&self) -> NodeView {
        let report = self.reports.node();
        NodeView {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            zone: self.identity.zone.clone(),
            state: node_state(report.state),
            generation: report.generation,
            last_heard_ms: 0,
            version: report.version,
        }
    }

    fn peer_view(&self, peer_answer: PeerAnswer<NodeStatusReport>) -> NodeView {
        let member = peer_answer.member;
        let last_report = self.peer_reports.last_report(&member.node);
        let age = last_report
            .as_ref()
            .map(|(at, _)| at.elapsed().as_millis() as u64);
        let known = peer_answer
            .answer
            .clone()
            .or(last_report.map(|(_, report)| report));
        let state = match (&peer_answer.answer, member.state) {
            (Some(report), _) => node_state(report.state),
            (None, MemberState::Leaving) => NodeState::Draining,
            (None, _) => NodeState::Suspect,
        };
        NodeView {
            node: member.node,
            incarnation: member.incarnation,
            zone: member.zone,
            state,
            generation: known
                .as_ref()
                .map(|report| report.generation)
                .unwrap_or_default(),
            last_heard_ms: age.unwrap_or(u64::MAX),
            version: known.map(|report| report.version).unwrap_or_default(),
        }
    }
}

fn node_state(state: ReadinessState) -> NodeState {
    match state {
        ReadinessState::Joining => NodeState::Joining,
        ReadinessState::Serving => NodeState::Serving,
        ReadinessState::Draining => NodeState::Draining,
    }
}

fn reclaim_view(entry: &Arc<UpstreamEntry>) -> Option<ReclaimView> {
    let UpstreamStatus::Leaving { until } = entry.status() else {
        return None;
    };
    let remaining = until.saturating_duration_since(Instant::now());
    Some(ReclaimView {
        vm: VmId::try_new(entry.address.upstream.as_str()).ok()?,
        service: Some(entry.service.clone()),
        zone: Some(entry.zone.clone()),
        remaining_ms: remaining.as_millis() as u64,
    })
}

#[async_trait]
impl OperatorBackend for NodeBackend {
    async fn publish(&self, publication: Publication) -> PublicationOutcome {
        let text = publication.text.clone();
        let published = self.manifests.publish(publication).await;
        if let PublicationOutcome::Accepted(_) | PublicationOutcome::Unknown(_) = &published {
            self.reports.body.set_published(text);
        }
        if let PublicationOutcome::Accepted(head) = &published {
            // The other nodes poll the table for the head; news reaches them sooner.
            let news = NewsItem::ManifestHead(ManifestHeadNews {
                generation: head.generation,
                digest: head.digest,
            });
            if let Err(error) = self.news.publish(news).await {
                tracing::warn!(%error, "cannot publish the accepted manifest to the peers");
            }
        }
        published
    }

    async fn head(&self) -> Result<Option<ManifestHead>> {
        self.manifests.head().await
    }

    async fn manifest(&self, generation: Generation) -> Result<Option<StoredManifest>> {
        self.manifests.manifest(generation).await
    }

    async fn history(&self, limit: usize) -> Result<Vec<ManifestHead>> {
        self.manifests.history(limit).await
    }

    async fn status(&self) -> StatusReport {
        let answers = self.peer_reports.read_node_reports().await;
        let peers = answers
            .into_iter()
            .map(|peer_answer| self.peer_view(peer_answer));
        let mut nodes: Vec<_> = std::iter::once(self.own_view()).chain(peers).collect();
        nodes.sort_by(|a, b| a.node.cmp(&b.node));
        let entries = self.directory.all();
        let upstreams = count_upstreams(&entries);
        let reclaims: Vec<_> = entries.iter().filter_map(reclaim_view).collect();
        let active = self.reports.manifest.current();
        let age = self.health.last_answer_age();
        StatusReport {
            deployment: active.map(|active| active.manifest.deployment.clone()),
            node: self.identity.node.clone(),
            zone: self.identity.zone.clone(),
            taken_at: UnixMillis::now(),
            head: self.head.get(),
            table: TableView {
                is_reachable: self.health.is_reachable(),
                last_answer_age_ms: age.map(|age| age.as_millis() as u64),
            },
            nodes,
            upstreams,
            reclaims,
        }
    }

    async fn burn(&self) -> Option<BurnReport> {
        let active = self.reports.manifest.current()?;
        let answers = self
            .peer_reports
            .read::<BurnCountsReport>(BURN_REPORT)
            .await;
        let mut known = vec![NodeBurnCounts {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            counts: self.reports.burn.live_counts(),
        }];
        let mut missing = Vec::new();
        for peer_answer in answers {
            let PeerAnswer { member, answer } = peer_answer;
            match answer {
                Some(answer) => known.push(NodeBurnCounts {
                    node: member.node,
                    incarnation: answer.incarnation,
                    counts: answer.counts,
                }),
                None => missing.push(member.node),
            }
        }
        let node = &self.identity.node;
        let report = self.burn.report(&active.manifest, node, &known, &missing);
        Some(report.await)
    }

    fn readiness(&self) -> Readiness {
        match self.reports.readiness.state() {
            ReadinessState::Serving => Readiness::Ready,
            state => Readiness::NotReady(format!("the node is {state}")),
        }
    }
}
