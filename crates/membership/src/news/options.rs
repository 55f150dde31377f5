//! Options of the dissemination of news.

use std::time::Duration;

use derive_more::{Display, FromStr};

/// `PushPolicy` selects the peers to which a node pushes news.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum PushPolicy {
    /// The originating node pushes to all peers. The others do not forward.
    AllPeers,
    /// Every node pushes new items to the members that it probes, over connections that are open
    /// already.
    RingTargets,
    /// The originating node pushes to all peers, or only to the members that it probes when there
    /// are more than [`NewsOptions::max_direct_peers`]. Every other node forwards new items to the
    /// members that it probes.
    #[default]
    AllPeersAndRingTargets,
}

impl PushPolicy {
    /// Returns whether the originating node pushes to all of its `peers` peers.
    pub fn pushes_to_all(self, peers: usize, max_direct_peers: usize) -> bool {
        match self {
            Self::AllPeers => true,
            Self::RingTargets => false,
            Self::AllPeersAndRingTargets => peers <= max_direct_peers,
        }
    }

    /// Returns whether a node forwards new items that it receives from peers.
    pub fn forwards(self) -> bool {
        self != Self::AllPeers
    }
}

/// `NewsOptions` sets the periods and bounds of the dissemination of news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewsOptions {
    /// Peers to which news is pushed.
    pub push_policy: PushPolicy,
    /// Maximum number of peers for which [`PushPolicy::AllPeersAndRingTargets`] pushes to all of
    /// them. Pushes to all need a new connection to almost every peer.
    pub max_direct_peers: usize,
    /// Maximum number of concurrent pushes.
    pub max_concurrent_pushes: usize,
    /// Time within which a push has to be acknowledged.
    pub push_timeout: Duration,
    /// Maximum number of attempts of one push. Items that are still undelivered are left to the
    /// exchanges.
    pub max_push_attempts: u32,
    /// Maximum number of items in one push. The rest follows in the next one.
    pub max_push_items: usize,
    /// Interval at which failed pushes are retried and digest mismatches lead to exchanges.
    pub repair_period: Duration,
    /// Timeout of an exchange.
    pub exchange_timeout: Duration,
    /// Time for which the news of an upstream is kept after its deadline, or after it was found
    /// gone. Must be longer than the lag of the platform's list of VMs and equal on all nodes.
    pub upstream_retention: Duration,
}

impl Default for NewsOptions {
    fn default() -> Self {
        Self {
            push_policy: PushPolicy::default(),
            max_direct_peers: 64,
            max_concurrent_pushes: 128,
            push_timeout: Duration::from_millis(500),
            max_push_attempts: 3,
            max_push_items: 256,
            repair_period: Duration::from_millis(200),
            exchange_timeout: Duration::from_secs(1),
            upstream_retention: Duration::from_secs(10 * 60),
        }
    }
}
