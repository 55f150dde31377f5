//! Counts of peer calls, their bytes and connections.

use std::net::SocketAddr;

use tokio::time::{Duration, Instant};
use verbenahead_core::HashMap;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// `CallCounts` counts the calls of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallCounts {
    /// Calls made.
    pub calls: u64,
    /// Bytes of the encoded requests and responses.
    pub bytes: u64,
    /// Connections opened for the calls.
    pub connections: u64,
}

/// `Counts` counts the calls of all nodes.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// Membership calls.
    pub membership: CallCounts,
    /// News calls.
    pub news: CallCounts,
    last_used: HashMap<(SocketAddr, SocketAddr), Instant>,
}

/// `CallKind` is the protocol to which a call belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Membership.
    Membership,
    /// News.
    News,
}

impl Counts {
    /// Counts a call from one node to another.
    pub fn add(&mut self, kind: CallKind, from: SocketAddr, to: SocketAddr, bytes: usize) {
        let now = Instant::now();
        let last = self.last_used.insert((from, to), now);
        let is_new = last.is_none_or(|last| now.duration_since(last) >= IDLE_TIMEOUT);
        let counts = match kind {
            CallKind::Membership => &mut self.membership,
            CallKind::News => &mut self.news,
        };
        counts.calls += 1;
        counts.bytes += bytes as u64;
        counts.connections += u64::from(is_new);
    }

    /// Returns the counts and resets them. Open connections stay open.
    #[must_use]
    pub fn take(&mut self) -> Self {
        let taken = self.clone();
        self.membership = CallCounts::default();
        self.news = CallCounts::default();
        taken
    }
}
