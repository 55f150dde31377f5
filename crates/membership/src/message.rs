//! Membership messages between two nodes.

use std::net::SocketAddr;

use derive_more::Display;
use verbenahead_core::{Digest, NodeId};

use crate::member::Member;

/// `StateDigest` is a 64-bit digest of a state. Two nodes compare digests to detect whether their
/// states differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct StateDigest(pub u64);

impl StateDigest {
    /// Returns the digest of one part of a state. The digest of the state is the wrapping sum of
    /// those of its parts, so that it does not depend on their order.
    pub(crate) fn of(part: &str) -> Self {
        let digest = Digest::of(part);
        let head = &digest.0[..size_of::<u64>()];
        Self(head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// `Ping` probes a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// Node to which the ping is addressed. Another node at the same address refuses it.
    pub to: NodeId,
    /// Sender, with its own state and incarnation.
    pub from: Member,
    /// Claims about other members.
    pub claims: Vec<Member>,
    /// Digest of the sender's news.
    pub news: StateDigest,
}

/// `Ack` answers a [`Ping`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ack {
    /// Sender of the answer, with its own state and incarnation.
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

/// `MemberExchange` is the request or the answer of an exchange of all members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberExchange {
    /// Sender, with its own state and incarnation.
    pub from: Member,
    /// Digest of the sender's members.
    pub digest: StateDigest,
    /// The sender's members. Empty in a request that only compares digests, and in an answer when
    /// the digests are equal.
    pub members: Vec<Member>,
}
