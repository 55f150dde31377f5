//! One probe of a member: a direct ping, then indirect probes through helpers.
//!
//! A helper is another member that pings the target on behalf of this node.

use std::net::SocketAddr;

use derive_more::Display;
use verbenahead_core::NodeId;

/// `ProbeId` is the sequence number of a probe of this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ProbeId(pub u64);

impl ProbeId {
    /// Returns the next id.
    #[must_use]
    pub(crate) fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// `ProbeOutcome` is the outcome of a probe that got no direct answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// A helper reached the member.
    Reached,
    /// At least one helper answered and none reached the member, or there are no helpers.
    Failed,
    /// No helper answered, so the fault may be on this node's side.
    Unconfirmed,
}

/// `Probe` is a probe in progress.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) address: SocketAddr,
    /// Helpers that have not answered yet.
    waiting: usize,
    /// Helpers that did not reach the member.
    negative: usize,
}

impl Probe {
    pub(crate) fn new(target: NodeId, address: SocketAddr) -> Self {
        Self {
            target,
            address,
            waiting: 0,
            negative: 0,
        }
    }

    /// Sets the number of helpers to wait for. Without helpers the outcome is known at once.
    pub(crate) fn wait_for(&mut self, helpers: usize) -> Option<ProbeOutcome> {
        self.waiting = helpers;
        (helpers == 0).then_some(ProbeOutcome::Failed)
    }

    /// Records the answer of a helper, or `None` when it did not answer. Returns the outcome once
    /// it is known.
    pub(crate) fn helper_answered(&mut self, reached: Option<bool>) -> Option<ProbeOutcome> {
        self.waiting = self.waiting.saturating_sub(1);
        match reached {
            Some(true) => return Some(ProbeOutcome::Reached),
            Some(false) => self.negative += 1,
            None => {}
        }
        if self.waiting > 0 {
            return None;
        }
        if self.negative > 0 {
            Some(ProbeOutcome::Failed)
        } else {
            Some(ProbeOutcome::Unconfirmed)
        }
    }
}
