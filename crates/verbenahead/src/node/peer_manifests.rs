//! Reads the manifest in force from other nodes.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;
use verbenahead_core::{Digest, NodeId};
use verbenahead_membership::{MembershipHandle, NewsHandle, NewsSnapshot};
use verbenahead_peer::PeerClients;
use verbenahead_state::KnownGeneration;

use crate::node::{peer_reports::manifest_report_name, peering::Peering};

/// Maximum number of nodes that are asked for a manifest body.
const MAX_BODY_SOURCES: usize = 3;

/// `PeerManifests` reads the generation and the body of the manifest in force from other nodes.
#[derive(Clone)]
pub struct PeerManifests {
    node: NodeId,
    membership: MembershipHandle,
    news: NewsHandle,
    clients: PeerClients,
}

impl PeerManifests {
    /// Creates a reader over the peers of a node.
    pub fn new(peering: &Peering) -> Self {
        Self {
            node: peering.identity.node.clone(),
            membership: peering.membership.clone(),
            news: peering.news.clone(),
            clients: peering.clients.clone(),
        }
    }

    /// Exchanges news with all live peers and returns the highest generation that they have in
    /// force, if there is one.
    pub async fn refresh(&self) -> Vec<KnownGeneration> {
        if let Err(error) = self.news.refresh().await {
            tracing::warn!(%error, "cannot refresh the news from peers");
        }
        known_generation(&self.news.snapshot())
            .into_iter()
            .collect()
    }

    /// Subscribes to the news.
    pub fn subscribe(&self) -> watch::Receiver<Arc<NewsSnapshot>> {
        self.news.subscribe()
    }

    /// Reads the manifest body with this digest from a peer that has it in force, and verifies the
    /// digest.
    pub async fn body(&self, digest: Digest) -> Option<Bytes> {
        let members = self.membership.members();
        let others = members
            .iter()
            .filter(|member| member.is_alive() && member.node != self.node);
        for member in others.take(MAX_BODY_SOURCES) {
            let name = manifest_report_name(digest);
            let body = self.clients.read_report(member.address, &name).await;
            if let Ok(Some(body)) = body
                && Digest::of(&body) == digest
            {
                return Some(body);
            }
        }
        None
    }
}

/// Returns the highest generation in the news, if there is one.
pub fn known_generation(snapshot: &NewsSnapshot) -> Option<KnownGeneration> {
    snapshot.manifest_head.map(|head| KnownGeneration {
        generation: head.generation,
        digest: head.digest,
    })
}
