//! Reads reports from the other nodes to answer an operator.

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

/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 64;

/// `PeerReportReader` reads reports from the other nodes.
pub struct PeerReportReader {
    node: NodeId,
    membership: MembershipHandle,
    clients: PeerClients,
    /// Last status report of each node and the time of its arrival.
    last_reports: Mutex<HashMap<NodeId, (Instant, NodeStatusReport)>>,
}

/// `PeerAnswer` is the report of one node, if it was read.
#[derive(Debug, Clone)]
pub struct PeerAnswer<T> {
    /// Node that was asked.
    pub member: Member,
    /// Report of the node; none when it was not read.
    pub answer: Option<T>,
}

impl PeerReportReader {
    /// Builds a reader for the peers of a node.
    pub fn new(node: NodeId, membership: MembershipHandle, clients: PeerClients) -> Self {
        Self {
            node,
            membership,
            clients,
            last_reports: Mutex::default(),
        }
    }

    /// Reads a report from every other node that the membership lists as present.
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

    /// Reads the status reports of the other nodes and stores them for [`Self::last_report`].
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

    /// Returns the last status report of a node and the time of its arrival.
    pub fn last_report(&self, node: &NodeId) -> Option<(Instant, NodeStatusReport)> {
        let last_reports = self
            .last_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_reports.get(node).cloned()
    }
}
