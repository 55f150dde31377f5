//! Messages between the memberships of two nodes.

use std::net::SocketAddr;

use derive_more::Display;
use verbenahead_core::{Digest, NodeId};

use crate::member::Member;

/// `StateDigest` sums up a state in 64 bits, so that two nodes find out whether theirs are equal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct StateDigest(pub u64);

impl StateDigest {
    /// Returns the digest of one part of a state. The digests of the parts are added up.
    pub(crate) fn of(part: &str) -> Self {
        let digest = Digest::of(part);
        let head = &digest.0[..size_of::<u64>()];
        Self(head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// `Ping` probes a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// Node that is meant. Another node at the same address refuses the message.
    pub to: NodeId,
    /// The sender, as it sees itself.
    pub from: Member,
    /// Claims about other members.
    pub claims: Vec<Member>,
    /// Digest of the sender's news.
    pub news: StateDigest,
}

/// `Ack` answers a [`Ping`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ack {
    /// The sender of the answer, as it sees itself.
    pub from: Member,
    /// Claims about other members.
    pub claims: Vec<Member>,
    /// Digest of the news of the sender of the answer.
    pub news: StateDigest,
}

/// `IndirectProbe` asks a helper to probe a member that did not answer the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IndirectProbe {
    /// Member to probe.
    pub target: NodeId,
    /// Address of the member.
    pub address: SocketAddr,
}

/// `MemberExchange` is one half of an exchange of all members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberExchange {
    /// The sender, as it sees itself.
    pub from: Member,
    /// Digest of the sender's members.
    pub digest: StateDigest,
    /// The sender's members. Empty in a request that only compares digests, and in an answer when
    /// the digests are equal.
    pub members: Vec<Member>,
}
