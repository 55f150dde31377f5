//! Options of the spread of news.

use std::time::Duration;

use derive_more::{Display, FromStr};

/// `PushPolicy` says to whom a node pushes news.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum PushPolicy {
    /// The node that learns first pushes to all peers. The others push nothing on.
    AllPeers,
    /// Every node pushes what is new to it to the members that it also probes, over connections
    /// that are open already.
    RingTargets,
    /// Every node pushes what is new to it to the members that it also probes. The node that learns
    /// first pushes to all other peers too, unless they are many.
    #[default]
    AllPeersAndRingTargets,
}

impl PushPolicy {
    /// Returns whether the node that learns first pushes to all of `peers` peers.
    pub fn pushes_to_all(self, peers: usize, max_direct_peers: usize) -> bool {
        match self {
            Self::AllPeers => true,
            Self::RingTargets => false,
            Self::AllPeersAndRingTargets => peers <= max_direct_peers,
        }
    }

    /// Returns whether a node pushes on what peers told it.
    pub fn pushes_on(self) -> bool {
        self != Self::AllPeers
    }
}

/// `NewsOptions` sets the periods and bounds of the spread of news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewsOptions {
    /// To whom news is pushed.
    pub push_policy: PushPolicy,
    /// With more peers than this, [`PushPolicy::AllPeersAndRingTargets`] leaves out the pushes to
    /// all of them, which would need a new connection to almost every one.
    pub max_direct_peers: usize,
    /// Most pushes that are under way at the same time.
    pub max_concurrent_pushes: usize,
    /// Time within which a push has to be acknowledged.
    pub push_timeout: Duration,
    /// Tries for one push. What was not delivered after them is left to the exchanges.
    pub max_push_attempts: u32,
    /// Most items in one push. The rest follows in the next one.
    pub max_push_items: usize,
    /// Time between two looks at failed pushes and differing digests.
    pub repair_period: Duration,
    /// Time within which an exchange has to end.
    pub exchange_timeout: Duration,
    /// Time for which the news of an upstream is kept after its deadline or end. Must be longer
    /// than the lag of the platform's list and equal on all nodes.
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
