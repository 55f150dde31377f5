//! Choice of the nodes that read the feeds of the platform for their availability zone.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, HashMap, NodeId};
use verbenahead_membership::SharedRoster;
use verbenahead_peer::{ReportSocket, encode_notice};
use verbenahead_policy::hash::rendezvous_score;
use verbenahead_services::FeedNotice;
use verbenahead_state::{FeedReaders, FeedRole};

/// Readers of each zone. One of them may go without a delay.
const READERS: usize = 2;

/// Nodes in a zone up to which each one reads for itself. Notices would save few calls there.
const MAX_ALONE: usize = 6;

/// Time for which readers that passed nothing on are replaced.
const SILENCE_MEMORY: Duration = Duration::from_secs(30);

/// Key of the rendezvous hash that chooses the readers.
const READER_KEY: u64 = 0x7265_6164;

/// `ZoneReaders` chooses the readers of one zone and sends notices to its nodes.
///
/// Each node chooses by its own view. Views that differ for a while lead to more readers, or to nodes
/// that hear no reader and read for themselves.
pub struct ZoneReaders {
    own: NodeId,
    zone: AvailabilityZone,
    roster: SharedRoster,
    socket: Arc<ReportSocket>,
    silent_until: Mutex<HashMap<NodeId, Instant>>,
}

impl ZoneReaders {
    /// Builds the view of the node `own` in `zone`.
    pub fn new(
        own: NodeId,
        zone: AvailabilityZone,
        roster: SharedRoster,
        socket: Arc<ReportSocket>,
    ) -> Self {
        Self {
            own,
            zone,
            roster,
            socket,
            silent_until: Mutex::default(),
        }
    }

    /// Records that a node passed something on.
    pub fn record_notice(&self, from: SocketAddr) {
        let mut silent = self.silent();
        if silent.is_empty() {
            return;
        }
        let roster = self.roster.lock();
        silent.retain(|node, _| roster.address_of(node) != Some(from));
    }

    /// Returns the readers of the zone, this node included if it is one, or `None` if each node
    /// reads for itself.
    fn readers(&self) -> Option<Vec<NodeId>> {
        let roster = self.roster.lock();
        let nodes = roster.zone_nodes(&self.zone).map(|(node, _)| node);
        let nodes: Vec<&NodeId> = nodes.chain([&self.own]).collect();
        if nodes.len() <= MAX_ALONE {
            return None;
        }
        let now = Instant::now();
        let silent = self.silent();
        let is_silent = |node: &NodeId| silent.get(node).is_some_and(|until| now < *until);
        let mut ranked: Vec<(u64, &NodeId)> = nodes
            .into_iter()
            .filter(|node| !is_silent(node))
            .map(|node| (rendezvous_score(READER_KEY, node.as_str()), node))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let readers = ranked.into_iter().take(READERS);
        Some(readers.map(|(_, node)| node.clone()).collect())
    }

    fn silent(&self) -> MutexGuard<'_, HashMap<NodeId, Instant>> {
        self.silent_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl FeedReaders for ZoneReaders {
    fn role(&self) -> FeedRole {
        match self.readers() {
            None => FeedRole::Alone,
            Some(readers) if readers.contains(&self.own) => FeedRole::Reader,
            Some(_) => FeedRole::Follower,
        }
    }

    fn publish(&self, notice: &FeedNotice) {
        let encoded = encode_notice(notice);
        let roster = self.roster.lock();
        for (node, address) in roster.zone_nodes(&self.zone) {
            if let Err(error) = self.socket.send_encoded(&encoded, address) {
                tracing::debug!(%node, %error, "notice about a feed not sent");
            }
        }
    }

    fn on_silence(&self) {
        let readers = self.readers().unwrap_or_default();
        tracing::info!(?readers, "readers of the zone are silent");
        let until = Instant::now() + SILENCE_MEMORY;
        let mut silent = self.silent();
        silent.retain(|_, until| Instant::now() < *until);
        silent.extend(readers.into_iter().map(|node| (node, until)));
    }
}
