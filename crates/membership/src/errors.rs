//! The error type of the membership crate.

use std::net::SocketAddr;

use thiserror::Error as ThisError;
use verbenahead_core::{NodeId, findings::Findings};

/// `Result` carries a membership [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` reports why a membership or news operation failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The embedded chart of members has faults.
    #[error("membership: the chart of members is faulty:\n{findings}")]
    Chart {
        /// All faults of the chart.
        findings: Findings,
    },
    /// The task behind a handle has ended.
    #[error("membership: the task has ended")]
    Closed,
    /// A message was meant for another node.
    #[error("membership: the message is for node `{wanted}`, this is `{actual}`")]
    WrongNode {
        /// Node that the sender meant.
        wanted: NodeId,
        /// Node that got the message.
        actual: NodeId,
    },
    /// A call to a peer gave no answer in time or failed.
    #[error("membership: the call to {peer} failed: {reason}")]
    Call {
        /// Address of the peer.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

impl Error {
    /// Builds an [`Error::Call`].
    pub fn call(peer: SocketAddr, reason: impl ToString) -> Self {
        Self::Call {
            peer,
            reason: reason.to_string(),
        }
    }
}
