//! One probe of a member, direct first and then through helpers.

use std::net::SocketAddr;

use derive_more::Display;
use verbenahead_core::NodeId;

/// `ProbeId` numbers the probes of a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ProbeId(pub u64);

impl ProbeId {
    /// Returns the number that follows this one.
    #[must_use]
    pub(crate) fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// `Verdict` is the outcome of a probe that got no direct answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// A helper reached the member.
    Reached,
    /// Helpers answered and none reached the member, or there are no helpers.
    Failed,
    /// No helper answered, so the fault may be on this side.
    Unconfirmed,
}

/// `Probe` is a probe under way.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: NodeId,
    pub(crate) address: SocketAddr,
    waiting: usize,
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

    /// Waits for this many helpers. Without any there is a verdict at once.
    pub(crate) fn wait_for(&mut self, helpers: usize) -> Option<Verdict> {
        self.waiting = helpers;
        (helpers == 0).then_some(Verdict::Failed)
    }

    /// Takes the answer of a helper, or nothing when it did not answer. Returns the verdict once
    /// it is known.
    pub(crate) fn helper_answered(&mut self, reached: Option<bool>) -> Option<Verdict> {
        self.waiting = self.waiting.saturating_sub(1);
        match reached {
            Some(true) => return Some(Verdict::Reached),
            Some(false) => self.negative += 1,
            None => {}
        }
        if self.waiting > 0 {
            return None;
        }
        if self.negative > 0 {
            Some(Verdict::Failed)
        } else {
            Some(Verdict::Unconfirmed)
        }
    }
}
