//! Reports of all nodes, read from them when an operator asks.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use futures_util::{StreamExt, stream};
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use verbenahead_core::{HashMap, NodeId};
use verbenahead_membership::{Member, MembershipHandle};
use verbenahead_peer::PeerClients;

use crate::node::peer_reports::{NODE_REPORT, NodeStatusReport};

/// Most nodes that are asked at the same time.
const MAX_CONCURRENT_READS: usize = 64;

/// `PeerSurvey` reads reports from the other nodes.
pub struct PeerReportReader {
    node: NodeId,
    membership: MembershipHandle,
    clients: PeerClients,
    last_reports: Mutex<HashMap<NodeId, (Instant, NodeStatusReport)>>,
}

/// `Answered` is the answer of one node, if it gave one.
#[derive(Debug, Clone)]
pub struct PeerAnswer<T> {
    /// The node that was asked.
    pub member: Member,
    /// Its answer.
    pub answer: Option<T>,
}

impl PeerReportReader {
    /// Builds the survey of a node's peers.
    pub fn new(node: NodeId, membership: MembershipHandle, clients: PeerClients) -> Self {
        Self {
            node,
            membership,
            clients,
            last_reports: Mutex::default(),
        }
    }

    /// Reads a report from every other node that may live.
    pub async fn read<T: DeserializeOwned>(&self, name: &str) -> Vec<PeerAnswer<T>> {
        stream::iter(self.others())
            .map(|member| async move {
                let answer = self.read_one(member.address, name).await;
                PeerAnswer { member, answer }
            })
            .buffer_unordered(MAX_CONCURRENT_READS)
            .collect()
            .await
    }

    fn others(&self) -> Vec<Member> {
        let members = self.membership.members();
        let is_other = |member: &&Member| member.is_present() && member.node != self.node;
        members.iter().filter(is_other).cloned().collect()
    }

    async fn read_one<T: DeserializeOwned>(&self, address: SocketAddr, name: &str) -> Option<T> {
        let json = self.clients.read_report(address, name).await.ok()??;
        serde_json::from_slice(&json).ok()
    }

    /// Reads the reports of the other nodes on themselves, and remembers them.
    pub async fn read_node_reports(&self) -> Vec<PeerAnswer<NodeStatusReport>> {
        let answers = self.read::<NodeStatusReport>(NODE_REPORT).await;
        let now = Instant::now();
        let mut last_reports = self
            .last_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for answered in &answers {
            if let Some(report) = &answered.answer {
                last_reports.insert(answered.member.node.clone(), (now, report.clone()));
            }
        }
        last_reports.retain(|node, _| answers.iter().any(|answered| answered.member.node == *node));
        answers
    }

    /// Returns what a node told last, and when.
    pub fn last_report(&self, node: &NodeId) -> Option<(Instant, NodeStatusReport)> {
        let last_reports = self
            .last_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_reports.get(node).cloned()
    }
}
